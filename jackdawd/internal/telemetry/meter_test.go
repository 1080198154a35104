package telemetry

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/work"
)

func TestHandlerWritesPrometheusFormat(t *testing.T) {
	m := NewMeter()
	m.RecordResponse("portal", 10*time.Millisecond, 20*time.Millisecond, time.Second)
	m.RecordRefusal("portal", work.NewRefusal(503, work.Overloaded, "full"))
	m.RecordRetry(work.NoUpstream)
	m.Gauge("moved_chats", func() int64 { return 7 })
	m.GaugeFamily("waiting_requests", "upstream", func() map[string]int64 { return map[string]int64{"engine-1": 3} })
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`jackdawd_first_token_seconds{class="portal",quantile="0.5"} 0.02`,
		`jackdawd_refusals{class="portal",code="overloaded"} 1`,
		`jackdawd_retries{code="no-upstream"} 1`,
		`jackdawd_late_answers{class="portal"} 1`,
		`jackdawd_moved_chats 7`,
		`jackdawd_waiting_requests{upstream="engine-1"} 3`,
	} {
		require.Contains(t, w.Body.String(), line)
	}
	require.Equal(t, ClassStats{Answered: 1, LateResponses: 1, Refused: 1, FirstTokenP95: 20 * time.Millisecond}, m.ClassStats("portal"))
}
