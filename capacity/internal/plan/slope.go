package plan

import (
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// A LinearFit is a line fitted to the costs that one benchmark measures at several sizes.
type LinearFit struct {
	Name      string
	Benchmark string
	Unit      string
	Slope     float64
	Intercept float64
	// MaxRelativeError is the largest distance of a measured cost from the line, as a ratio of the
	// cost.
	MaxRelativeError float64
	xs, ys           []float64
}

// benchmarkMetric identifies the results in benchmark output that a fit is made from.
type benchmarkMetric struct {
	name, benchmark, unit string
	// perUnit is set if the unit is a cost per unit of size; it is multiplied by the size before
	// the fit.
	perUnit bool
}

var benchmarkMetrics = []benchmarkMetric{
	{"token-time", "Streaming/streams", "core-ns/token", true},
	{"decision", "Decision/engines", "ns/op", false},
	{"view-time", "View/engines", "ns/op", false},
	{"view-bytes-upstream", "Bytes/upstreams", "B", false},
	{"view-bytes-host", "Bytes/hosts", "B", false},
	{"view-time-host", "ViewHosts/hosts", "ns/op", false},
	{"moved-chat-time", "MovedChat/chats", "ns/op", false},
	{"moved-chat-bytes", "Bytes/moved-chats", "B/chat", true},
	{"checkpoint-bytes", "Configuration/workspaces", "checkpoint-B", false},
	{"change-time", "Configuration/workspaces", "ns/op", false},
	{"replay-time", "Replay/changes", "ns/op", false},
	{"claim-log-bytes", "Claims/claims", "log-B/claim", true},
	{"claim-time", "Claims/claims", "ns/claim", true},
	{"claim-memory", "Claims/claims", "B/op", false},
	{"exchange-bytes", "ControlBytes/exchange-rows", "B/message", false},
	{"host-list-bytes", "HostList/entries", "B/list", false},
	{"exchange-time", "ControlBytes/exchange-rows", "ns/op", false},
	{"choose-time", "Choose/engines", "ns/op", false},
	{"snapshot-time", "Snapshot/upstreams", "ns/op", false},
	{"snapshot-bytes", "Snapshot/upstreams", "held-B", false},
	{"warmth-bytes", "Warmth/prompts", "held-B/prompt", true},
	{"follow-time", "Follow/upstreams", "ns/op", false},
	{"follow-bytes", "Follow/upstreams", "bytes/call", false},
	{"plan-time", "Exchange/engines", "ns/op", false},
	{"plan-bytes", "Exchange/engines", "bytes/call", false},
}

var resultLine = regexp.MustCompile(`^Benchmark(\S+?)(?:-\d+)?\s+\d+\s+(.*)$`)

// FitBenchmarks returns the fits of all benchmark metrics. It returns an error if a metric has
// fewer than three results in the output.
func FitBenchmarks(output string) ([]LinearFit, error) {
	results := parseResults(output)
	var fits []LinearFit
	for _, metric := range benchmarkMetrics {
		f := LinearFit{Name: metric.name, Benchmark: "Benchmark" + metric.benchmark, Unit: metric.unit}
		for _, r := range results {
			sizeText, ok := strings.CutPrefix(r.name, metric.benchmark+"=")
			cost, found := r.units[metric.unit]
			if !ok || !found {
				continue
			}
			size, err := strconv.ParseFloat(sizeText, 64)
			if err != nil {
				return nil, fmt.Errorf("parse size of benchmark %s: %w", r.name, err)
			}
			if metric.perUnit {
				cost *= size
			}
			f.xs, f.ys = append(f.xs, size), append(f.ys, cost)
		}
		if len(f.xs) < 3 {
			return nil, fmt.Errorf("fit %s: %s has %d results in %s, at least three are needed", f.Name, f.Benchmark, len(f.xs), f.Unit)
		}
		f.regress()
		fits = append(fits, f)
	}
	return fits, nil
}

type result struct {
	name  string
	units map[string]float64
}

func parseResults(output string) []result {
	var results []result
	for _, line := range strings.Split(output, "\n") {
		m := resultLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		r := result{name: m[1], units: map[string]float64{}}
		fields := strings.Fields(m[2])
		for i := 0; i+1 < len(fields); i += 2 {
			if v, err := strconv.ParseFloat(fields[i], 64); err == nil {
				r.units[fields[i+1]] = v
			}
		}
		results = append(results, r)
	}
	return results
}

func (f *LinearFit) regress() {
	f.Intercept, f.Slope = stat.LinearRegression(f.xs, f.ys, nil, false)
	for i, x := range f.xs {
		f.MaxRelativeError = math.Max(f.MaxRelativeError, math.Abs(f.Predict(x)-f.ys[i])/f.ys[i])
	}
}

// Predict returns the fitted cost at a size.
func (f *LinearFit) Predict(x float64) float64 {
	return f.Intercept + f.Slope*x
}

// Plot writes a plot of the measured costs and the line to a file.
func (f *LinearFit) Plot(path string) error {
	p := plot.New()
	p.Title.Text = f.Name
	p.X.Label.Text = f.Benchmark
	p.Y.Label.Text = f.Unit
	points := make(plotter.XYs, len(f.xs))
	for i := range f.xs {
		points[i] = plotter.XY{X: f.xs[i], Y: f.ys[i]}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return fmt.Errorf("plot %s: %w", f.Name, err)
	}
	p.Add(scatter, plotter.NewFunction(f.Predict))
	if err := p.Save(4*vg.Inch, 3*vg.Inch, path); err != nil {
		return fmt.Errorf("plot %s: %w", f.Name, err)
	}
	return nil
}
