package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"

	"jackdawhinge/platform/standin"
)

// A stream that is resumed at another engine has a span for each attempt, below that of the
// request.
func TestSpanPerAttempt(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		spans := tracetest.NewSpanRecorder()
		f.handler.tracer = trace.NewTracerProvider(trace.WithSpanProcessor(spans)).Tracer("test")
		crashed := false
		f.setBehaviors(func(r *standin.Runner) standin.Behavior {
			return func(w http.ResponseWriter, req *http.Request, body []byte) bool {
				if crashed {
					return false
				}
				crashed = true
				return truncatedStream(r, 2)(w, req, body)
			}
		})
		require.NoError(t, f.do(f.streamRequest("/digest/x", "r1", 4)).err)
		ended := spans.Ended()
		require.Len(t, ended, 3)
		request := ended[2]
		require.Equal(t, "relay", request.Name())
		for i, verdict := range []string{"broken", "answered"} {
			require.Equal(t, "upstream", ended[i].Name())
			require.Equal(t, request.SpanContext().SpanID(), ended[i].Parent().SpanID())
			require.Contains(t, ended[i].Attributes(), attribute.String("verdict", verdict))
		}
	})
}

// The record holds the longest gap between events, because a long gap makes a response late even if
// it started on time.
func TestRecordHoldsMaxEventGap(t *testing.T) {
	runFixture(t, []string{"reader-1"}, func(t *testing.T, f *fixture) {
		f.runners["reader-1"].SetBehavior(func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			id := f.runners["reader-1"].RecordRun(r, body).ID
			f.runners["reader-1"].SetResponseHeaders(w.Header(), id)
			w.Header().Set("Content-Type", "text/event-stream")
			for _, wait := range []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond, 20 * time.Millisecond} {
				time.Sleep(wait)
				_, _ = w.Write([]byte(standin.Event(1)))
				_ = http.NewResponseController(w).Flush()
			}
			return true
		})
		f.do(f.streamRequest("/sort/x", "r1", 4))
		require.Equal(t, 300*time.Millisecond, f.recorder.lastRecord().MaxEventGap)
	})
}
