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

const (
	// partCrashDelay is how long after its start a request with the part crashes an engine, and
	// partDowntime how long the engine is down.
	partCrashDelay = 60 * time.Millisecond
	partDowntime   = 700 * time.Millisecond
	// partInterval is the time between two requests with the part.
	partInterval = 250 * time.Millisecond
)

// crashingPart is a part of prompts that crashes engines; crash crashes one of them.
type crashingPart struct {
	id    string
	crash func(u *Upstream, incarnation string)
}

// crashOnPart returns the handler of the current incarnation, which crashes under the part if there is
// one; the lock must be held.
func (u *Upstream) crashOnPart(runner *standin.Runner) http.Handler {
	incarnation := u.id
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		part := u.crashes.Load()
		if part == nil || !standin.HasPromptPart(r, part.id) {
			runner.ServeHTTP(w, r)
			return
		}
		runner.RecordRun(r, nil)
		time.Sleep(partCrashDelay)
		part.crash(u, incarnation)
		panic(http.ErrAbortHandler)
	})
}

// crashOnPart makes all engines crash under a part for a time, in which requests with it, no two alike,
// come to all hosts.
func (f *Fleet) crashOnPart(fault plan.Fault) {
	start, random := time.Now(), rand.New(rand.NewPCG(f.seed, uint64(fault.Target)))
	observed := verdict.PartCrashes{Hosts: map[string]int{}}
	part := &crashingPart{id: fmt.Sprintf("bad%d", start.UnixNano())}
	var mu sync.Mutex
	var restarts, requests sync.WaitGroup
	part.crash = func(u *Upstream, incarnation string) {
		mu.Lock()
		observed.CrashedAt = append(observed.CrashedAt, time.Now())
		mu.Unlock()
		// An upstream with another fault only ends the connection.
		if u.incarnation() != incarnation || !f.upstreamFaultMu[u.index].TryLock() {
			return
		}
		u.Crash()
		restarts.Go(func() {
			defer f.upstreamFaultMu[u.index].Unlock()
			time.Sleep(partDowntime)
			f.restartUpstream(u)
		})
	}
	f.record.AddUpstreamFault(start, start.Add(fault.Duration+partDowntime+restartWindow+coldStart), engineService, verdict.Breaks)
	f.setCrashingPart(part)
	for n := 0; time.Since(start) < fault.Duration; n++ {
		id := fmt.Sprintf("%s-%d", part.id, n)
		e, caller := f.newExchange(random, id, f.operator.randomKey(random, false))
		mu.Lock()
		observed.Hosts[id] = e.Host
		mu.Unlock()
		requests.Go(func() { sendPart(caller, id, part.id) })
		time.Sleep(partInterval)
	}
	requests.Wait()
	f.setCrashingPart(nil)
	restarts.Wait()
	f.record.AddPartCrashes(observed)
}

// setCrashingPart sets the part that crashes all engines; nil for none.
func (f *Fleet) setCrashingPart(part *crashingPart) {
	for _, u := range f.upstreams {
		if u.service == engineService {
			u.crashes.Store(part)
		}
	}
}

// sendPart sends a request whose prompt has a part, and ignores its response.
func sendPart(caller standin.Caller, id, part string) {
	req, err := caller.Stream(context.Background(), "/digest/"+id, id, part, 1)
	if err != nil {
		// The request is built from constants and numbers, so an error is a bug here.
		panic(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	var e verdict.Exchange
	send(client, req, &e)
}
