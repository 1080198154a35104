package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/plan"
	"jackdawhinge/soak/internal/verdict"
)

// A surgeCaller is a workspace that sends requests during a surge, with a key of its own name.
type surgeCaller struct {
	workspace string
	urgency   int
	// perSecond is how many requests it sends.
	perSecond int
}

// surgeCallers are the workspaces of a surge. The first one sends many times what the others do.
var surgeCallers = []surgeCaller{{"surging", 1, 150}, {"urgent", 0, 15}, {"usual", 1, 15}, {"patient", 2, 15}}

// surgeEvents is the length of the streams that they ask for.
const surgeEvents = 12

// surge lets workspaces of several urgencies send requests for a time, one of them far more than the engines can serve.
func (f *Fleet) surge(fault plan.Fault) {
	start := time.Now()
	f.record.AddUpstreamFault(start, start.Add(fault.Duration+restartWindow), "", verdict.Unaffected)
	observed := verdict.Surge{From: start, To: start.Add(fault.Duration)}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConns: maxIdleConns}, Timeout: callerTimeout}
	defer client.CloseIdleConnections()
	var mu sync.Mutex
	var senders, requests sync.WaitGroup
	for i, c := range surgeCallers {
		random := rand.New(rand.NewPCG(f.seed, uint64(i)))
		senders.Go(func() {
			for n := 0; time.Since(start) < fault.Duration; n++ {
				e, caller := f.newExchange(random, fmt.Sprintf("%s-%d-%d", c.workspace, start.UnixNano(), n), c.workspace)
				e.Route, e.Events = verdict.Sort, surgeEvents
				for n := range surgeEvents {
					e.WantBody += standin.Event(n + 1)
				}
				req, err := caller.Stream(context.Background(), "/sort/x", e.ID, fmt.Sprintf("s%d", n%promptsPerEngine), surgeEvents)
				if err != nil {
					// The request is built from constants and numbers, so an error is a bug here.
					panic(err)
				}
				requests.Go(func() {
					send(client, req, &e)
					f.record.AddExchange(e)
					mu.Lock()
					defer mu.Unlock()
					served := e.Status == http.StatusOK && e.Complete
					observed.Requests = append(observed.Requests, verdict.SurgeRequest{Workspace: c.workspace, Urgency: c.urgency, Surging: i == 0, Sent: e.Sent, Served: served})
				})
				time.Sleep(time.Second / time.Duration(c.perSecond))
			}
		})
	}
	senders.Wait()
	requests.Wait()
	f.record.AddSurge(observed)
}

// maxPace is by how much longer the slowest engine works, paceInterval how often that changes.
const (
	maxPace      = 2.5
	paceInterval = 400 * time.Millisecond
)

// makeUneven makes the engines work at different and changing paces for a time.
func (f *Fleet) makeUneven(d time.Duration) {
	random := rand.New(rand.NewPCG(f.seed, uint64(len(f.upstreams))))
	f.record.AddUpstreamFault(time.Now(), time.Now().Add(d+restartWindow), "", verdict.Unaffected)
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(paceInterval) {
		f.setPaces(func() float64 { return 1 + (maxPace-1)*random.Float64() })
	}
	f.setPaces(func() float64 { return 0 })
}

func (f *Fleet) setPaces(pace func() float64) {
	for _, u := range f.upstreams {
		if u.service == engineService {
			multiple := pace()
			u.withRunner(func(r *standin.Runner) { r.SetPace(multiple) })
		}
	}
}

// withRunner calls a function with the runner of the current incarnation.
func (u *Upstream) withRunner(do func(r *standin.Runner)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	do(u.runner)
}
