package verdict

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// good returns a record in which every promise is kept.
func good() *Record {
	r := &Record{FaultEnd: at(10), End: at(30), Hosts: 2, Era: 1, Known: []Known{{Hosts: 2, Era: 1}, {Hosts: 2, Era: 1}}}
	for i, sent := range []float64{1, 2, 20, 25} {
		id := string(rune('a' + i))
		r.Exchanges = append(r.Exchanges, Exchange{
			ID: id, Route: Notice, Key: "k", Sent: at(sent), Ended: at(sent + 0.1), Status: http.StatusOK, AnswerID: id, Body: "to " + id, Want: "to " + id, Whole: true,
		})
		r.Runs = append(r.Runs, Run{ID: id, Upstream: "u1", At: at(sent)})
	}
	return r
}

func TestGoodRecordBreaksNothing(t *testing.T) {
	require.Empty(t, Check(good()))
}

// Each promise is seen to be broken by a record of a system that breaks it.
func TestBrokenPromisesAreSeen(t *testing.T) {
	tests := map[string]struct {
		promise string
		spoil   func(r *Record)
	}{
		"answer of another":  {"whole answers", func(r *Record) { r.Exchanges[0].AnswerID = "b" }},
		"answer is cut":      {"whole answers", func(r *Record) { r.Exchanges[0].Body = "to" }},
		"stream lacks event": {"whole answers", func(r *Record) { r.Exchanges[0].Route, r.Exchanges[0].Body = Digest, "x to a" }},
		"runs twice":         {"at most once", func(r *Record) { r.Runs = append(r.Runs, r.Runs[0]) }},
		"refused but ran":    {"not run is true", func(r *Record) { r.Exchanges[0].Status = http.StatusServiceUnavailable }},
		"many repeats": {"retry budget", func(r *Record) {
			r.Exchanges[0].Route = Scan
			for range 20 {
				r.Runs = append(r.Runs, r.Runs[0])
			}
		}},
		"work for a leaver": {"drain", func(r *Record) { r.Changes = append(r.Changes, Change{At: at(10), Upstream: "u1"}) }},
		"route not known": {"in force", func(r *Record) {
			r.Changes = append(r.Changes, Change{At: at(10), Number: 4})
			r.Exchanges = append(r.Exchanges, Exchange{ID: "p", Route: Probe, Number: 4, Sent: at(14), Ended: at(14), Status: http.StatusNotFound})
		}},
		"route forgotten": {"never back", func(r *Record) {
			r.Exchanges = append(r.Exchanges,
				Exchange{ID: "p", Route: Probe, Number: 4, Sent: at(14), Ended: at(14.1), Status: http.StatusOK},
				Exchange{ID: "q", Route: Probe, Number: 4, Sent: at(15), Ended: at(15.1), Status: http.StatusNotFound})
		}},
		"host not known":    {"hosts agree", func(r *Record) { r.Known[1].Hosts-- }},
		"restore not known": {"hosts agree", func(r *Record) { r.Known[1].Era-- }},
		"revoked key runs":  {"revocation", func(r *Record) { r.Changes = append(r.Changes, Change{At: at(10), Key: "k"}) }},
		"not recovered":     {"recovery", func(r *Record) { r.Exchanges[2].Status, r.Exchanges[3].Status = 502, 502 }},
		"one gets all": {"load bound", func(r *Record) {
			r.PoolUpstreams = 3
			for i := range 60 {
				r.Runs = append(r.Runs, Run{ID: fmt.Sprint(i), Pool: "reader", Upstream: "u1", At: at(20 + float64(i)/100), Ended: at(25)})
			}
		}},
		"one gets all between faults": {"load bound", func(r *Record) {
			r.PoolUpstreams = 3
			r.FaultEnd = at(40)
			r.Upsets(at(1), at(2))
			for i := range 60 {
				r.Runs = append(r.Runs, Run{ID: fmt.Sprint(i), Pool: "reader", Upstream: "u1", At: at(20 + float64(i)/100), Ended: at(25)})
			}
		}},
		"stop cuts off": {"graceful stop", func(r *Record) {
			r.Stops = append(r.Stops, Span{From: at(2.05), To: at(5)})
			r.Exchanges[1].Whole = false
		}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := good()
			test.spoil(r)
			var promises []string
			for _, v := range Check(r) {
				promises = append(promises, v.Promise)
			}
			require.Contains(t, promises, test.promise)
		})
	}
}

// What a disturbed host does late is no broken promise.
func TestDisturbedHostsAreExcused(t *testing.T) {
	r := good()
	r.Changes = append(r.Changes, Change{At: at(10), Upstream: "u1"}, Change{At: at(10), Number: 4})
	r.Exchanges = append(r.Exchanges, Exchange{ID: "p", Route: Probe, Number: 4, Sent: at(14), Ended: at(14), Status: http.StatusNotFound})
	r.Disturb(-1, at(11), at(26))
	require.Empty(t, Check(r))
	r.Stops = append(r.Stops, Span{From: at(2.05), To: at(5)})
	r.Exchanges[1].Whole = false
	r.Upsets(at(2), at(3))
	require.Empty(t, Check(r))
}

// The same number of requests spread over the pool, or before the system has recovered,
// is no broken promise.
func TestSpreadLoadBreaksNothing(t *testing.T) {
	for name, begin := range map[string]float64{"spread": 20, "not yet recovered": 11} {
		t.Run(name, func(t *testing.T) {
			r := good()
			r.PoolUpstreams = 3
			for i := range 60 {
				upstream := "u1"
				if begin == 20 {
					upstream = fmt.Sprint("u", i%3)
				}
				r.Runs = append(r.Runs, Run{ID: fmt.Sprint(i), Pool: "reader", Upstream: upstream, At: at(begin + float64(i)/100), Ended: at(begin + 5)})
			}
			require.Empty(t, Check(r))
		})
	}
}
