package stories

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
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
)

func newLog() (*logrus.Logger, *bytes.Buffer) {
	var out bytes.Buffer
	l := logrus.New()
	l.SetOutput(&out)
	l.SetFormatter(&logrus.JSONFormatter{})
	return l, &out
}

func story(id string, outcome relay.Outcome, at time.Time) *relay.Story {
	return &relay.Story{
		Request: id, Route: "sort", Kind: "streaming", Pool: "reader", Configured: true, Version: 7, Arrived: at, Outcome: outcome, Status: http.StatusOK,
		Steps: []relay.Step{{Decision: relay.Placed, Upstream: "u1"}, {Decision: relay.Tried, Upstream: "u1", Verdict: "answered"}},
	}
}

// A request was placed by a plan, another one without any. The log tells them apart, or
// nobody could see whether hosts place by plans that are too old.
func TestAgeOfThePlanIsTold(t *testing.T) {
	usual, out := newLog()
	w := NewWriter(usual, usual, telemetry.NewMeter())
	planned := story("planned", relay.Answered, time.Unix(1, 0))
	planned.Steps[0].Planned, planned.Steps[0].PlanAge = true, 700*time.Millisecond
	w.Ended(planned)
	require.Contains(t, out.String(), `"plan-age":"700ms"`)
	out.Reset()
	w.Ended(story("unplanned", relay.Answered, time.Unix(1, 0)))
	require.NotContains(t, out.String(), "plan-age")
}

// An upstream fills while hosts believe that it has room; the log shows by which news, and how old that was.
func TestWhatWasKnownOfTheUpstreamIsTold(t *testing.T) {
	log, out := newLog()
	w := NewWriter(log, log, telemetry.NewMeter())
	placed := story("placed", relay.Answered, time.Unix(1, 0))
	placed.Steps[0].Load, placed.Steps[0].Mean, placed.Steps[0].Limit = placement.Load{Own: 2, Others: 5, Age: 600 * time.Millisecond}, 4, 10
	w.Ended(placed)
	for _, field := range []string{`"own":2`, `"others":5`, `"news-age":"600ms"`, `"mean":4`, `"limit":10`} {
		require.Contains(t, out.String(), field)
	}
	out.Reset()
	w.Ended(story("nothing known", relay.Answered, time.Unix(1, 0)))
	require.NotContains(t, out.String(), "news-age")
}

// A host that has started refuses requests before it knows a configuration; the log gave that an age of 292 years.
func TestNoAgeWithoutAConfiguration(t *testing.T) {
	log, out := newLog()
	w := NewWriter(log, log, telemetry.NewMeter())
	refused := &relay.Story{Request: "early", Outcome: relay.Refused, Refusal: work.Refuse(http.StatusServiceUnavailable, work.NotReady, "the host has no configuration yet")}
	w.Ended(refused)
	require.Contains(t, out.String(), "relay: Refused.")
	require.NotContains(t, out.String(), `"age"`)
	require.NotContains(t, out.String(), `"version"`)
}

// Upstreams break off under copies of one request, each of which bears another identifier. The log
// shows what they have in common, or nobody could tell the cause of the crashes from its victims.
func TestCopiesOfARequestShowInTheLog(t *testing.T) {
	log, out := newLog()
	w := NewWriter(log, log, telemetry.NewMeter())
	broken := story("copy-1", relay.BrokenOff, time.Unix(1, 0))
	broken.Fingerprint = 0xbeef
	w.Ended(broken)
	require.Contains(t, out.String(), `"fingerprint":"000000000000beef"`)
	out.Reset()
	w.Ended(story("sound", relay.Answered, time.Unix(1, 0)))
	require.NotContains(t, out.String(), "fingerprint")
}

func TestOrdinaryAndOtherRequestsAreKeptApart(t *testing.T) {
	usual, usualOut := newLog()
	unusual, unusualOut := newLog()
	w := NewWriter(usual, unusual, telemetry.NewMeter())
	w.Ended(story("good", relay.Answered, time.Unix(1, 0)))
	bad := story("bad", relay.Refused, time.Unix(1, 0))
	bad.Refusal = work.Refuse(http.StatusServiceUnavailable, work.Overloaded, "the upstream is full")
	bad.Steps[1].Err = errors.New("oh")
	w.Ended(bad)
	require.Equal(t, 3, strings.Count(usualOut.String(), `"request":"good"`))
	require.Equal(t, 3, strings.Count(unusualOut.String(), `"request":"bad"`))
	require.Contains(t, unusualOut.String(), `"code":"overloaded"`)
	require.Contains(t, unusualOut.String(), `"error":"oh"`)
}

// A crowd comes at ten times the usual rate. The log stays within its rate, and a
// request that is written is written whole.
func TestCrowdIsSampled(t *testing.T) {
	usual, out := newLog()
	w := NewWriter(usual, usual, telemetry.NewMeter())
	for second := range 10 {
		for i := range 200 {
			w.Ended(story(fmt.Sprintf("%d-%d", second, i), relay.Answered, time.Unix(int64(second), 0)))
		}
	}
	lines := strings.Count(out.String(), "\n")
	require.Zero(t, lines%3)
	require.Less(t, lines/3, 10*usualPerSecond*2)
	require.Greater(t, lines/3, 10*usualPerSecond/2)
}

// Nobody reads standard output any more. Requests end as before, ten thousand of them at
// once; lines that find no room are counted instead of waited for.
func TestRequestsGoOnWhenNobodyReadsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, out := io.Pipe()
		lines := telemetry.NewLogWriter(out)
		usual, unusual := logrus.New(), logrus.New()
		usual.SetOutput(lines.Plentiful())
		unusual.SetOutput(lines)
		w := NewWriter(usual, unusual, telemetry.NewMeter())
		begun := time.Now()
		for i := range 10_000 {
			outcome := relay.Answered
			if i%2 == 0 {
				outcome = relay.Left
			}
			// A second later each time, so that all are within what is written a second.
			w.Ended(story(fmt.Sprint(i), outcome, time.Unix(int64(i), 0)))
		}
		require.Zero(t, time.Since(begun))
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
				w.Ended(story(fmt.Sprint(n), relay.Answered, time.Unix(int64(n/perSecond), 0)))
			}
			b.ReportMetric(float64(out.bytes)/float64(n)*float64(perSecond), "bytes/s")
		})
	}
}

// countingWriter counts bytes.
type countingWriter struct{ bytes int }

// Write counts.
func (c *countingWriter) Write(p []byte) (int, error) {
	c.bytes += len(p)
	return len(p), nil
}
