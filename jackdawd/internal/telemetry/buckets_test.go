package telemetry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Bucket counts are summed over hosts, so each duration must be counted in every bucket whose bound
// is at least that long.
func TestHistogramBucketsAreCumulative(t *testing.T) {
	m := NewMeter()
	for _, duration := range []time.Duration{time.Millisecond, 30 * time.Millisecond, time.Minute} {
		m.Time("request_seconds", duration, "kind", "streaming")
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`jackdawd_request_seconds_bucket{kind="streaming",le="0.0005"} 0`,
		`jackdawd_request_seconds_bucket{kind="streaming",le="0.001"} 1`,
		`jackdawd_request_seconds_bucket{kind="streaming",le="0.035"} 2`,
		`jackdawd_request_seconds_bucket{kind="streaming",le="20"} 2`,
		`jackdawd_request_seconds_bucket{kind="streaming",le="+Inf"} 3`,
		`jackdawd_request_seconds_sum{kind="streaming"} 60.031`,
	} {
		require.Contains(t, w.Body.String(), line+"\n")
	}
}

func BenchmarkTime(b *testing.B) {
	m := NewMeter()
	for b.Loop() {
		m.Time("request_seconds", 70*time.Millisecond, "kind", "streaming")
	}
}
