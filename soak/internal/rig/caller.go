package rig

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/verdict"
)

const (
	// callerTimeout is how long callers wait for a response.
	callerTimeout = 4 * time.Second
	// meanThinkTime is the mean pause between two requests of one caller.
	meanThinkTime = 60 * time.Millisecond
	// revokedKeyPercent and probePercent are the percentages of requests that carry a revoked key,
	// and that ask for a route added during the run.
	revokedKeyPercent = 8
	probePercent      = 10
	maxEvents         = 20
	// skewPercent is the percentage of requests that come to one host while callers are skewed.
	skewPercent = 95
	// maxResumptions is how often a caller resumes a stream that broke off.
	maxResumptions = 2
	// otherVersion is the software version of every other engine; one that restarts changes its
	// version.
	otherVersion = "v2"
	routeHost    = "letters.example"
)

// callRandomHost sends one random request to a random host and returns the exchange.
func (f *Fleet) callRandomHost(ctx context.Context, client *http.Client, random *rand.Rand, id string) verdict.Exchange {
	key := f.operator.randomKey(random, random.IntN(100) < revokedKeyPercent)
	e, caller := f.newExchange(random, id, key)
	req := f.newRequest(ctx, caller, random, &e)
	send(client, req, &e)
	return e
}

// newExchange returns the exchange of a request to a random host, and the caller that sends it.
func (f *Fleet) newExchange(random *rand.Rand, id, key string) (verdict.Exchange, standin.Caller) {
	hostIndex := random.IntN(len(f.hosts))
	if skewedTo := int(f.skewedTo.Load()); skewedTo >= 0 && random.IntN(100) < skewPercent {
		hostIndex = skewedTo
	}
	host := f.hosts[hostIndex]
	e := verdict.Exchange{ID: id, Host: hostIndex, Incarnation: host.Incarnation(), Key: key}
	return e, standin.Caller{Address: host.publicAddress, Host: routeHost, Key: key, Timeout: callerTimeout}
}

// resume requests the rest of a stream that broke off after some events from a random host, and returns
// the exchange.
func (f *Fleet) resume(ctx context.Context, client *http.Client, random *rand.Rand, first, broken verdict.Exchange) verdict.Exchange {
	e, caller := f.newExchange(random, broken.ID+"r", broken.Key)
	e.Route, e.Events, e.Resumes, e.ResumeAfter = broken.Route, broken.Events, first.ID, broken.LastEvent()
	for n := e.ResumeAfter + 1; n <= e.Events; n++ {
		e.WantBody += standin.Event(n)
	}
	e.Versions = broken.Versions
	req, err := caller.Stream(ctx, "/"+string(e.Route)+"/x", e.ID, "resumed", e.Events)
	if err != nil {
		// The request is built from constants and numbers, so an error is a bug here.
		panic(err)
	}
	req.Header.Set(standin.LastEventIDHeader, strconv.Itoa(e.ResumeAfter))
	req.Header.Set(standin.ResumesHeader, e.Resumes)
	send(client, req, &e)
	return e
}

// send sends a request and fills in what came of it.
func send(client *http.Client, req *http.Request, e *verdict.Exchange) {
	var connection httptrace.GotConnInfo
	// The client may call WroteRequest after it has the response.
	var written atomic.Int64
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(c httptrace.GotConnInfo) { connection = c },
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if i.Err == nil {
				written.Store(time.Now().UnixNano())
			}
		},
	}))
	if req.Body == http.NoBody {
		// The client would send a request without a body again if its connection ends.
		req.Body, req.GetBody = io.NopCloser(strings.NewReader("")), nil
	}
	e.Sent = time.Now()
	resp, err := client.Do(req)
	if err == nil {
		e.Status, e.ResponseID = resp.StatusCode, resp.Header.Get(standin.RequestIDHeader)
		var body []byte
		body, err = io.ReadAll(resp.Body)
		// A close error loses nothing: the body was read to its end or to its first error.
		_ = resp.Body.Close()
		e.Body, e.Complete = string(body), err == nil
		if resp.StatusCode == http.StatusOK && e.Route.Streams() {
			e.AddVersions(otherVersion, standin.DefaultVersion)
		}
	}
	e.Ended, e.Error = time.Now(), err
	if at := written.Load(); at != 0 {
		e.Written = time.Unix(0, at)
	}
	connectionEnded := e.Ended
	e.NewConnection = !connection.Reused
	if c, ok := connection.Conn.(*keptConn); ok {
		began, ended := c.requestTimes()
		e.Written = earliest(began, e.Written)
		connectionEnded = earliest(ended, connectionEnded)
	}
	if connection.Reused && e.Status == 0 && connectionEnded.Sub(e.Written) < closeRace && !errors.Is(err, syscall.ECONNRESET) {
		e.Written = time.Time{}
	}
}

