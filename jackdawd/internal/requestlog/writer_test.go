package requestlog

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/relay"
	"jackdawhinge/jackdawd/internal/telemetry"
	"jackdawhinge/jackdawd/internal/work"
	"jackdawhinge/standin/clock"
)

func newLogger() (*logrus.Logger, *bytes.Buffer) {
	var out bytes.Buffer
	l := logrus.New()
	l.SetOutput(&out)
	l.SetFormatter(&logrus.JSONFormatter{})
	return l, &out
}

func newRecord(id string, outcome relay.Outcome, arrived time.Time) *relay.RequestRecord {
	return &relay.RequestRecord{
		RequestID: id, Route: "sort", Kind: "streaming", Pool: "reader", HasConfiguration: true, ConfigurationVersion: 7, Arrived: arrived, Outcome: outcome, Status: http.StatusOK,
		Steps: []relay.Step{{Decision: relay.Placed, Upstream: "u1"}, {Decision: relay.Tried, Upstream: "u1", Verdict: "answered"}},
	}
}

// The log must tell requests placed by a plan from those placed without one. Otherwise operators
// can't see that hosts place by plans that are too old.
func TestPlanAgeIsLogged(t *testing.T) {
	routineLog, out := newLogger()
	w := NewWriter(routineLog, routineLog, telemetry.NewMeter())
	planned := newRecord("planned", relay.Answered, time.Unix(1, 0))
	planned.Steps[0].HasPlan, planned.Steps[0].PlanAge = true, 700*time.Millisecond
	w.Record(planned)
	require.Contains(t, out.String(), `"plan-age":"700ms"`)
	out.Reset()
	w.Record(newRecord("unplanned", relay.Answered, time.Unix(1, 0)))
	require.NotContains(t, out.String(), "plan-age")
}

// Guards against an upstream that is overloaded while hosts believe that it has capacity: the log
// must show which load report a placement relied on, and its age.
func TestLoadKnownAtPlacementIsLogged(t *testing.T) {
	log, out := newLogger()
	w := NewWriter(log, log, telemetry.NewMeter())
	placed := newRecord("placed", relay.Answered, time.Unix(1, 0))
	placed.Steps[0].Load, placed.Steps[0].Mean, placed.Steps[0].Limit = placement.Load{Own: 2, Others: 5, Age: 600 * time.Millisecond}, 4, 10
	w.Record(placed)
	for _, field := range []string{`"own":2`, `"others":5`, `"news-age":"600ms"`, `"mean":4`, `"limit":10`} {
		require.Contains(t, out.String(), field)
	}
	out.Reset()
	w.Record(newRecord("nothing known", relay.Answered, time.Unix(1, 0)))
	require.NotContains(t, out.String(), "news-age")
}

// A host that has just started refuses requests before it has a configuration. The log reported an
// age of 292 years for the missing configuration.
// The logs must say that a request resumes an earlier one, and at which software version it goes on.
func TestResumptionByCallerIsLogged(t *testing.T) {
	log, out := newLogger()
	w := NewWriter(log, log, telemetry.NewMeter())
	r := newRecord("r2", relay.Answered, time.Now())
	r.ResumedID, r.ResumeAfter = "r1", "12"
	r.Steps = append(r.Steps, relay.Step{Decision: relay.Placed, Upstream: "reader-1", SoftwareVersion: "v1.2"})
	w.Record(r)
	require.Contains(t, out.String(), `"resumes":"r1"`)
	require.Contains(t, out.String(), `"software":"v1.2"`)
}

func TestMissingConfigurationHasNoAge(t *testing.T) {
	log, out := newLogger()
	w := NewWriter(log, log, telemetry.NewMeter())
	refused := &relay.RequestRecord{RequestID: "early", Outcome: relay.Refused, Refusal: work.NewRefusal(http.StatusServiceUnavailable, work.NotReady, "the host has no configuration yet")}
	w.Record(refused)
	require.Contains(t, out.String(), "relay: Refused.")
	require.NotContains(t, out.String(), `"age"`)
	require.NotContains(t, out.String(), `"version"`)
}

