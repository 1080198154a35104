package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/resumption"
	"jackdawhinge/standin/clock"
)

// newStreamSource returns a host among a number of others in three failure domains; it reaches none.
func newStreamSource(hosts int) *Source {
	s := NewSource(Options{Name: "entry-0", Address: "10.0.0.1:1", FailureDomain: "domain-0", Region: "north", Uptime: func() time.Duration { return time.Hour }})
	var entries []HostEntry
	for i := range hosts {
		entries = append(entries, HostEntry{Name: fmt.Sprintf("entry-%d", i), Notice: &Registration{
			Address: fmt.Sprintf("10.0.0.%d:1", i+1), FailureDomain: fmt.Sprintf("domain-%d", i%3), Region: "north",
		}})
	}
	entries = append(entries, HostEntry{Name: "far-away", Notice: &Registration{Address: "10.9.0.1:1", FailureDomain: "domain-9", Region: "south"}})
	s.directory.Merge(entries, true, traffic.LogPosition{Offset: 1})
	return s
}

// The loss of one failure domain, or of the stream's own host, must leave a copy.
func TestStreamCopiesAreInTwoFailureDomains(t *testing.T) {
	s, now := newStreamSource(9), time.Now()
	for key := range resumption.Key(200) {
		holders := s.copyHolders(now, key*0x9e3779b97f4a7c15)
		require.Len(t, holders, 2)
		require.NotEqual(t, holders[0].FailureDomain, holders[1].FailureDomain)
		for _, h := range holders {
			require.NotEqual(t, "entry-0", h.Name)
			require.NotEqual(t, "far-away", h.Name)
		}
	}
}

// Hosts that do not answer must not be given the only copies.
func TestSilentHostsHoldNoCopies(t *testing.T) {
	s := newStreamSource(4)
	s.sideCalls.skip("entry-1", streamsCall)
	for key := range resumption.Key(50) {
		for _, h := range s.copyHolders(time.Now(), key) {
			require.NotEqual(t, "entry-1", h.Name)
		}
	}
}

// Small fleets have fewer copies, and a host alone has none.
func TestCopiesInSmallFleets(t *testing.T) {
	for hosts, copies := range map[int]int{1: 0, 2: 1, 3: 2, 8: 2} {
		require.Len(t, newStreamSource(hosts).copyHolders(time.Now(), 7), copies, "%d hosts", hosts)
	}
}

func TestStreamRecordsSurviveEncoding(t *testing.T) {
	now := time.Now()
	records := []resumption.Record{{Key: 1 << 63, Software: 5, Expiry: now.Add(1500 * time.Millisecond)}, {Key: 2, Software: 1<<64 - 1, Expiry: now.Add(-time.Second)}}
	encoded := encodeStreams(now, records)
	require.Len(t, encoded, 2*streamSize)
	records[1].Expiry = now
	require.Equal(t, records, decodeStreams(now, encoded))
	require.Equal(t, records[:1], decodeStreams(now, encoded[:2*streamSize-1]), "truncated")
}

// A stream must count as begun before records were sent only if a host that would hold its record
// says that it has none, whichever host began it.
func TestMissingRecordIsProof(t *testing.T) {
	s := newStreamSource(6)
	const key, sinceMix = 42, time.Second
	ranking := s.streamRanking(key)
	other := ranking[1].Name
	for _, p := range ranking[1:] {
		if p.FailureDomain != ranking[0].FailureDomain {
			other = p.Name
			break
		}
	}
	for name, test := range map[string]struct {
		denials map[string]time.Duration
		proof   bool
	}{
		"nobody answers":                    {nil, false},
		"the first has none":                {map[string]time.Duration{ranking[0].Name: time.Minute}, true},
		"the first has just started":        {map[string]time.Duration{ranking[0].Name: time.Millisecond}, false},
		"the others of the order have none": {map[string]time.Duration{ranking[1].Name: time.Minute, other: time.Minute}, true},
		"the last ones have none":           {map[string]time.Duration{ranking[5].Name: time.Minute, ranking[4].Name: time.Minute}, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.proof, s.isUnrecorded(key, test.denials, sinceMix))
		})
	}
	require.True(t, newStreamSource(1).isUnrecorded(key, nil, sinceMix), "a host alone")
}

