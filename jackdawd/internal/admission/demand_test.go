package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ask lets workspaces ask at a rate each, in requests a second, for a time.
func ask(d *demand, now time.Time, span time.Duration, rates map[string]int) time.Time {
	const step = 100 * time.Millisecond
	for n := range int(span / step) {
		for workspace, rate := range rates {
			// So many of each ten steps as make up the rate.
			for range rate*(n+1)/10 - rate*n/10 {
				d.add(now, workspace)
			}
		}
		now = now.Add(step)
	}
	return now
}

func TestSurgeOfAWorkspace(t *testing.T) {
	usual := map[string]int{"large": 20, "middle": 5, "small": 1}
	for name, test := range map[string]struct {
		then map[string]int
		want map[string]bool
	}{
		"all as usual":      {usual, map[string]bool{}},
		"all eight times":   {map[string]int{"large": 160, "middle": 40, "small": 8}, map[string]bool{}},
		"the small one":     {map[string]int{"large": 20, "middle": 5, "small": 30}, map[string]bool{"small": true}},
		"the large one":     {map[string]int{"large": 200, "middle": 5, "small": 1}, map[string]bool{"large": true}},
		"the middle one":    {map[string]int{"large": 20, "middle": 60, "small": 1}, map[string]bool{"middle": true}},
		"the only one":      {map[string]int{"large": 200}, map[string]bool{"large": true}},
		"a few more":        {map[string]int{"large": 20, "middle": 6, "small": 1}, map[string]bool{}},
		"one that is new":   {map[string]int{"large": 20, "middle": 5, "small": 1, "new": 20}, map[string]bool{"new": true}},
		"one that has left": {map[string]int{"large": 20, "middle": 5}, map[string]bool{}},
	} {
		t.Run(name, func(t *testing.T) {
			d := newDemand()
			now := ask(&d, noon, 60*time.Second, usual)
			now = ask(&d, now, 3*time.Second, test.then)
			for workspace := range test.then {
				require.Equal(t, test.want[workspace], d.surges(now, workspace), workspace)
			}
		})
	}
}

func TestWorkspacesThatAskForNothingAreForgotten(t *testing.T) {
	d, now := newDemand(), noon
	for i := range 5000 {
		now = now.Add(time.Second)
		d.add(now, fmt.Sprint(i))
	}
	require.Less(t, len(d.byWorkspace), 400)
}
