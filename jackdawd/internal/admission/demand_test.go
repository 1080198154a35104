package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// addRequests adds requests at a rate per workspace, in requests per second, and returns the end of
// the span.
func addRequests(d *demand, now time.Time, span time.Duration, rates map[string]int) time.Time {
	const step = 100 * time.Millisecond
	for n := range int(span / step) {
		for workspace, rate := range rates {
			// Spread the rate evenly over the ten steps of a second.
			for range rate*(n+1)/10 - rate*n/10 {
				d.add(now, workspace)
			}
		}
		now = now.Add(step)
	}
	return now
}

func TestIsSurging(t *testing.T) {
	usual := map[string]int{"large": 20, "middle": 5, "small": 1}
	for name, test := range map[string]struct {
		rates map[string]int
		want  map[string]bool
	}{
		"all unchanged":             {usual, map[string]bool{}},
		"all grow eightfold":        {map[string]int{"large": 160, "middle": 40, "small": 8}, map[string]bool{}},
		"small surges":              {map[string]int{"large": 20, "middle": 5, "small": 30}, map[string]bool{"small": true}},
		"large surges":              {map[string]int{"large": 200, "middle": 5, "small": 1}, map[string]bool{"large": true}},
		"middle surges":             {map[string]int{"large": 20, "middle": 60, "small": 1}, map[string]bool{"middle": true}},
		"large surges, others idle": {map[string]int{"large": 200}, map[string]bool{"large": true}},
		"middle grows a little":     {map[string]int{"large": 20, "middle": 6, "small": 1}, map[string]bool{}},
		"new workspace":             {map[string]int{"large": 20, "middle": 5, "small": 1, "new": 20}, map[string]bool{"new": true}},
		"one becomes idle":          {map[string]int{"large": 20, "middle": 5}, map[string]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDemand()
			now := addRequests(&d, startTime, 60*time.Second, usual)
			now = addRequests(&d, now, 3*time.Second, test.rates)
			for workspace := range test.rates {
				require.Equal(t, test.want[workspace], d.isSurging(now, workspace), workspace)
			}
		})
	}
}

func TestIdleWorkspacesArePruned(t *testing.T) {
	d, now := newDemand(), startTime
	for i := range 5000 {
		now = now.Add(time.Second)
		d.add(now, fmt.Sprint(i))
	}
	require.Less(t, len(d.byWorkspace), 400)
}
