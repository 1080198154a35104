package verdict

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var epoch = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// validRecord returns a record without violations.
func validRecord() *Record {
	r := &Record{FaultEnd: at(10), End: at(30), Hosts: 2, StoreRestores: 1, HostViews: []HostView{{Hosts: 2, StoreRestores: 1}, {Hosts: 2, StoreRestores: 1}}}
	for i, sent := range []float64{1, 2, 20, 25} {
		id := string(rune('a' + i))
		r.Exchanges = append(r.Exchanges, Exchange{
			ID: id, Route: Notice, Key: "k", Sent: at(sent), Ended: at(sent + 0.1), Status: http.StatusOK, ResponseID: id, Body: "to " + id, WantBody: "to " + id, Complete: true,
		})
		r.Executions = append(r.Executions, Execution{ID: id, Upstream: "u1", Started: at(sent)})
	}
	return r
}

// surgeOf returns a surge in which one of two workspaces is served, the other one not.
func surgeOf(refused, served string, surging bool) Surge {
	s := Surge{From: at(1), To: at(9)}
	for range minSurgeRequests {
		s.Requests = append(s.Requests, SurgeRequest{Workspace: refused, Sent: at(5)}, SurgeRequest{Workspace: served, Urgency: 1, Surging: surging, Sent: at(5), Served: true})
	}
	return s
}

func TestValidRecordHasNoViolations(t *testing.T) {
	require.Empty(t, Check(validRecord()))
}

// Each case turns a valid record into one that violates a guarantee, which Check must report.
func TestViolationsAreDetected(t *testing.T) {
	tests := map[string]struct {
		guarantee string
		mutate    func(r *Record)
	}{
		"response to another request": {"whole answers", func(r *Record) { r.Exchanges[0].ResponseID = "b" }},
		"truncated response":          {"whole answers", func(r *Record) { r.Exchanges[0].Body = "to" }},
		"incomplete stream":           {"whole answers", func(r *Record) { r.Exchanges[0].Route, r.Exchanges[0].Body = Digest, "x to a" }},
		"executed twice":              {"at most once", func(r *Record) { r.Executions = append(r.Executions, r.Executions[0]) }},
		"refused but executed":        {"not run is true", func(r *Record) { r.Exchanges[0].Status = http.StatusServiceUnavailable }},
		"too many retries": {"retry budget", func(r *Record) {
			r.Exchanges[0].Route = Scan
			for range 20 {
				r.Executions = append(r.Executions, r.Executions[0])
			}
		}},
		"request to a draining upstream": {"drain", func(r *Record) { r.Changes = append(r.Changes, Change{At: at(10), DrainingUpstream: "u1"}) }},
		"request to an evacuated failure domain": {"evacuation", func(r *Record) {
			r.Executions[2].FailureDomain = "a"
			r.Changes = append(r.Changes, Change{At: at(10), EvacuatedDomain: "a", EvacuatedUntil: at(21)})
		}},
		"urgent requests refused in a surge":         {"urgency", func(r *Record) { r.AddSurge(surgeOf("urgent", "patient", false)) }},
		"surging workspace served before its equals": {"shares", func(r *Record) { r.AddSurge(surgeOf("usual", "surging", true)) }},
		"too many requests to a cold upstream":       {"cold upstreams", func(r *Record) { r.ColdCrashes = []string{"u1"} }},
		"added route unknown": {"in force", func(r *Record) {
			r.Changes = append(r.Changes, Change{At: at(10), RouteNumber: 4})
			r.Exchanges = append(r.Exchanges, Exchange{ID: "p", Route: Probe, RouteNumber: 4, Sent: at(14), Ended: at(14), Status: http.StatusNotFound})
		}},
		"added route lost": {"never back", func(r *Record) {
			r.Exchanges = append(r.Exchanges,
				Exchange{ID: "p", Route: Probe, RouteNumber: 4, Sent: at(14), Ended: at(14.1), Status: http.StatusOK},
				Exchange{ID: "q", Route: Probe, RouteNumber: 4, Sent: at(15), Ended: at(15.1), Status: http.StatusNotFound})
		}},
		"unknown host":         {"hosts agree", func(r *Record) { r.HostViews[1].Hosts-- }},
		"unknown restore":      {"hosts agree", func(r *Record) { r.HostViews[1].StoreRestores-- }},
		"revoked key accepted": {"revocation", func(r *Record) { r.Changes = append(r.Changes, Change{At: at(10), RevokedKey: "k"}) }},
		"not recovered":        {"recovery", func(r *Record) { r.Exchanges[2].Status, r.Exchanges[3].Status = 502, 502 }},
		"one upstream gets all requests": {"load bound", func(r *Record) {
			r.PoolUpstreams = 3
			for i := range 60 {
				r.Executions = append(r.Executions, Execution{ID: fmt.Sprint(i), Pool: "reader", Upstream: "u1", Started: at(20 + float64(i)/100), Ended: at(25)})
			}
		}},
		"one upstream gets all requests between faults": {"load bound", func(r *Record) {
			r.PoolUpstreams = 3
			r.FaultEnd = at(40)
			r.AddUpstreamFault(at(1), at(2), "", Unaffected)
			for i := range 60 {
				r.Executions = append(r.Executions, Execution{ID: fmt.Sprint(i), Pool: "reader", Upstream: "u1", Started: at(20 + float64(i)/100), Ended: at(25)})
			}
		}},
		"stream of two versions": {"one version", func(r *Record) {
			first := Exchange{ID: "s", Route: Digest, Status: http.StatusOK, Events: 3, Body: "id: 1\ndata: x\n\nid: 2"}
			first.AddVersions("v2", "v1")
			resumed := Exchange{ID: "sr", Route: Digest, Status: http.StatusOK, Events: 3, Resumes: "s", ResumeAfter: first.LastEvent(), Versions: first.Versions, Body: "id: 2\ndata: y of v2\n\n"}
			resumed.AddVersions("v2", "v1")
			r.Exchanges = append(r.Exchanges, first, resumed)
		}},
		"request cut off by a stop": {"graceful stop", func(r *Record) {
			r.GracefulStops = append(r.GracefulStops, Interval{From: at(2.05), To: at(5)})
			r.Exchanges[1].Complete = false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			test.mutate(r)
			var guarantees []string
			for _, v := range Check(r) {
				guarantees = append(guarantees, v.Guarantee)
			}
			require.Contains(t, guarantees, test.guarantee)
		})
	}
}

