package traffic

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against taking a position read after a restore of the store, whose offset may be lower, for
// an older one.
func TestLogPositionOrdersByEraFirst(t *testing.T) {
	for name, test := range map[string]struct {
		p, other LogPosition
		before   bool
	}{
		"equal":                      {LogPosition{1, 7}, LogPosition{1, 7}, false},
		"same era, lower offset":     {LogPosition{1, 6}, LogPosition{1, 7}, true},
		"earlier era, higher offset": {LogPosition{1, 90}, LogPosition{2, 3}, true},
		"later era, lower offset":    {LogPosition{2, 3}, LogPosition{1, 90}, false},
		"zero before any":            {LogPosition{}, LogPosition{0, 1}, true},
		"both zero":                  {LogPosition{}, LogPosition{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.before, test.p.Before(test.other))
		})
	}
}
