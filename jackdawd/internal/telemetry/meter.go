package telemetry

import (
	"net/http"
	"strings"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"

	"jackdawhinge/jackdawd/internal/work"
)

const (
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	// targetPercentile is the share of answers that must begin within the target.
	targetPercentile = 0.95
	// labelMark separates a metric's name from its label's name and value in the registry.
	labelMark = "|"
)

// A Meter counts what callers were given, by class.
type Meter struct {
	registry metrics.Registry
	families []family
}

// family is values of one kind that come and go, such as one for each upstream.
type family struct {
	name  string
	label string
	read  func() map[string]int64
}

// NewMeter returns a meter that has counted nothing.
func NewMeter() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// Answered counts a whole answer, and whether it began within the class's target.
func (m *Meter) Answered(class string, target, firstToken, total time.Duration) {
	m.timer("first_token_seconds", class).Update(firstToken)
	m.timer("answer_seconds", class).Update(total)
	if firstToken > target {
		m.late(class).Inc(1)
	}
}

// A Tally is what the callers of one class were given since the host's start.
type Tally struct {
	Answered int64
	Late     int64
	Refused  int64
	// FirstToken is the time to the first token that 95 in 100 of the latest answers kept.
	FirstToken time.Duration
}

// Tally returns what the callers of a class were given.
func (m *Meter) Tally(class string) Tally {
	first := m.timer("first_token_seconds", class)
	t := Tally{Answered: first.Count(), Late: m.late(class).Count(), FirstToken: time.Duration(first.Percentile(targetPercentile))}
	prefix := strings.Join([]string{"refusals", "class", class, ""}, labelMark)
	m.registry.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok && strings.HasPrefix(name, prefix) {
			t.Refused += c.Count()
		}
	})
	return t
}

func (m *Meter) late(class string) metrics.Counter {
	return metrics.GetOrRegisterCounter(strings.Join([]string{"late_answers", "class", class}, labelMark), m.registry)
}

// Refused counts a refusal.
func (m *Meter) Refused(class string, refusal *work.Refusal) {
	name := strings.Join([]string{"refusals", "class", class, "code", string(refusal.Code)}, labelMark)
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// Count counts one more of a kind, which label names and values in turn describe.
func (m *Meter) Count(name string, labels ...string) {
	metrics.GetOrRegisterCounter(fullName(name, labels), m.registry).Inc(1)
}

// Time takes in how long something of a kind took.
func (m *Meter) Time(name string, took time.Duration, labels ...string) {
	created := func() metrics.Histogram { return newBuckets() }
	if h, ok := m.registry.GetOrRegister(fullName(name, labels), created).(metrics.Histogram); ok {
		h.Update(int64(took))
	}
}

func fullName(name string, labels []string) string {
	return strings.Join(append([]string{name}, labels...), labelMark)
}

// Gauge registers a value that is read when metrics are collected.
func (m *Meter) Gauge(name string, read func() int64) {
	m.registry.GetOrRegister(name, metrics.NewFunctionalGauge(read))
}

// Family registers values by label that are read when metrics are collected; it must be called before Handler.
func (m *Meter) Family(name, label string, read func() map[string]int64) {
	m.families = append(m.families, family{name: name, label: label, read: read})
}

// Retried counts a retry, by the code of the refusal that made it necessary.
func (m *Meter) Retried(code work.Code) {
	name := strings.Join([]string{"retries", "code", string(code)}, labelMark)
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *Meter) timer(name, class string) metrics.Timer {
	full := fullName(name, []string{"class", class})
	created := func() metrics.Timer {
		return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)), metrics.NewMeter())
	}
	t, ok := m.registry.GetOrRegister(full, created).(metrics.Timer)
	if !ok {
		return metrics.NilTimer{}
	}
	return t
}

// Handler returns the HTTP handler from which collectors read the metrics.
func (m *Meter) Handler() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{m.registry, m.families})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// collector gives the registry's metrics to a collector of the usual kind.
type collector struct {
	registry metrics.Registry
	families []family
}

// Describe sends nothing: the metrics depend on the classes.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect sends each metric of the registry.
func (c collector) Collect(out chan<- prometheus.Metric) {
	for _, f := range c.families {
		for label, v := range f.read() {
			out <- prometheus.MustNewConstMetric(describe(f.name, f.label), prometheus.GaugeValue, float64(v), label)
		}
	}
	c.registry.Each(func(full string, metric any) {
		parts := strings.Split(full, labelMark)
		var names, values []string
		for i := 1; i+1 < len(parts); i += 2 {
			names = append(names, parts[i])
			values = append(values, parts[i+1])
		}
		desc := describe(parts[0], names...)
		switch v := metric.(type) {
		case metrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(v.Count()), values...)
		case metrics.Gauge:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(v.Value()), values...)
		case *buckets:
			out <- prometheus.MustNewConstHistogram(desc, uint64(v.Count()), time.Duration(v.Sum()).Seconds(), v.upTo(), values...)
		case metrics.Timer:
			out <- prometheus.MustNewConstSummary(desc, uint64(v.Count()), time.Duration(v.Sum()).Seconds(), quantiles(v), values...)
		}
	})
}

func describe(name string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("jackdawd_"+name, "See docs/reference/metrics.md.", labels, nil)
}

func quantiles(t metrics.Timer) map[float64]float64 {
	out := map[float64]float64{}
	for _, q := range []float64{0.5, 0.95, 0.99} {
		out[q] = time.Duration(t.Percentile(q)).Seconds()
	}
	return out
}