// Time bounds do not apply to hosts affected by a fault, nor graceful stops during a fault of an
// upstream.
func TestDisturbedHostsAreExempt(t *testing.T) {
	r := validRecord()
	r.Changes = append(r.Changes, Change{At: at(10), DrainingUpstream: "u1"}, Change{At: at(10), RouteNumber: 4})
	r.Exchanges = append(r.Exchanges, Exchange{ID: "p", Route: Probe, RouteNumber: 4, Sent: at(14), Ended: at(14), Status: http.StatusNotFound})
	r.AddHostFault(-1, at(11), at(26))
	require.Empty(t, Check(r))
	r.GracefulStops = append(r.GracefulStops, Interval{From: at(2.05), To: at(5)})
	r.Exchanges[1].Complete = false
	r.AddUpstreamFault(at(2), at(3), "", Unaffected)
	require.Empty(t, Check(r))
}

// The load bound allows the same number of requests when they are spread over the pool, and does
// not apply before the system has had its time to recover.
func TestBalancedLoadHasNoViolations(t *testing.T) {
	for name, startSecond := range map[string]float64{"balanced": 20, "not yet recovered": 11} {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			r.PoolUpstreams = 3
			for i := range 60 {
				upstream := "u1"
				if startSecond == 20 {
					upstream = fmt.Sprint("u", i%3)
				}
				r.Executions = append(r.Executions, Execution{ID: fmt.Sprint(i), Pool: "reader", Upstream: upstream, Started: at(startSecond + float64(i)/100), Ended: at(startSecond + 5)})
			}
			require.Empty(t, Check(r))
		})
	}
}

// Guards against a check that passes while requests with a part that crashes engines go on reaching them.
func TestPartCrashesAreChecked(t *testing.T) {
	for name, test := range map[string]struct {
		crashes   int
		arrivals  []float64
		disturbed bool
		want      int
	}{
		"few late ones":           {5, []float64{1, 2, 9, 9.2, 9.4}, false, 0},
		"many late ones":          {5, []float64{9, 9.2, 9.4, 9.6}, false, 1},
		"hosts have time to act":  {5, []float64{5, 5.2, 5.4, 5.6, 5.8}, false, 0},
		"hosts were out of touch": {5, []float64{9, 9.2, 9.4, 9.6}, true, 0},
		"too few crashes":         {4, []float64{9, 9.2, 9.4, 9.6}, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r, p := &Record{}, PartCrashes{Hosts: map[string]int{}}
			for n := range test.crashes {
				p.CrashedAt = append(p.CrashedAt, at(float64(n)))
			}
			for n, arrival := range test.arrivals {
				id := fmt.Sprint(n)
				p.Hosts[id] = 1
				r.Executions = append(r.Executions, Execution{ID: id, Started: at(arrival)})
			}
			if test.disturbed {
				r.AddHostFault(1, at(8), at(9))
			}
			r.AddPartCrashes(p)
			require.Len(t, checkPartCrashes(r), test.want)
		})
	}
}
