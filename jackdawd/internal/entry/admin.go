package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"jackdawhinge/common/report"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
)

// adminHandler returns the handler for metrics, status and explanations of placements; all are
// read-only.
func (h *Host) adminHandler(metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET "+report.StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, h.status()) })
	mux.HandleFunc("GET "+report.ExplainPath, func(w http.ResponseWriter, r *http.Request) {
		explanation, ok := h.explain(r.URL.Query().Get("model"), r.URL.Query().Get("chat"))
		if !ok {
			http.Error(w, "model: there is no such pool", http.StatusNotFound)
			return
		}
		writeJSON(w, explanation)
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func (h *Host) status() report.Status {
	snapshot := h.tracker.Snapshot()
	status := report.Status{Host: h.options.Name, Ready: h.tracker.Ready() && !h.draining.Load(), ListAge: targets.Duration(h.tracker.Age().Round(time.Millisecond)), StoreEra: h.source.StoreEra()}
	if c := snapshot.Configuration(); c != nil {
		status.Revision = c.Version()
	}
	for name, pool := range snapshot.ReadyPools() {
		status.Upstreams = append(status.Upstreams, h.describeUpstreams(name, pool)...)
	}
	status.Quarantined = h.quarantinedRequests()
	status.Evacuations = evacuations(time.Now(), snapshot)
	status.PoolAdmission = h.admissionReporter.describe(time.Now())
	status.Sort()
	return status
}

// evacuations returns the failure domains that operators have taken out of use.
func evacuations(now time.Time, snapshot *membership.Snapshot) []report.Evacuation {
	var out []report.Evacuation
	for domain, since := range snapshot.EvacuatedSince() {
		out = append(out, report.Evacuation{
			FailureDomain: domain, Known: targets.Duration(now.Sub(since).Round(time.Millisecond)),
			Record: snapshot.Configuration().Evacuations().Domains[domain].Offset - 1,
		})
	}
	return out
}

// quarantinedRequests returns the requests that are no longer sent to upstreams because upstreams
// crashed while they ran them.
func (h *Host) quarantinedRequests() []report.QuarantinedRequest {
	now := time.Now()
	var requests []report.QuarantinedRequest
	for _, r := range h.quarantine.AllQuarantined(now) {
		left, _ := h.quarantine.Quarantined(now, r.Request)
		requests = append(requests, report.QuarantinedRequest{Fingerprint: r.Request.String(), Part: r.Part, Workspace: r.Workspace, Crashes: len(r.Crashes), Remaining: targets.Duration(left.Round(time.Second))})
	}
	return requests
}

func (h *Host) describeUpstreams(pool string, upstreams []*traffic.Upstream) []report.Upstream {
	loads := h.loads.All(time.Now(), upstreams)
	mean := placement.Choice{Loads: loads}.Mean()
	reports := make([]report.Upstream, len(upstreams))
	snapshot, now := h.tracker.Snapshot(), time.Now()
	for i, u := range upstreams {
		reports[i] = report.Upstream{
			Name: u.ID, Model: pool, FailureDomain: u.FailureDomain, Load: int64(loads[i].Requests()), LoadKnown: true, MeanLoad: mean, Limit: int64(u.Slots), SoftwareVersion: u.SoftwareVersion,
			Cold: targets.Duration(max(snapshot.ColdUntil(u.ID).Sub(now), 0).Round(time.Millisecond)),
		}
	}
	return reports
}

// explain returns the first candidates for a shared part of a prompt, by descending rendezvous
// rank, or false if there is no such pool.
func (h *Host) explain(pool, sharedPart string) (report.Explanation, bool) {
	upstreams, ok := h.tracker.Snapshot().ReadyPools()[pool]
	if !ok {
		return report.Explanation{}, false
	}
	explanation := report.Explanation{Host: h.options.Name, Model: pool, LoadMultiple: h.loadMultiple()}
	ranked := placement.Rank(xxhash.Sum64String(sharedPart), upstreams)
	explanation.Candidates = h.describeUpstreams(pool, ranked[:min(len(ranked), maxExplainedCandidates)])
	return explanation, true
}

// maxExplainedCandidates is how many candidates an explanation lists.
const maxExplainedCandidates = 4
