package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a host that refuses requests although it has processor time, or takes all of them
// although it has none.
func TestHostRefusalRatio(t *testing.T) {
	for name, test := range map[string]struct {
		delay time.Duration
		want  float64
	}{
		"idle":            {0, 0},
		"busy":            {minHostDelay, 0},
		"beyond capacity": {(minHostDelay + maxHostDelay) / 2, 0.5},
		"far beyond":      {maxHostDelay, 1},
		"stalled":         {5 * time.Second, 1},
		"never measured":  {-1, 0},
		"just beyond":     {minHostDelay + time.Millisecond, 0.01},
	} {
		t.Run(name, func(t *testing.T) { require.InDelta(t, test.want, HostRefusalRatio(test.delay), 1e-9) })
	}
}

// Guards against an overloaded host whose queue grows until its callers have given up: it simulates a
// host that gets more requests than it has processor time for.
func TestHostRefusalsBoundSchedulingDelay(t *testing.T) {
	const (
		interval  = 100 * time.Millisecond
		served    = 600 * time.Microsecond
		refused   = 150 * time.Microsecond
		perSecond = 4000
	)
	for name, refuses := range map[string]bool{"all are taken": false, "some are refused": true} {
		t.Run(name, func(t *testing.T) {
			backlog, longest := time.Duration(0), time.Duration(0)
			for range 10 * time.Second / interval {
				ratio := 0.0
				if refuses {
					ratio = HostRefusalRatio(backlog)
				}
				cost := time.Duration(ratio*float64(refused) + (1-ratio)*float64(served))
				backlog = max(backlog+perSecond*cost/(time.Second/interval)-interval, 0)
				longest = max(longest, backlog)
			}
			require.Equal(t, refuses, longest < 500*time.Millisecond, "%s", longest)
		})
	}
}

// Guards against a host that gets most new connections and refuses requests although others have processor
// time, and against hosts that send callers from one to the other while all are busy or the others are down.
func TestConnectionRefusalRatio(t *testing.T) {
	const wait = (minConnectionDelay + maxConnectionDelay) / 2
	for name, test := range map[string]struct {
		delay time.Duration
		share HostShare
		want  float64
	}{
		"most requests, idle":        {0, HostShare{Own: 90, Others: 10, OthersSeen: true, Hosts: 8}, 0},
		"most requests, busy":        {wait, HostShare{Own: 90, Others: 10, OthersSeen: true, Hosts: 8}, 0.5},
		"most requests, far beyond":  {time.Second, HostShare{Own: 90, Others: 10, OthersSeen: true, Hosts: 8}, 1},
		"most of one of many":        {wait, HostShare{Own: 30, Others: 1000, OthersSeen: true, Hosts: 195}, 0.5},
		"even share, far beyond":     {time.Second, HostShare{Own: 13, Others: 87, OthersSeen: true, Hosts: 8}, 0},
		"nothing known of the rest":  {time.Second, HostShare{Own: 100, Hosts: 8}, 0},
		"none at this moment":        {wait, HostShare{Own: 100, OthersSeen: true, Hosts: 8}, 0.5},
		"the only host":              {time.Second, HostShare{Own: 100, Others: 1, OthersSeen: true, Hosts: 1}, 0},
		"host count not known":       {time.Second, HostShare{Own: 100, Others: 1, OthersSeen: true}, 0},
		"refusals of requests begin": {minHostDelay, HostShare{Own: 90, Others: 10, OthersSeen: true, Hosts: 8}, 0.75},
	} {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, test.want, ConnectionRefusalRatio(test.delay, test.share), 1e-9)
		})
	}
}
