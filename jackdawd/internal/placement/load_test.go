package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The accepted ratio keeps an upstream within the limit, even when the report is so old that most of
// its requests have been replaced.
func TestAcceptRatio(t *testing.T) {
	const limit, lifetime = 20, time.Second
	for name, test := range map[string]struct {
		load               Load
		minRatio, maxRatio float64
	}{
		"unknown":                      {Load{}, 1, 1e12},
		"fresh, below":                 {Load{Others: 18}, 1, 1e12},
		"fresh, above":                 {Load{Others: 21}, -1e12, 0},
		"own requests, above":          {Load{Own: 21}, -1e12, 0},
		"half a second, far below":     {Load{Others: 8, Age: lifetime / 2}, 1, 1e12},
		"half a second, below":         {Load{Others: 18, Age: lifetime / 2}, 0.1, 0.5},
		"half a second, above":         {Load{Others: 30, Age: lifetime / 2}, -1e12, 0},
		"a second, above":              {Load{Others: 30, Age: lifetime}, 0, 0.3},
		"expired, at the limit":        {Load{Others: 20, Age: 10 * lifetime}, 0.5, 0.7},
		"expired, at double the limit": {Load{Others: 40, Age: 10 * lifetime}, 0.25, 0.35},
	} {
		t.Run(name, func(t *testing.T) {
			ratio := test.load.acceptRatio(limit, 2.5, lifetime)
			require.GreaterOrEqual(t, ratio, test.minRatio)
			require.LessOrEqual(t, ratio, test.maxRatio)
			if ratio > 0 && ratio < 1 {
				remaining, arrived := test.load.project(lifetime)
				require.Less(t, test.load.Own+remaining+ratio*arrived, float64(limit), "the expected load is within the limit")
			}
		})
	}
}

// Several own requests at an upstream whose older report shows few indicate that other hosts have
// sent requests there as well.
func TestOwnRequestsRaiseEstimateOfOthers(t *testing.T) {
	few := Load{Others: 10, Age: time.Second}
	require.Equal(t, few, few.scaledByOwn(0), "unknown number of hosts")
	require.Equal(t, few, few.scaledByOwn(1))
	require.Equal(t, few, few.scaledByOwn(87), "no own requests, as is usual")
	several := Load{Own: 3, Others: 10, Age: time.Second}
	require.Greater(t, several.scaledByOwn(87).Others, 20.0)
	share := Load{Own: 3, Others: 24, Age: time.Second}
	require.Equal(t, share, share.scaledByOwn(9), "own requests at the usual share")
}
