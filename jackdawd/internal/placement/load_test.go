package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What an upstream goes on taking keeps it below the limit, also when the news is old and most of what it had has been replaced.
func TestAcceptance(t *testing.T) {
	const limit, lifetime = 20, time.Second
	for name, test := range map[string]struct {
		load        Load
		least, most float64
	}{
		"nothing is known":              {Load{}, 1, 1e12},
		"fresh, below":                  {Load{Others: 18}, 1, 1e12},
		"fresh, above":                  {Load{Others: 21}, -1e12, 0},
		"own requests, above":           {Load{Own: 21}, -1e12, 0},
		"half a second, far below":      {Load{Others: 8, Age: lifetime / 2}, 1, 1e12},
		"half a second, below":          {Load{Others: 18, Age: lifetime / 2}, 0.1, 0.5},
		"half a second, above":          {Load{Others: 30, Age: lifetime / 2}, -1e12, 0},
		"a second, above":               {Load{Others: 30, Age: lifetime}, 0, 0.3},
		"nothing of it is left, at it":  {Load{Others: 20, Age: 10 * lifetime}, 0.5, 0.7},
		"nothing of it is left, double": {Load{Others: 40, Age: 10 * lifetime}, 0.25, 0.35},
	} {
		t.Run(name, func(t *testing.T) {
			part := test.load.acceptance(limit, 2.5, lifetime)
			require.GreaterOrEqual(t, part, test.least)
			require.LessOrEqual(t, part, test.most)
			if part > 0 && part < 1 {
				remaining, arrived := test.load.since(lifetime)
				require.Less(t, test.load.Own+remaining+part*arrived, float64(limit), "what is expected is within the limit")
			}
		})
	}
}

// Several of a host's own requests are at an upstream where news from before shows few: others have sent there as well.
func TestOwnRequestsTellOfOthers(t *testing.T) {
	few := Load{Others: 10, Age: time.Second}
	require.Equal(t, few, few.withOwnEvidence(0), "not known how many hosts there are")
	require.Equal(t, few, few.withOwnEvidence(1))
	require.Equal(t, few, few.withOwnEvidence(87), "none is no sign: a host seldom has one there")
	several := Load{Own: 3, Others: 10, Age: time.Second}
	require.Greater(t, several.withOwnEvidence(87).Others, 20.0)
	part := Load{Own: 3, Others: 24, Age: time.Second}
	require.Equal(t, part, part.withOwnEvidence(9), "its part is no sign of more")
}
