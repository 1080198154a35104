package plan

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func docsPath(name string) string { return filepath.Join("..", "..", "..", "docs", name) }

// Guards against a capacity page whose tables differ from those of the committed benchmark output.
func TestPageMatchesMeasurements(t *testing.T) {
	output, err := os.ReadFile(docsPath("measurements/slopes.txt"))
	require.NoError(t, err)
	fits, err := FitBenchmarks(string(output))
	require.NoError(t, err)
	page, err := os.ReadFile(docsPath("CAPACITY.md"))
	require.NoError(t, err)
	want, err := ReplaceTables(string(page), Tables(fits))
	require.NoError(t, err)
	require.Equal(t, want, string(page), "run: make capacity")
}

func TestRegress(t *testing.T) {
	f := LinearFit{xs: []float64{1, 2, 4}, ys: []float64{12, 14, 18}}
	f.regress()
	require.InDelta(t, 2, f.Slope, 1e-9)
	require.InDelta(t, 10, f.Intercept, 1e-9)
	require.InDelta(t, 210, f.Predict(100), 1e-9)
	require.InDelta(t, 0, f.MaxRelativeError, 1e-9)
}

func TestFitNeedsThreePoints(t *testing.T) {
	_, err := FitBenchmarks("BenchmarkDecision/engines=14-8 100 593.0 ns/op\n")
	require.ErrorContains(t, err, "three are needed")
}