// earliest returns the earlier of two times that is not zero.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || (!a.IsZero() && a.Before(b)) {
		return a
	}
	return b
}

// closeRace is how long after a request the caller may notice that the host had closed an idle connection before
// the request arrived. If it had arrived, the connection would be reset.
const closeRace = 20 * time.Millisecond

// newRequest returns a random request and fills in the route, the route number and the expected
// body of e.
func (f *Fleet) newRequest(ctx context.Context, caller standin.Caller, random *rand.Rand, e *verdict.Exchange) *http.Request {
	routes := []verdict.Route{verdict.Notice, verdict.Scan, verdict.Sort, verdict.Digest}
	e.Route = routes[random.IntN(len(routes))]
	e.WantBody = "to " + e.ID
	var req *http.Request
	var err error
	switch added := f.operator.addedRouteCount(); {
	case added > 0 && random.IntN(100) < probePercent:
		e.Route, e.RouteNumber = verdict.Probe, 1+random.IntN(added)
		req, err = caller.Request(ctx, http.MethodGet, fmt.Sprintf("/added-%d/x", e.RouteNumber), e.ID, "")
	case e.Route.Streams():
		events := 1 + random.IntN(maxEvents)
		e.Events = events
		var want strings.Builder
		for n := 1; n <= events; n++ {
			want.WriteString(standin.Event(n))
		}
		e.WantBody = want.String()
		req, err = caller.Stream(ctx, "/"+string(e.Route)+"/x", e.ID, fmt.Sprintf("s%d", random.IntN(f.promptCount())), events)
	case e.Route == verdict.Scan:
		req, err = caller.Request(ctx, http.MethodGet, "/scan/x", e.ID, "")
	default:
		req, err = caller.Request(ctx, http.MethodPost, "/notice/x", e.ID, "body")
	}
	if err != nil {
		// The request is built from constants and numbers, so an error is a bug here.
		panic(err)
	}
	return req
}

// maxIdleConns bounds the idle connections of a caller: without it, hundreds of callers and hosts
// exhaust the file descriptors of this process.
const maxIdleConns = 16

// promptsPerEngine is the number of distinct prompts for each engine.
const promptsPerEngine = 3

// promptCount returns the number of distinct prompts that all callers draw from.
func (f *Fleet) promptCount() int { return promptsPerEngine * (len(f.upstreams) + 1) / 2 }

// runCaller sends requests one after another until the context ends.
func (f *Fleet) runCaller(ctx context.Context, callerIndex int) {
	random := rand.New(rand.NewPCG(f.seed, uint64(callerIndex)))
	kept := &keptConns{splits: f.operator.changesIdleTimeout}
	transport := &http.Transport{DisableCompression: true, MaxIdleConns: maxIdleConns, DialContext: kept.dial}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: callerTimeout + time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		kept.closeIdle(f.operator.maxKeepTime())
		// A request in progress when the run ends is still completed.
		first := f.callRandomHost(context.WithoutCancel(ctx), client, random, fmt.Sprintf("%d-%d", callerIndex, n))
		f.record.AddExchange(first)
		latest := first
		for range maxResumptions {
			if !latest.IsResumable() {
				break
			}
			resumed := f.resume(context.WithoutCancel(ctx), client, random, first, latest)
			f.record.AddExchange(resumed)
			if resumed.Status == http.StatusOK {
				latest = resumed
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * meanThinkTime))))
	}
}
