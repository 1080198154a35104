package resumption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// listed returns pool reader with one upstream of each version.
func listed(versions ...string) map[string][]*traffic.Upstream {
	var upstreams []*traffic.Upstream
	for _, v := range versions {
		upstreams = append(upstreams, &traffic.Upstream{Pool: "reader", SoftwareVersion: v})
	}
	return map[string][]*traffic.Upstream{"reader": upstreams}
}

// observation is the list of upstreams at some time after the start.
type observation struct {
	after    time.Duration
	versions []string
}

// The version of a stream without a record may be inferred only where no other version is possible.
func TestHistorySaysWhichVersionsArePossible(t *testing.T) {
	const day = 24 * time.Hour
	for name, test := range map[string]struct {
		firstStart   bool
		observations []observation
		at           time.Duration
		only         string
		beforeMix    string
		mixed        bool
	}{
		"first start":                     {firstStart: true, observations: []observation{{0, []string{"v1"}}}, at: time.Second, only: "v1"},
		"a host that has just started":    {observations: []observation{{0, []string{"v1"}}}, at: time.Second},
		"one that runs for long":          {observations: []observation{{0, []string{"v1"}}}, at: Memory, only: "v1", beforeMix: "v1"},
		"two versions":                    {firstStart: true, observations: []observation{{0, []string{"v1"}}, {day, []string{"v1", "v2"}}}, at: day + time.Minute, mixed: true},
		"two versions, the second is new": {firstStart: true, observations: []observation{{0, []string{"v1"}}, {day, []string{"v1", "v2"}}}, at: day + time.Second, mixed: true, beforeMix: "v1"},
		"replaced at once":                {firstStart: true, observations: []observation{{0, []string{"v1"}}, {day, []string{"v2"}}}, at: day + time.Second, mixed: true, beforeMix: "v1"},
		"replaced a minute ago":           {firstStart: true, observations: []observation{{0, []string{"v1"}}, {day, []string{"v2"}}}, at: day + time.Minute, mixed: true},
		"replaced long ago":               {firstStart: true, observations: []observation{{0, []string{"v1"}}, {day, []string{"v2"}}}, at: day + Memory + 1, only: "v2", beforeMix: "v2"},
		"two, then a third":               {firstStart: true, observations: []observation{{0, []string{"v1", "v2"}}, {day, []string{"v1", "v2", "v3"}}}, at: day + time.Second, mixed: true},
		"back to the first":               {firstStart: true, observations: []observation{{0, []string{"v1"}}, {day, []string{"v2"}}, {day + time.Minute, []string{"v1"}}}, at: day + time.Minute + 4*time.Second, mixed: true},
		"none is listed any more":         {firstStart: true, observations: []observation{{0, []string{"v1"}}, {day, nil}}, at: day + time.Second, only: "v1", beforeMix: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := NewHistory(start, test.firstStart)
			for _, o := range test.observations {
				h.Observe(start.Add(o.after), listed(o.versions...))
			}
			now := start.Add(test.at)
			only, _ := h.Only(now, "reader")
			require.Equal(t, test.only, only)
			require.Equal(t, test.mixed, h.IsMixed(now, "reader"))
			if test.beforeMix != "" || test.mixed {
				before, _, _ := h.BeforeMix(now, "reader")
				require.Equal(t, test.beforeMix, before)
			}
		})
	}
}

// A host that starts must learn from the store that another version was there a moment ago.
func TestStoredHistoryIsMerged(t *testing.T) {
	unixMilli := func(at time.Time) time.Time { return time.UnixMilli(at.UnixMilli()) }
	for name, test := range map[string]struct {
		stored []Presence
		only   string
	}{
		"nothing stored":             {nil, "v2"},
		"the other left a while ago": {[]Presence{{Version: "v1", Since: start.Add(-time.Hour), Until: start.Add(-Memory - time.Minute)}}, "v2"},
		"the other left a moment ago": {[]Presence{
			{Version: "v1", Since: start.Add(-time.Hour), Until: start.Add(-time.Second)}, {Version: "v2", Since: start.Add(-time.Minute)},
		}, ""},
		"the other was there when it was stored": {[]Presence{{Version: "v1", Since: unixMilli(start)}, {Version: "v2", Since: start}}, ""},
		"a clock that was ahead":                 {[]Presence{{Version: "v1", Since: start.Add(time.Hour), Until: start.Add(2 * time.Hour)}}, ""},
	} {
		for order, observeFirst := range map[string]bool{"list first": true, "history first": false} {
			t.Run(name+"/"+order, func(t *testing.T) {
				h := NewHistory(start, false)
				if observeFirst {
					h.Observe(start, listed("v2"))
				}
				h.Merge(start, map[string][]Presence{"reader": test.stored})
				if !observeFirst {
					h.Observe(start, listed("v2"))
				}
				only, ok := h.Only(start.Add(time.Second), "reader")
				require.Equal(t, test.only, only)
				require.Equal(t, test.only != "", ok)
			})
		}
	}
}

// Only changes of versions are reported, since each makes hosts send their records.
func TestObserveReportsChangesOfVersions(t *testing.T) {
	h := NewHistory(start, true)
	require.Equal(t, []string{"reader"}, h.Observe(start, listed("v1")))
	require.Empty(t, h.Observe(start, listed("v1", "v1")))
	require.Equal(t, []string{"reader"}, h.Observe(start, listed("v1", "v2")))
	require.Empty(t, h.Observe(start, listed("v2", "v1")))
	require.Equal(t, []string{"reader"}, h.Observe(start, listed("v2")))
	require.Equal(t, []string{"reader"}, h.Observe(start, map[string][]*traffic.Upstream{}))
	require.Equal(t, []string{"reader"}, h.MixedPools(start))
}