// Guards against a refused request from whose lines operators can't tell which rule refused it.
func TestRuleOfPoolAdmissionIsLogged(t *testing.T) {
	log, out := newLogger()
	meter := telemetry.NewMeter()
	w := NewWriter(log, log, meter)
	w.Record(&relay.RequestRecord{
		RequestID: "r1", Pool: "reader", Workspace: "mailroom", Outcome: relay.Refused, Status: http.StatusServiceUnavailable,
		Steps:   []relay.Step{{Decision: relay.Stopped, Reason: "pool-over-share", AdmissionRatio: 0.251, Rank: 4}},
		Refusal: work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the pool is full (over-share)"),
	})
	for _, field := range []string{`"msg":"relay: Refused by pool-wide admission."`, `"reason":"pool-over-share"`, `"pool":"reader"`, `"workspace":"mailroom"`, `"rank":4`, `"ratio":0.25`} {
		require.Contains(t, strings.SplitN(out.String(), "\n", 2)[0], field)
	}
	metrics := httptest.NewRecorder()
	meter.Handler().ServeHTTP(metrics, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	require.Contains(t, metrics.Body.String(), `jackdawd_pool_admission_refusals{pool="reader",reason="over-share"} 1`)
	out.Reset()
	denied := newRecord("r2", relay.Refused, time.Unix(1, 0))
	denied.Steps = append(denied.Steps, relay.Step{Decision: relay.Stopped, Reason: "budget-spent"})
	denied.Refusal = work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the upstream is full")
	w.Record(denied)
	require.Contains(t, out.String(), "relay: Not retrying.")
	require.NotContains(t, out.String(), `"ratio"`)
}

// Upstreams crash while they run copies of one request, each with another ID. Without the
// copies' common fingerprint in the log, operators can't tell the request that causes the crashes
// from the requests that fail because of them.
func TestFingerprintIsLogged(t *testing.T) {
	log, out := newLogger()
	w := NewWriter(log, log, telemetry.NewMeter())
	broken := newRecord("copy-1", relay.Truncated, time.Unix(1, 0))
	broken.Fingerprint, broken.PromptParts = 0xbeef, []string{"5c", "91"}
	w.Record(broken)
	require.Contains(t, out.String(), `"fingerprint":"000000000000beef"`)
	require.Contains(t, out.String(), `"parts":"5c,91"`)
	out.Reset()
	w.Record(newRecord("sound", relay.Answered, time.Unix(1, 0)))
	require.NotContains(t, out.String(), "fingerprint")
}

func TestRoutineAndAnomalousRequestsAreLoggedApart(t *testing.T) {
	routineLog, routineOut := newLogger()
	anomalyLog, anomalyOut := newLogger()
	w := NewWriter(routineLog, anomalyLog, telemetry.NewMeter())
	w.Record(newRecord("good", relay.Answered, time.Unix(1, 0)))
	bad := newRecord("bad", relay.Refused, time.Unix(1, 0))
	bad.Refusal = work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the upstream is full")
	bad.Steps[1].Err = errors.New("oh")
	w.Record(bad)
	require.Equal(t, 3, strings.Count(routineOut.String(), `"request":"good"`))
	require.Equal(t, 3, strings.Count(anomalyOut.String(), `"request":"bad"`))
	require.Contains(t, anomalyOut.String(), `"code":"overloaded"`)
	require.Contains(t, anomalyOut.String(), `"error":"oh"`)
}

// At ten times the usual rate, the log must stay within its own rate, and a sampled request must be
// logged with all its lines.
func TestRequestSurgeIsSampled(t *testing.T) {
	routineLog, out := newLogger()
	w := NewWriter(routineLog, routineLog, telemetry.NewMeter())
	for second := range 10 {
		for i := range 200 {
			w.Record(newRecord(fmt.Sprintf("%d-%d", second, i), relay.Answered, time.Unix(int64(second), 0)))
		}
	}
	lines := strings.Count(out.String(), "\n")
	require.Zero(t, lines%3)
	require.Less(t, lines/3, 10*maxRoutinePerSecond*2)
	require.Greater(t, lines/3, 10*maxRoutinePerSecond/2)
}

// Guards against a log that grows beyond its rate on a host whose time of day jumps again and again: clock.AfterJump
// stands for the jumps, with the monotonic clock unchanged.
func TestClockJumpsKeepSampleRate(t *testing.T) {
	const requests, seconds = 200, 10
	s, now, sampled := &sampler{maxPerSecond: maxRoutinePerSecond}, time.Now(), 0
	for i := range requests * seconds {
		if s.sample(clock.AfterJump(now, i%7-3), fmt.Sprint(i)) {
			sampled++
		}
		now = now.Add(time.Second / requests)
	}
	require.Less(t, sampled, seconds*maxRoutinePerSecond*2)
	require.Greater(t, sampled, seconds*maxRoutinePerSecond/2)
}

// Guards against requests that hang because nobody reads standard output: 10,000 of them must end
// without delay, and lines that don't fit into the buffer must be counted as dropped.
func TestStalledLogReaderBlocksNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, out := io.Pipe()
		lines := telemetry.NewLogWriter(out)
		routineLog, anomalyLog := logrus.New(), logrus.New()
		routineLog.SetOutput(lines.LowPriority())
		anomalyLog.SetOutput(lines)
		w := NewWriter(routineLog, anomalyLog, telemetry.NewMeter())
		start := time.Now()
		for i := range 10_000 {
			outcome := relay.Answered
			if i%2 == 0 {
				outcome = relay.CallerLeft
			}
			// Each request ends a second after the one before, so that sampling leaves none out.
			w.Record(newRecord(fmt.Sprint(i), outcome, time.Unix(int64(i), 0)))
		}
		require.Zero(t, time.Since(start))
		require.Positive(t, lines.Dropped())
		require.NoError(t, reader.Close())
		lines.Close(time.Second)
	})
}

func BenchmarkStory(b *testing.B) {
	for name, perSecond := range map[string]int{"usual": 15, "ten-times": 150} {
		b.Run(name, func(b *testing.B) {
			var out countingWriter
			l := logrus.New()
			l.SetOutput(&out)
			l.SetFormatter(&logrus.JSONFormatter{})
			w := NewWriter(l, l, telemetry.NewMeter())
			n := 0
			for b.Loop() {
				n++
				w.Record(newRecord(fmt.Sprint(n), relay.Answered, time.Unix(int64(n/perSecond), 0)))
			}
			b.ReportMetric(float64(out.bytes)/float64(n)*float64(perSecond), "bytes/s")
		})
	}
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes int }

// Write adds the length of p to the count.
func (c *countingWriter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}

// Guards against log lines that do not say why a response is not complete.
func TestCauseOfIncompleteResponseIsLogged(t *testing.T) {
	for _, outcome := range []relay.Outcome{relay.CallerLeft, relay.Truncated} {
		log, out := newLogger()
		record := newRecord("r1", outcome, time.Unix(1, 0))
		record.Cause = relay.WriteTimedOut
		NewWriter(log, log, telemetry.NewMeter()).Record(record)
		require.Contains(t, out.String(), `"cause":"write-timed-out"`)
	}
}
