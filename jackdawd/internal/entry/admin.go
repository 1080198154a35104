package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawhinge/common/report"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/placement"
)

// adminHandler returns the handler of metrics, status and explanations; nothing there changes anything.
func (h *Host) adminHandler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET "+report.StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.status()) })
	mux.HandleFunc("GET "+report.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		e, ok := h.explain(r.URL.Query().Get("model"), r.URL.Query().Get("chat"))
		if !ok {
			http.Error(w, "model: there is no such pool", http.StatusNotFound)
			return
		}
		writeJSON(w, e)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// A reader that has gone away needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

func (h *Host) status() report.Status {
	snapshot := h.keeper.Snapshot()
	s := report.Status{Host: h.options.Name, Ready: h.keeper.Ready() && !h.stopping.Load(), ListAge: targets.Duration(h.keeper.Age().Round(time.Millisecond)), StoreEra: h.source.StoreEra()}
	if c := snapshot.Configuration(); c != nil {
		s.Revision = c.Version()
	}
	for name, pool := range snapshot.Pools() {
		s.Upstreams = append(s.Upstreams, h.describe(name, pool)...)
	}
	s.Quarantined = h.quarantined()
	s.Sort()
	return s
}

// quarantined returns the requests that are kept from upstreams.
func (h *Host) quarantined() []report.Quarantined {
	now := time.Now()
	var out []report.Quarantined
	for _, r := range h.quarantine.AllBarred(now) {
		left, _ := h.quarantine.Barred(now, r.Request)
		out = append(out, report.Quarantined{Fingerprint: r.Request.String(), Crashes: len(r.Crashes), Left: targets.Duration(left.Round(time.Second))})
	}
	return out
}

func (h *Host) describe(pool string, upstreams []*traffic.Upstream) []report.Upstream {
	loads := h.loads.All(time.Now(), upstreams)
	mean := placement.Choice{Loads: loads}.Mean()
	out := make([]report.Upstream, len(upstreams))
	for i, u := range upstreams {
		out[i] = report.Upstream{
			Name: u.ID, Model: pool, FailureDomain: u.FailureDomain, Load: int64(loads[i].Requests()), Known: true, Mean: mean, Limit: int64(u.Slots),
		}
	}
	return out
}

// explain returns the upstreams that a prompt's shared part is placed at, first choice first.
func (h *Host) explain(pool, part string) (report.Explanation, bool) {
	upstreams, ok := h.keeper.Snapshot().Pools()[pool]
	if !ok {
		return report.Explanation{}, false
	}
	e := report.Explanation{Host: h.options.Name, Model: pool, Multiple: h.bounds.Load().LoadMultiple}
	ranked := placement.Rank(xxhash.Sum64String(part), upstreams)
	e.Candidates = h.describe(pool, ranked[:min(len(ranked), explained)])
	return e, true
}

// explained is how many candidates an explanation shows.
const explained = 4
