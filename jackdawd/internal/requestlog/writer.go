package requestlog

import (
	"math"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/relay"
	"jackdawhinge/jackdawd/internal/telemetry"
)

const (
	// maxRoutinePerSecond is how many requests per second are logged of those answered at the first
	// attempt. At three lines of 400 bytes each this is 24 KB/s, also at ten times the usual load.
	maxRoutinePerSecond = 20
	// maxAnomalousPerSecond bounds the logged requests that were refused, failed or retried. A surge
	// can cause thousands of them per second.
	maxAnomalousPerSecond = 100
)

// A Meter records counters and durations.
type Meter interface {
	Count(name string, labels ...string)
	Time(name string, duration time.Duration, labels ...string)
}

// A Writer logs finished requests and counts them in the metrics.
type Writer struct {
	routineLog *logrus.Logger
	anomalyLog *logrus.Logger
	meter      Meter
	mu         sync.Mutex
	// samplers holds the sampler of routine requests under true and that of all others under false.
	samplers map[bool]*sampler
}

// NewWriter returns a writer. Requests that were answered at the first attempt are logged to
// routineLog, all others to anomalyLog.
func NewWriter(routineLog, anomalyLog *logrus.Logger, meter Meter) *Writer {
	return &Writer{routineLog: routineLog, anomalyLog: anomalyLog, meter: meter, samplers: map[bool]*sampler{
		true:  {maxPerSecond: maxRoutinePerSecond},
		false: {maxPerSecond: maxAnomalousPerSecond},
	}}
}

// Record counts a finished request in the metrics and logs it, unless sampling leaves it out.
func (w *Writer) Record(r *relay.RequestRecord) {
	w.recordMetrics(r)
	routine := r.Outcome == relay.Answered && r.Attempts() == 1
	w.mu.Lock()
	sampled := w.samplers[routine].sample(r.Arrived.Add(r.Duration), r.RequestID)
	w.mu.Unlock()
	if !sampled {
		w.meter.Count("stories_not_written")
		return
	}
	log := w.anomalyLog
	if routine {
		log = w.routineLog
	}
	logResumption(log, r)
	for _, step := range r.Steps {
		logStep(log, r, step)
	}
	logOutcome(log, r)
}

// sampler selects about maxPerSecond requests per second. It selects them by a hash of their
// ID, so that hosts that see attempts of the same request select the same requests.
type sampler struct {
	maxPerSecond int
	// from is when the second of count began; with the time of day, each jump of the clock would begin another one.
	from          time.Time
	count         int
	previousCount int
}

func (s *sampler) sample(now time.Time, id string) bool {
	if passed := now.Sub(s.from).Truncate(time.Second); passed > 0 {
		s.from, s.previousCount = s.from.Add(passed), s.count
		if passed > time.Second {
			s.from, s.previousCount = now, 0
		}
		s.count = 0
	}
	s.count++
	rate := max(s.previousCount, s.count)
	if rate <= s.maxPerSecond {
		return true
	}
	ratio := float64(s.maxPerSecond) / float64(rate)
	return float64(xxhash.Sum64String(id)) < ratio*math.MaxUint64
}

// logResumption logs that a request resumes the stream of an earlier response.
func logResumption(log *logrus.Logger, r *relay.RequestRecord) {
	if r.ResumeAfter == "" && r.ResumedID == "" {
		return
	}
	fields := logrus.Fields{"request": r.RequestID, "resumes": r.ResumedID, "resume-after": r.ResumeAfter}
	log.WithFields(fields).WithTime(r.Arrived).Info("relay: The caller resumes a stream.")
}

func logStep(log *logrus.Logger, r *relay.RequestRecord, step relay.Step) {
	message := stepMessages[step.Decision]
	fields := logrus.Fields{"request": r.RequestID, "upstream": step.Upstream, "after": step.Elapsed.String()}
	switch step.Decision {
	case relay.Placed:
		fields["pool"], fields["software"] = r.Pool, step.SoftwareVersion
		addConfiguration(fields, r)
		fields["candidates"], fields["avoided"] = step.Candidates, step.Avoided
		fields["own"], fields["others"], fields["mean"], fields["limit"] = step.Load.Own, roundToTenth(step.Load.Others), roundToTenth(step.Mean), roundToTenth(step.Limit)
		if step.Load.Others > 0 {
			fields["news-age"] = step.Load.Age.String()
		}
		fields["delay"], fields["patience"] = step.Delay.String(), step.MaxDelay.String()
		if step.HasPlan {
			fields["plan-age"] = step.PlanAge.String()
		}
		if step.FetchFrom != "" {
			fields["fetch-from"] = step.FetchFrom
		}
		if step.Cold {
			fields["cold"] = true
		}
		addEvacuated(fields, step)
	case relay.Tried:
		fields["verdict"] = step.Verdict
		if step.Connect > 0 {
			fields["connect"] = step.Connect.String()
		}
		if step.Through != "" {
			fields["through"] = step.Through
		}
	case relay.OriginFound:
		fields["software"], fields["known-from"] = step.SoftwareVersion, step.Origin.Source
		fields["asked"], fields["answered"] = step.Origin.Asked, step.Origin.Answered
	case relay.Resumed:
		fields["resume-after"] = step.ResumeAfter
	case relay.Kept:
		fields["reason"], fields["candidates"], fields["avoided"] = step.Reason, step.Candidates, step.Avoided
	case relay.Stopped:
		fields["reason"] = step.Reason
		addEvacuated(fields, step)
		if _, ok := step.PoolRefusal(); ok {
			fields["pool"], fields["workspace"], fields["rank"], fields["ratio"] = r.Pool, r.Workspace, step.Rank, math.Round(step.AdmissionRatio*100)/100
			message = "relay: Refused by pool-wide admission."
		}
		if step.MaxDelay > 0 {
			fields["delay"], fields["patience"] = step.Delay.String(), step.MaxDelay.String()
		}
	}
	if step.Err != nil {
		fields["error"] = step.Err.Error()
	}
	log.WithFields(fields).WithTime(r.Arrived.Add(step.Elapsed)).Info(message)
}

