package traffic

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// What is known of a later era counts as older than what was known before.
func TestPositionsOfALaterEraComeAfterAllOthers(t *testing.T) {
	for name, test := range map[string]struct {
		p, other LogPosition
		before   bool
	}{
		"same":                    {LogPosition{1, 7}, LogPosition{1, 7}, false},
		"lower offset":            {LogPosition{1, 6}, LogPosition{1, 7}, true},
		"later era, low offset":   {LogPosition{1, 90}, LogPosition{2, 3}, true},
		"earlier era, high one":   {LogPosition{2, 3}, LogPosition{1, 90}, false},
		"nothing known":           {LogPosition{}, LogPosition{0, 1}, true},
		"nothing known of either": {LogPosition{}, LogPosition{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.before, test.p.Before(test.other))
		})
	}
}
