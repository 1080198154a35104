package measure

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// The two deployments of today and the target. Request rates keep engines at about 60% of their
// capacity.
var (
	deployments = []deployment{
		{name: "9x14", hosts: 9, engines: 14, pools: 1, requestRate: 360, duration: 60 * time.Second, meanThinkTime: 8 * time.Second, stepTime: 3 * time.Millisecond},
		{name: "9x24", hosts: 9, engines: 24, pools: 1, requestRate: 620, duration: 60 * time.Second, meanThinkTime: 8 * time.Second, stepTime: 3 * time.Millisecond},
		{name: "360x880", hosts: 360, engines: 880, pools: 23, requestRate: 14000, duration: 60 * time.Second, meanThinkTime: 3 * time.Second, stepTime: 12 * time.Millisecond},
	}
	lettersClasses = []fakeClass{
		{name: "clerk-tag", urgency: 0, requestRatio: 0.3, meanPrompt: 400, meanOutput: 24, firstTokenTarget: 500 * time.Millisecond, worth: 5, loadShare: 0.2},
		{name: "portal", urgency: 1, requestRatio: 0.5, meanPrompt: 1200, meanOutput: 300, firstTokenTarget: 720 * time.Millisecond, worth: 2, loadShare: 0.4},
		{name: "digest", urgency: 2, requestRatio: 0.2, meanPrompt: 3000, meanOutput: 500, firstTokenTarget: time.Hour, worth: 1, loadShare: 0.2},
	}
	rallyClasses = []fakeClass{
		{name: "plate-check", urgency: 0, requestRatio: 0.4, meanPrompt: 200, meanOutput: 16, firstTokenTarget: 500 * time.Millisecond, worth: 5, loadShare: 0.2},
		{name: "club-query", urgency: 1, requestRatio: 0.5, meanPrompt: 900, meanOutput: 280, firstTokenTarget: 720 * time.Millisecond, worth: 1, loadShare: 0.5},
		{name: "dossier", urgency: 2, requestRatio: 0.1, meanPrompt: 3000, meanOutput: 700, firstTokenTarget: time.Hour, worth: 2, loadShare: 0.2},
	}
	// The mix of classes at the target: 4 M tokens in 14,000 responses per second.
	mixedClasses = []fakeClass{
		{name: "plate-check", urgency: 0, requestRatio: 0.2, meanPrompt: 200, meanOutput: 16, firstTokenTarget: 500 * time.Millisecond, worth: 5, loadShare: 0.2},
		{name: "portal", urgency: 1, requestRatio: 0.6, meanPrompt: 900, meanOutput: 300, firstTokenTarget: 720 * time.Millisecond, worth: 2, loadShare: 0.5},
		{name: "digest", urgency: 2, requestRatio: 0.2, meanPrompt: 2000, meanOutput: 500, firstTokenTarget: time.Hour, worth: 1, loadShare: 0.2},
	}
	policies = []struct {
		name  string
		build func(*simulation) policy
	}{
		{"random", newLocalPolicy(chooseRandom)},
		{"round-robin", newLocalPolicy(chooseRoundRobin)},
		{"rendezvous", newLocalPolicy(chooseRendezvous)},
		{"least-loaded", newLocalPolicy(chooseLeastLoaded)},
		{"alone-bounded", newLocalPolicy(chooseLocallyBounded)},
		{"credits", newLeasePolicy},
		{"owned", newOwnerPolicy},
	}
	scenarios = []scenario{
		{name: "quiet"},
		{name: "surge", surge: true},
		{name: "churn", churn: true},
		{name: "disagree", staleViews: true},
		{name: "domain-lost", domainLoss: true},
		{name: "surge+churn", surge: true, churn: true},
		{name: "restart+surge", restartHosts: true, surge: true},
	}
)

