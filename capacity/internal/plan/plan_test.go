package plan

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func docs(name string) string { return filepath.Join("..", "..", "..", "docs", name) }

// The tables of the page are those that the committed benchmark output gives.
func TestPageMatchesMeasurements(t *testing.T) {
	output, err := os.ReadFile(docs("measurements/slopes.txt"))
	require.NoError(t, err)
	slopes, err := Slopes(string(output))
	require.NoError(t, err)
	page, err := os.ReadFile(docs("CAPACITY.md"))
	require.NoError(t, err)
	want, err := Replace(string(page), Tables(slopes))
	require.NoError(t, err)
	require.Equal(t, want, string(page), "run: make capacity")
}

func TestFit(t *testing.T) {
	s := Slope{xs: []float64{1, 2, 4}, ys: []float64{12, 14, 18}}
	s.fit()
	require.InDelta(t, 2, s.PerOne, 1e-9)
	require.InDelta(t, 10, s.Intercept, 1e-9)
	require.InDelta(t, 210, s.At(100), 1e-9)
	require.InDelta(t, 0, s.Worst, 1e-9)
}

func TestSlopesNeedThreePoints(t *testing.T) {
	_, err := Slopes("BenchmarkDecision/engines=14-8 100 593.0 ns/op\n")
	require.ErrorContains(t, err, "three are needed")
}
