package measure

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// The two deployments and the target size; rates keep engines at about six tenths of their capacity.
var (
	sizes = []size{
		{name: "9x14", hosts: 9, engines: 14, pools: 1, rate: 360, duration: 60 * time.Second, pause: 8 * time.Second, step: 3 * time.Millisecond},
		{name: "9x24", hosts: 9, engines: 24, pools: 1, rate: 620, duration: 60 * time.Second, pause: 8 * time.Second, step: 3 * time.Millisecond},
		{name: "360x880", hosts: 360, engines: 880, pools: 23, rate: 14000, duration: 60 * time.Second, pause: 3 * time.Second, step: 12 * time.Millisecond},
	}
	letters = []fakeClass{
		{name: "clerk-tag", urgency: 0, rate: 0.3, prompt: 400, out: 24, begin: 500 * time.Millisecond, worth: 5, shareOfLoad: 0.2},
		{name: "portal", urgency: 1, rate: 0.5, prompt: 1200, out: 300, begin: 720 * time.Millisecond, worth: 2, shareOfLoad: 0.4},
		{name: "digest", urgency: 2, rate: 0.2, prompt: 3000, out: 500, begin: time.Hour, worth: 1, shareOfLoad: 0.2},
	}
	rally = []fakeClass{
		{name: "plate-check", urgency: 0, rate: 0.4, prompt: 200, out: 16, begin: 500 * time.Millisecond, worth: 5, shareOfLoad: 0.2},
		{name: "club-query", urgency: 1, rate: 0.5, prompt: 900, out: 280, begin: 720 * time.Millisecond, worth: 1, shareOfLoad: 0.5},
		{name: "dossier", urgency: 2, rate: 0.1, prompt: 3000, out: 700, begin: time.Hour, worth: 2, shareOfLoad: 0.2},
	}
	// The target's mix: 4 M tokens in 14,000 answers a second.
	mixed = []fakeClass{
		{name: "plate-check", urgency: 0, rate: 0.2, prompt: 200, out: 16, begin: 500 * time.Millisecond, worth: 5, shareOfLoad: 0.2},
		{name: "portal", urgency: 1, rate: 0.6, prompt: 900, out: 300, begin: 720 * time.Millisecond, worth: 2, shareOfLoad: 0.5},
		{name: "digest", urgency: 2, rate: 0.2, prompt: 2000, out: 500, begin: time.Hour, worth: 1, shareOfLoad: 0.2},
	}
	ways = []struct {
		name  string
		build func(*world) placer
	}{
		{"random", newSimple(randomly)},
		{"round-robin", newSimple(roundRobin)},
		{"rendezvous", newSimple(unbounded)},
		{"least-loaded", newSimple(leastLoaded)},
		{"alone-bounded", newSimple(aloneBounded)},
		{"credits", newCredits},
		{"owned", newOwned},
	}
	scenarios = []scenario{
		{name: "quiet"},
		{name: "surge", surge: true},
		{name: "churn", churn: true},
		{name: "disagree", disagree: true},
		{name: "domain-lost", domain: true},
		{name: "surge+churn", surge: true, churn: true},
		{name: "restart+surge", restart: true, surge: true},
	}
)

func BenchmarkRouting(b *testing.B) {
	for _, s := range sizes {
		for _, sc := range scenarios {
			for _, way := range ways {
				for name, classes := range map[string][]fakeClass{"letters": letters, "rally": rally, "mixed": mixed} {
					if (s.hosts > 9) != (name == "mixed") {
						continue
					}
					b.Run(name+"/"+s.name+"/"+sc.name+"/"+way.name, func(b *testing.B) {
						for range b.N {
							w := newWorld(s, slices.Clone(classes), way.build)
							report(b, w, w.run(sc))
						}
					})
				}
			}
		}
	}
}

func report(b *testing.B, w *world, s *stats) {
	b.ReportMetric(float64(s.reused)/float64(max(s.prefix, 1)), "reuse")
	b.ReportMetric(percentile(s.load, 0.5), "load-p50")
	b.ReportMetric(percentile(s.skew, 0.5), "skew-p50")
	b.ReportMetric(percentile(s.skew, 1), "skew-worst")
	b.ReportMetric(float64(percentile(s.urgentTTFT, 0.99))/float64(time.Millisecond), "urgent-p99-ms")
	b.ReportMetric(s.worth/s.offered, "worth")
	b.ReportMetric(float64(s.refused)/float64(s.refused+s.served), "refused")
	messages, rows := w.placer.messages()
	perHostSecond := float64(w.size.hosts) * w.size.duration.Seconds()
	b.ReportMetric(float64(messages)/perHostSecond, "messages/host/s")
	b.ReportMetric(float64(rows)/perHostSecond, "rows/host/s")
	b.ReportMetric(0, "ns/op")
}

func percentile[T cmp.Ordered](values []T, q float64) T {
	if len(values) == 0 {
		var zero T
		return zero
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}

// BenchmarkMultiple shows what a model's load multiple trades: cache reuse for evenness.
func BenchmarkMultiple(b *testing.B) {
	for _, s := range sizes[1:] {
		for _, multiple := range []float64{1.15, 1.25, 1.4, 1.6} {
			b.Run(fmt.Sprintf("%s/%.2f", s.name, multiple), func(b *testing.B) {
				s.multiple = multiple
				for range b.N {
					w := newWorld(s, slices.Clone(mixed), newOwned)
					report(b, w, w.run(scenario{churn: true}))
				}
			})
		}
	}
}

// BenchmarkLengthEstimate compares estimates of the output length as a measure of
// load: the mean, the median, P90, and the critical fractiles r/(r+1) that the paper
// of Cheng, Do and Nguyen derives for a cost ratio r of 2 and of 10. Lengths have the
// mean, P90 and P99 that it gives for two traces.
func BenchmarkLengthEstimate(b *testing.B) {
	traces := map[string]struct{ mean, sigma float64 }{
		"burstgpt-like": {131, 1.673},
		"sharegpt-like": {305, 0.438},
	}
	estimates := map[string]float64{"mean": 0, "median": 0.5, "fractile-r2": 2. / 3, "p90": 0.9, "fractile-r10": 10. / 11}
	for trace, d := range traces {
		for estimate, q := range estimates {
			b.Run(trace+"/"+estimate, func(b *testing.B) {
				classes := []fakeClass{
					{name: "plate-check", urgency: 0, rate: 0.2, prompt: 100, out: d.mean, sigma: d.sigma, begin: 500 * time.Millisecond, worth: 5, shareOfLoad: 0.3},
					{name: "portal", urgency: 1, rate: 0.8, prompt: 100, out: d.mean, sigma: d.sigma, begin: 720 * time.Millisecond, worth: 2, shareOfLoad: 0.6},
				}
				s := size{hosts: 9, engines: 24, pools: 1, rate: 120_000 / d.mean, duration: 60 * time.Second, pause: 8 * time.Second, step: 3 * time.Millisecond}
				for range b.N {
					w := newWorld(s, classes, newOwnedBy(q))
					report(b, w, w.run(scenario{surge: true}))
				}
			})
		}
	}
}