func BenchmarkRouting(b *testing.B) {
	for _, d := range deployments {
		for _, sc := range scenarios {
			for _, p := range policies {
				for name, classes := range map[string][]fakeClass{"letters": lettersClasses, "rally": rallyClasses, "mixed": mixedClasses} {
					if (d.hosts > 9) != (name == "mixed") {
						continue
					}
					b.Run(name+"/"+d.name+"/"+sc.name+"/"+p.name, func(b *testing.B) {
						for range b.N {
							sim := newSimulation(d, slices.Clone(classes), p.build)
							reportMetrics(b, sim, sim.run(sc))
						}
					})
				}
			}
		}
	}
}

func reportMetrics(b *testing.B, sim *simulation, s *stats) {
	b.ReportMetric(float64(s.reusedTokens)/float64(max(s.prefixTokens, 1)), "reuse")
	b.ReportMetric(percentile(s.load, 0.5), "load-p50")
	b.ReportMetric(percentile(s.loadSkew, 0.5), "skew-p50")
	b.ReportMetric(percentile(s.loadSkew, 1), "skew-worst")
	b.ReportMetric(float64(percentile(s.urgentTTFTs, 0.99))/float64(time.Millisecond), "urgent-p99-ms")
	b.ReportMetric(s.worth/s.offeredWorth, "worth")
	b.ReportMetric(float64(s.refused)/float64(s.refused+s.served), "refused")
	messages, rows := sim.policy.controlTraffic()
	perHostSecond := float64(sim.deployment.hosts) * sim.deployment.duration.Seconds()
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

// BenchmarkMultiple shows the trade-off of a model's load multiple: cache reuse against evenness of
// load.
func BenchmarkMultiple(b *testing.B) {
	for _, d := range deployments[1:] {
		for _, loadMultiple := range []float64{1.15, 1.25, 1.4, 1.6} {
			b.Run(fmt.Sprintf("%s/%.2f", d.name, loadMultiple), func(b *testing.B) {
				d.loadMultiple = loadMultiple
				for range b.N {
					sim := newSimulation(d, slices.Clone(mixedClasses), newOwnerPolicy)
					reportMetrics(b, sim, sim.run(scenario{churn: true}))
				}
			})
		}
	}
}

// BenchmarkLengthEstimate compares estimates of the output length as a measure of load: the mean,
// the median, P90, and the critical fractiles r/(r+1) that the paper of Cheng, Do and Nguyen
// derives for cost ratios r of 2 and 10. Output lengths have the mean, P90 and P99 that the paper
// gives for two traces.
func BenchmarkLengthEstimate(b *testing.B) {
	traces := map[string]struct{ mean, sigma float64 }{
		"burstgpt-like": {131, 1.673},
		"sharegpt-like": {305, 0.438},
	}
	estimates := map[string]float64{"mean": 0, "median": 0.5, "fractile-r2": 2. / 3, "p90": 0.9, "fractile-r10": 10. / 11}
	for traceName, trace := range traces {
		for estimateName, quantile := range estimates {
			b.Run(traceName+"/"+estimateName, func(b *testing.B) {
				classes := []fakeClass{
					{name: "plate-check", urgency: 0, requestRatio: 0.2, meanPrompt: 100, meanOutput: trace.mean, sigma: trace.sigma, firstTokenTarget: 500 * time.Millisecond, worth: 5, loadShare: 0.3},
					{name: "portal", urgency: 1, requestRatio: 0.8, meanPrompt: 100, meanOutput: trace.mean, sigma: trace.sigma, firstTokenTarget: 720 * time.Millisecond, worth: 2, loadShare: 0.6},
				}
				d := deployment{hosts: 9, engines: 24, pools: 1, requestRate: 120_000 / trace.mean, duration: 60 * time.Second, meanThinkTime: 8 * time.Second, stepTime: 3 * time.Millisecond}
				for range b.N {
					sim := newSimulation(d, classes, newOwnerPolicyWithQuantile(quantile))
					reportMetrics(b, sim, sim.run(scenario{surge: true}))
				}
			})
		}
	}
}