// Which holders a host picks must be among the hosts that another one asks.
func TestHoldersAreAsked(t *testing.T) {
	s := newStreamSource(30)
	for key := range resumption.Key(500) {
		ranking := s.streamRanking(key)[:maxAskedHosts]
		for _, h := range s.copyHolders(time.Now(), key) {
			found := false
			for _, p := range ranking {
				found = found || p.Name == h.Name
			}
			require.True(t, found, "stream %d", key)
		}
	}
}

func TestHistorySurvivesStorage(t *testing.T) {
	presences := []resumption.Presence{
		{Version: "v1", Since: time.UnixMilli(1000), Until: time.UnixMilli(2000)}, {Version: "v2 of \"x\"", Since: time.UnixMilli(1500)},
	}
	data, err := encodeHistory(presences)
	require.NoError(t, err)
	now := time.Now()
	got, err := decodeHistory(now, data)
	require.NoError(t, err)
	require.Len(t, got, len(presences))
	for i, want := range presences {
		require.Equal(t, want.Version, got[i].Version)
		require.True(t, want.Since.Equal(got[i].Since) && want.Until.Equal(got[i].Until))
		require.Equal(t, now.Sub(want.Since), clock.AfterJump(now, 3).Sub(got[i].Since), "the clock jumps")
	}
	_, err = decodeHistory(time.Now(), []byte("{"))
	require.Error(t, err)
}

// fakeHistoryStore keeps histories, and fails while it is unavailable.
type fakeHistoryStore struct {
	histories   map[string][]byte
	unavailable bool
}

// Put stores a history.
func (f *fakeHistoryStore) Put(_ context.Context, pool string, history []byte) error {
	if f.unavailable {
		return errors.New("unavailable")
	}
	f.histories[pool] = history
	return nil
}

// All returns all histories.
func (f *fakeHistoryStore) All(context.Context) (map[string][]byte, error) { return f.histories, nil }

// Histories that could not be stored, or that a restored store lacks, must be stored later, or hosts
// that start do not learn of a version that was there a moment ago.
func TestHistoriesAreStoredAgain(t *testing.T) {
	store := &fakeHistoryStore{histories: map[string][]byte{}, unavailable: true}
	s := NewSource(Options{Name: "entry-0", HistoryStore: store, Uptime: func() time.Duration { return time.Hour }})
	upstream := func(pool, version string) *traffic.Upstream {
		return &traffic.Upstream{Pool: pool, SoftwareVersion: version}
	}
	s.ObserveUpstreams(map[string][]*traffic.Upstream{
		"reader": {upstream("reader", "v1"), upstream("reader", "v2")}, "writer": {upstream("writer", "v1"), upstream("writer", "v2")},
		"mailbox": {upstream("mailbox", "v1")},
	})
	require.False(t, s.saveHistory(t.Context()))
	store.unavailable = false
	require.True(t, s.saveHistory(t.Context()))
	require.ElementsMatch(t, []string{"reader", "writer"}, slices.Collect(maps.Keys(store.histories)))
	clear(store.histories)
	require.True(t, s.saveHistory(t.Context()))
	require.Empty(t, store.histories, "nothing has changed")
	s.handleRestored()
	require.True(t, s.saveHistory(t.Context()))
	require.Len(t, store.histories, 2)
}

// The work for each stream that begins, in a fleet of the planned size.
func BenchmarkCopyHolders(b *testing.B) {
	s := newStreamSource(360)
	for i := 0; b.Loop(); i++ {
		s.copyHolders(time.Now(), resumption.Key(i))
	}
}
