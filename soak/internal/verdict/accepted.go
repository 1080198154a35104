package verdict

import (
	"fmt"
	"strings"
	"time"
)

// acceptedSettleTime is how long before a request a fault of its host still excuses it.
const acceptedSettleTime = 4 * time.Second

// checkAccepted checks that a host that is not disturbed answers each request that has reached it, unless the
// time for it was over or its upstream ended the response.
func checkAccepted(r *Record) (out []Violation) {
	executions := executionsByID(r)
	var unread []string
	for _, e := range r.Exchanges {
		took := e.Ended.Sub(e.Sent)
		if e.Complete || e.Written.IsZero() || took >= e.Route.LeastTimeout() || !r.undisturbed(e.Host, e.Ended, took+acceptedSettleTime) || r.upstreamEnded(e, executions[e.ID]) {
			continue
		}
		if e.NewConnection && e.Status == 0 && len(executions[e.ID]) == 0 {
			unread = append(unread, e.ID)
			continue
		}
		var upstreams []string
		for _, execution := range executions[e.ID] {
			upstreams = append(upstreams, execution.Upstream)
		}
		out = append(out, Violation{"accepted", fmt.Sprintf("%s (%s) to host %d at %s ended after %s with status %d and %d events, ran at %v: %v",
			e.ID, e.Route, e.Host, e.Sent.Format("15:04:05.000"), took.Round(time.Millisecond), e.Status, strings.Count(e.Body, eventEnd), upstreams, e.Error)})
	}
	if len(unread) > 0 {
		refused := 0
		for _, view := range r.HostViews {
			refused += view.RefusedConnections
		}
		out = append(out, Violation{"accepted unread", fmt.Sprintf("%d requests on new connections got no response, hosts closed %d unread: %.100v", len(unread), refused, unread)})
	}
	return out
}

// upstreamEnded reports whether an upstream that executed a request may have ended the response. Of a stream that
// must not be repeated, hosts may also give up an upstream with any fault but a silence.
func (r *Record) upstreamEnded(e Exchange, executions []Execution) bool {
	mayGiveUp := e.Route.Streams() && e.Route.AtMostOnce()
	for _, f := range r.UpstreamFaults {
		excuses := f.Effect == Breaks || (f.Effect == Delays && mayGiveUp)
		if !excuses || f.To.Before(e.Sent) || f.From.After(e.Ended) {
			continue
		}
		for _, execution := range executions {
			if strings.HasPrefix(execution.Upstream, f.Upstream) {
				return true
			}
		}
	}
	return false
}
