package placement

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCappedMean(t *testing.T) {
	for name, test := range map[string]struct {
		loads []float64
		want  float64
	}{
		"none":                  {nil, 0},
		"equal":                 {[]float64{6, 6, 6}, 6},
		"usual variation":       {[]float64{2, 4, 6, 8, 10}, 6},
		"hung requests at some": {[]float64{6, 6, 6, 6, 90, 90}, 9},
		"most are idle":         {[]float64{0, 0, 0, 30}, 0.75},
	} {
		t.Run(name, func(t *testing.T) { require.InDelta(t, test.want, cappedMean(test.loads), 0.01) })
	}
}
