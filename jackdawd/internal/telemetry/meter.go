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
	// reservoirSize and reservoirAlpha are the size and the decay factor of the exponentially decaying
	// samples from which quantiles are computed.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	// targetPercentile is the share of responses that must begin within the class's target.
	targetPercentile = 0.95
	// labelSeparator joins a metric's name with its labels' names and values into a registry key.
	labelSeparator = "|"
)

// A Meter holds the metrics of one host.
type Meter struct {
	registry metrics.Registry
	families []gaugeFamily
}

// gaugeFamily is a gauge with labels whose values come and go, such as one per upstream.
type gaugeFamily struct {
	name   string
	labels []string
	read   func() []Sample
}

// A Sample is one value of a gauge, with the values of its labels.
type Sample struct {
	Labels []string
	Value  float64
}

// NewMeter returns a meter without metrics.
func NewMeter() *Meter {
	return &Meter{registry: metrics.NewRegistry()}
}

// RecordResponse records a complete response and whether its first token came within the class's
// target.
func (m *Meter) RecordResponse(class string, target, firstToken, total time.Duration) {
	m.timer("first_token_seconds", class).Update(firstToken)
	m.timer("answer_seconds", class).Update(total)
	if firstToken > target {
		m.lateCounter(class).Inc(1)
	}
}

// ClassStats counts a class's responses and refusals since the host started.
type ClassStats struct {
	Answered int64
	// LateResponses counts the responses whose first token came after the class's target.
	LateResponses int64
	Refused       int64
	// FirstTokenP95 is the 95th percentile of the time to the first token over recent responses.
	FirstTokenP95 time.Duration
}

// ClassStats returns the statistics of a class.
func (m *Meter) ClassStats(class string) ClassStats {
	firstToken := m.timer("first_token_seconds", class)
	stats := ClassStats{Answered: firstToken.Count(), LateResponses: m.lateCounter(class).Count(), FirstTokenP95: time.Duration(firstToken.Percentile(targetPercentile))}
	prefix := strings.Join([]string{"refusals", "class", class, ""}, labelSeparator)
	m.registry.Each(func(name string, metric any) {
		if c, ok := metric.(metrics.Counter); ok && strings.HasPrefix(name, prefix) {
			stats.Refused += c.Count()
		}
	})
	return stats
}

func (m *Meter) lateCounter(class string) metrics.Counter {
	return metrics.GetOrRegisterCounter(strings.Join([]string{"late_answers", "class", class}, labelSeparator), m.registry)
}

// RecordRefusal counts a refusal by class and code.
func (m *Meter) RecordRefusal(class string, refusal *work.Refusal) {
	name := strings.Join([]string{"refusals", "class", class, "code", string(refusal.Code)}, labelSeparator)
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

// Count increments a counter; labels holds label names and values in turn.
func (m *Meter) Count(name string, labels ...string) {
	metrics.GetOrRegisterCounter(registryKey(name, labels), m.registry).Inc(1)
}

// Time records a duration in a histogram; labels holds label names and values in turn.
func (m *Meter) Time(name string, duration time.Duration, labels ...string) {
	newMetric := func() metrics.Histogram { return newBucketHistogram() }
	if h, ok := m.registry.GetOrRegister(registryKey(name, labels), newMetric).(metrics.Histogram); ok {
		h.Update(int64(duration))
	}
}

func registryKey(name string, labels []string) string {
	return strings.Join(append([]string{name}, labels...), labelSeparator)
}

// Gauge registers a gauge whose value is read whenever metrics are collected.
func (m *Meter) Gauge(name string, read func() int64) {
	m.registry.GetOrRegister(name, metrics.NewFunctionalGauge(read))
}

// GaugeFamily registers a gauge with one label, before Handler is called.
// Whenever metrics are collected, read returns the gauge's values by label value.
func (m *Meter) GaugeFamily(name, label string, read func() map[string]int64) {
	m.GaugeVector(name, []string{label}, func() []Sample {
		var samples []Sample
		for value, v := range read() {
			samples = append(samples, Sample{Labels: []string{value}, Value: float64(v)})
		}
		return samples
	})
}

// GaugeVector registers a gauge with any number of labels, before Handler is called.
// Whenever metrics are collected, read returns the gauge's samples.
func (m *Meter) GaugeVector(name string, labels []string, read func() []Sample) {
	m.families = append(m.families, gaugeFamily{name: name, labels: labels, read: read})
}

// RecordRetry counts a retry by the code of the refusal that caused it.
func (m *Meter) RecordRetry(code work.Code) {
	name := strings.Join([]string{"retries", "code", string(code)}, labelSeparator)
	metrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *Meter) timer(name, class string) metrics.Timer {
	key := registryKey(name, []string{"class", class})
	newMetric := func() metrics.Timer {
		return metrics.NewCustomTimer(metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha)), metrics.NewMeter())
	}
	t, ok := m.registry.GetOrRegister(key, newMetric).(metrics.Timer)
	if !ok {
		return metrics.NilTimer{}
	}
	return t
}

// Handler returns the HTTP handler that serves the metrics to Prometheus.
func (m *Meter) Handler() http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(registryCollector{m.registry, m.families})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{})
}

// registryCollector exports the registry's metrics and the gauge families to Prometheus.
type registryCollector struct {
	registry metrics.Registry
	families []gaugeFamily
}

// Describe sends nothing, which makes the collector unchecked: its metrics depend on the classes.
func (c registryCollector) Describe(chan<- *prometheus.Desc) {}

// Collect sends the current value of each metric.
func (c registryCollector) Collect(out chan<- prometheus.Metric) {
	for _, f := range c.families {
		desc := newDesc(f.name, f.labels...)
		for _, s := range f.read() {
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, s.Value, s.Labels...)
		}
	}
	c.registry.Each(func(key string, metric any) {
		parts := strings.Split(key, labelSeparator)
		var names, values []string
		for i := 1; i+1 < len(parts); i += 2 {
			names = append(names, parts[i])
			values = append(values, parts[i+1])
		}
		desc := newDesc(parts[0], names...)
		switch v := metric.(type) {
		case metrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(v.Count()), values...)
		case metrics.Gauge:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(v.Value()), values...)
		case *bucketHistogram:
			out <- prometheus.MustNewConstHistogram(desc, uint64(v.Count()), time.Duration(v.Sum()).Seconds(), v.cumulativeCounts(), values...)
		case metrics.Timer:
			out <- prometheus.MustNewConstSummary(desc, uint64(v.Count()), time.Duration(v.Sum()).Seconds(), quantiles(v), values...)
		}
	})
}

func newDesc(name string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("jackdawd_"+name, "See docs/reference/metrics.md.", labels, nil)
}

func quantiles(t metrics.Timer) map[float64]float64 {
	out := map[float64]float64{}
	for _, q := range []float64{0.5, 0.95, 0.99} {
		out[q] = time.Duration(t.Percentile(q)).Seconds()
	}
	return out
}
