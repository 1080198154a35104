package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"jackdawhinge/common/report"
	"jackdawhinge/common/targets"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/telemetry"
)

// A Host provides the state that the handler reports.
type Host interface {
	View() *routing.View
	Balancer() *routing.Balancer
	QueueDepth(u *routing.Upstream) (requests int, tokens, limit int64)
	Ready() bool
	ListAge() time.Duration
	Ledger() report.Ledger
	ClassStats(class string) telemetry.ClassStats
	Claims(ctx context.Context, workspace, key string) report.Claims
}

// Handler returns the HTTP handler for liveness, readiness, metrics, status, placement explanations and
// claims.
func Handler(host Host, metrics http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !host.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", metrics)
	mux.HandleFunc("GET "+report.StatusPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, newStatus(host)) })
	mux.HandleFunc("GET "+report.ExplainPath, func(w http.ResponseWriter, r *http.Request) { serveExplanation(host, w, r) })
	mux.HandleFunc("GET "+report.ClaimsPath, func(w http.ResponseWriter, r *http.Request) {
		q := r.URL.Query()
		writeJSON(w, host.Claims(r.Context(), q.Get("workspace"), q.Get("key")))
	})
	return mux
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Ignore a write error: the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func newStatus(host Host) report.Status {
	view := host.View()
	status := report.Status{
		Host:       view.Self(),
		Ready:      host.Ready(),
		Revision:   view.Revision(),
		ListAge:    targets.Duration(host.ListAge().Round(time.Millisecond)),
		MovedChats: host.Balancer().MovedChats(),
		Ledger:     host.Ledger(),
	}
	for _, h := range view.Hosts() {
		status.EntryHosts = append(status.EntryHosts, h.Name())
	}
	for name, class := range view.Document().Classes {
		stats := host.ClassStats(name)
		status.Classes = append(status.Classes, report.Class{
			Name: name, Target: class.FirstTokenWithin, FirstTokenP95: targets.Duration(stats.FirstTokenP95.Round(time.Millisecond)),
			Answered: stats.Answered, LateResponses: stats.LateResponses, Refused: stats.Refused,
		})
	}
	for _, pool := range view.Pools() {
		for _, u := range pool.Upstreams() {
			status.Upstreams = append(status.Upstreams, newUpstreamStatus(host, view, pool, u))
		}
	}
	status.Sort()
	return status
}

func newUpstreamStatus(host Host, view *routing.View, pool *routing.Pool, u *routing.Upstream) report.Upstream {
	owner, _ := view.Owner(u.Hash())
	load, known := host.Balancer().Load(time.Now(), u)
	requests, tokens, limit := host.QueueDepth(u)
	return report.Upstream{
		Name: u.Name(), Model: pool.Model(), FailureDomain: u.FailureDomain(), Owner: owner.Name(),
		Load: load, LoadKnown: known, MeanLoad: host.Balancer().Mean(time.Now(), pool),
		Waiting: requests, WaitingTokens: tokens, Limit: limit,
	}
}

func serveExplanation(host Host, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	view := host.View()
	pool, ok := view.Pool(q.Get("model"))
	if !ok {
		http.Error(w, "model: there is no such model", http.StatusNotFound)
		return
	}
	explanation := report.Explanation{Host: view.Self(), Model: pool.Model(), LoadMultiple: pool.LoadMultiple()}
	for _, u := range pool.Rank(routing.ChatHash(q.Get("workspace"), q.Get("chat"))) {
		explanation.Candidates = append(explanation.Candidates, newUpstreamStatus(host, view, pool, u))
	}
	writeJSON(w, explanation)
}
