package stories

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/relay"
	"jackdawhinge/jackdawd/internal/telemetry"
)

const (
	// usualPerSecond is how many ordinary requests a second are written whole. At
	// three lines of 400 bytes each this is 24 KB/s, also under ten times the load.
	usualPerSecond = 20
	// unusualPerSecond bounds the refused, failed and retried ones, of which a
	// crowd can make thousands.
	unusualPerSecond = 100
)

// A Meter counts and times.
type Meter interface {
	Count(name string, labels ...string)
	Time(name string, took time.Duration, labels ...string)
}

// A Writer writes stories.
type Writer struct {
	usual   *logrus.Logger
	unusual *logrus.Logger
	meter   Meter
	mu      sync.Mutex
	samples map[bool]*sampler
}

// NewWriter returns a writer; usual takes the lines of ordinary requests, unusual all others.
func NewWriter(usual, unusual *logrus.Logger, meter Meter) *Writer {
	return &Writer{usual: usual, unusual: unusual, meter: meter, samples: map[bool]*sampler{
		true:  {most: usualPerSecond},
		false: {most: unusualPerSecond},
	}}
}

// Ended writes a story.
func (w *Writer) Ended(s *relay.Story) {
	w.count(s)
	ordinary := s.Outcome == relay.Answered && s.Tries() == 1
	w.mu.Lock()
	kept := w.samples[ordinary].keep(s.Arrived.Add(s.Took), s.Request)
	w.mu.Unlock()
	if !kept {
		w.meter.Count("stories_not_written")
		return
	}
	log := w.unusual
	if ordinary {
		log = w.usual
	}
	for _, step := range s.Steps {
		writeStep(log, s, step)
	}
	writeEnd(log, s)
}

// sampler keeps so many requests a second, chosen by their identifiers, so that
// what is kept of a request's tries at several hosts belongs together.
type sampler struct {
	most     int
	second   int64
	seen     int
	previous int
}

func (s *sampler) keep(now time.Time, id string) bool {
	if second := now.Unix(); second != s.second {
		s.previous = s.seen
		if second != s.second+1 {
			s.previous = 0
		}
		s.second, s.seen = second, 0
	}
	s.seen++
	rate := max(s.previous, s.seen)
	if rate <= s.most {
		return true
	}
	share := float64(s.most) / float64(rate)
	return float64(xxhash.Sum64String(id)) < share*math.MaxUint64
}

func writeStep(log *logrus.Logger, s *relay.Story, step relay.Step) {
	f := logrus.Fields{"request": s.Request, "upstream": step.Upstream, "after": step.After.String()}
	switch step.Decision {
	case relay.Placed:
		f["pool"] = s.Pool
		addVersion(f, s)
		f["candidates"], f["avoided"] = step.Candidates, step.Avoided
		f["own"], f["others"], f["mean"], f["limit"] = step.Load.Own, round(step.Load.Others), round(step.Mean), round(step.Limit)
		if step.Load.Others > 0 {
			f["news-age"] = step.Load.Age.String()
		}
		f["delay"], f["patience"] = step.Delay.String(), step.Patience.String()
		if step.Planned {
			f["plan-age"] = step.PlanAge.String()
		}
		if step.FetchFrom != "" {
			f["fetch-from"] = step.FetchFrom
		}
	case relay.Tried:
		f["verdict"] = step.Verdict
	case relay.Resumed:
		f["resume-after"] = step.ResumeAfter
	case relay.Stopped:
		f["reason"] = step.Reason
		if step.Patience > 0 {
			f["delay"], f["patience"] = step.Delay.String(), step.Patience.String()
		}
	}
	if step.Err != nil {
		f["error"] = step.Err.Error()
	}
	log.WithFields(f).WithTime(s.Arrived.Add(step.After)).Info(messages[step.Decision])
}

// addVersion adds the configuration that a request was checked against, if there was one.
func addVersion(f logrus.Fields, s *relay.Story) {
	if s.Configured {
		f["version"], f["age"] = s.Version, s.Age.String()
	}
}

var messages = map[relay.Decision]string{
	relay.Placed:  "relay: Placed.",
	relay.Tried:   "relay: A try ended.",
	relay.Retried: "relay: Trying another upstream.",
	relay.Resumed: "relay: The stream goes on at another upstream.",
	relay.Stopped: "relay: No other upstream is tried.",
}

func round(v float64) float64 { return math.Round(v*10) / 10 }

func writeEnd(log *logrus.Logger, s *relay.Story) {
	e := log.WithTime(s.Arrived.Add(s.Took)).WithFields(logrus.Fields{
		"request": s.Request, "route": s.Route, "workspace": s.Workspace, "status": s.Status, "tries": s.Tries(), "took": s.Took.String(),
	})
	if s.Fingerprint != 0 {
		e = e.WithField("fingerprint", s.Fingerprint.String())
	}
	switch s.Outcome {
	case relay.Answered:
		e.WithFields(logrus.Fields{"first": s.FirstEvent.String(), "longest-pause": s.LongestPause.String()}).Info("relay: Answered.")
	case relay.Left:
		e.Info("relay: The caller left.")
	case relay.BrokenOff:
		e.WithFields(logrus.Fields{"first": s.FirstEvent.String(), "longest-pause": s.LongestPause.String()}).Warn("relay: The answer broke off.")
	case relay.Refused:
		f := logrus.Fields{
			"code": s.Refusal.Code, "outcome": s.Refusal.Outcome, "reason": s.Refusal.Message, "retry-after": s.Refusal.RetryAfter.String(),
		}
		addVersion(f, s)
		e.WithFields(f).Info("relay: Refused.")
	}
}

// count takes the story into the metrics.
func (w *Writer) count(s *relay.Story) {
	kind := s.Kind
	if kind == "" {
		kind = "none"
	}
	w.meter.Count("requests", "kind", kind, "outcome", string(s.Outcome))
	if s.Refusal != nil {
		w.meter.Count("request_refusals", "code", string(s.Refusal.Code))
	}
	for _, step := range s.Steps {
		switch step.Decision {
		case relay.Placed:
			w.countPrompt(step)
		case relay.Tried:
			w.meter.Count("tries", "verdict", step.Verdict)
		case relay.Retried, relay.Resumed:
			w.meter.Count("request_retries", "decision", string(step.Decision))
		case relay.Stopped:
			w.meter.Count("retries_denied", "reason", step.Reason)
		}
	}
	if len(s.Steps) > 0 {
		w.meter.Time("placement_seconds", s.Steps[0].After, "kind", kind)
	}
	if s.Outcome == relay.Answered {
		w.meter.Time("request_first_seconds", s.FirstEvent, "kind", kind)
		w.meter.Time("request_seconds", s.Took, "kind", kind)
	}
	if s.LongestPause > 0 {
		w.meter.Time("stream_longest_pause_seconds", s.LongestPause, "kind", kind)
	}
}

// countPrompt counts where the prompt of a placed request was expected to be cached.
func (w *Writer) countPrompt(step relay.Step) {
	switch {
	case !step.Cached:
	case step.FetchFrom == "":
		w.meter.Count("prompts", "cache", "expected")
	default:
		w.meter.Count("prompts", "cache", "fetched")
	}
}

var _ Meter = (*telemetry.Meter)(nil)