// addConfiguration adds the version and age of the configuration that a request was checked against,
// if the host had one.
func addConfiguration(fields logrus.Fields, r *relay.RequestRecord) {
	if r.HasConfiguration {
		fields["version"], fields["age"] = r.ConfigurationVersion, r.ConfigurationAge.String()
	}
}

// addEvacuated adds how many upstreams were left out because their failure domains are evacuated.
func addEvacuated(fields logrus.Fields, step relay.Step) {
	if step.Evacuated > 0 {
		fields["evacuated"] = step.Evacuated
	}
}

var stepMessages = map[relay.Decision]string{
	relay.Placed:      "relay: Placed.",
	relay.Tried:       "relay: Attempt ended.",
	relay.Retried:     "relay: Retrying at another upstream.",
	relay.Resumed:     "relay: Resuming the stream at another upstream.",
	relay.OriginFound: "relay: Looked up which software version began the stream.",
	relay.Kept:        "relay: Waiting on for a silent upstream.",
	relay.Stopped:     "relay: Not retrying.",
}

func roundToTenth(v float64) float64 { return math.Round(v*10) / 10 }

func logOutcome(log *logrus.Logger, r *relay.RequestRecord) {
	entry := log.WithTime(r.Arrived.Add(r.Duration)).WithFields(logrus.Fields{
		"request": r.RequestID, "route": r.Route, "workspace": r.Workspace, "status": r.Status, "tries": r.Attempts(), "took": r.Duration.String(),
	})
	if r.Fingerprint != 0 {
		entry = entry.WithFields(logrus.Fields{"fingerprint": r.Fingerprint.String(), "parts": strings.Join(r.PromptParts, ",")})
	}
	switch r.Outcome {
	case relay.Answered:
		entry.WithFields(logrus.Fields{"first": r.TimeToFirstByte.String(), "longest-pause": r.MaxEventGap.String()}).Info("relay: Answered.")
	case relay.CallerLeft:
		entry.WithField("cause", r.Cause).Info("relay: The caller disconnected.")
	case relay.Truncated:
		entry.WithFields(logrus.Fields{"first": r.TimeToFirstByte.String(), "longest-pause": r.MaxEventGap.String(), "cause": r.Cause}).Warn("relay: The response was truncated.")
	case relay.Refused:
		fields := logrus.Fields{
			"code": r.Refusal.Code, "outcome": r.Refusal.Outcome, "reason": r.Refusal.Message, "retry-after": r.Refusal.RetryAfter.String(),
		}
		addConfiguration(fields, r)
		entry.WithFields(fields).Info("relay: Refused.")
	}
}

// recordMetrics counts a finished request in the metrics.
func (w *Writer) recordMetrics(r *relay.RequestRecord) {
	kind := r.Kind
	if kind == "" {
		kind = "none"
	}
	w.meter.Count("requests", "kind", kind, "outcome", string(r.Outcome))
	if r.ResumeAfter != "" {
		w.meter.Count("stream_resumptions", "by", "caller", "outcome", string(r.Outcome))
	}
	if r.Refusal != nil {
		w.meter.Count("request_refusals", "code", string(r.Refusal.Code))
	}
	for _, step := range r.Steps {
		switch step.Decision {
		case relay.Placed:
			w.countPrompt(step)
			if step.Cold {
				w.meter.Count("requests_to_cold_upstreams")
			}
		case relay.Tried:
			w.meter.Count("tries", "verdict", step.Verdict)
		case relay.OriginFound:
			w.meter.Count("stream_origins", "known_from", string(step.Origin.Source))
		case relay.Retried, relay.Resumed:
			w.meter.Count("request_retries", "decision", string(step.Decision))
		case relay.Kept:
			w.meter.Count("silent_upstreams_kept", "reason", step.Reason)
		case relay.Stopped:
			w.meter.Count("retries_denied", "reason", step.Reason)
			if reason, ok := step.PoolRefusal(); ok {
				w.meter.Count("pool_admission_refusals", "pool", r.Pool, "reason", string(reason))
			}
		}
	}
	if len(r.Steps) > 0 {
		w.meter.Time("placement_seconds", r.Steps[0].Elapsed, "kind", kind)
	}
	if r.Outcome == relay.Answered {
		w.meter.Time("request_first_seconds", r.TimeToFirstByte, "kind", kind)
		w.meter.Time("request_seconds", r.Duration, "kind", kind)
	}
	if r.MaxEventGap > 0 {
		w.meter.Time("stream_longest_pause_seconds", r.MaxEventGap, "kind", kind)
	}
}

// countPrompt counts placed requests whose prompt can be cached, by whether the chosen engine is
// expected to hold the prompt already or to fetch it from another one.
func (w *Writer) countPrompt(step relay.Step) {
	switch {
	case !step.Cacheable:
	case step.FetchFrom == "":
		w.meter.Count("prompts", "cache", "expected")
	default:
		w.meter.Count("prompts", "cache", "fetched")
	}
}

var _ Meter = (*telemetry.Meter)(nil)
