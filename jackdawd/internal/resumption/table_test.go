package resumption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

var start = time.Unix(1_000_000, 0)

func record(key Key, software traffic.Software, left time.Duration) Record {
	return Record{Key: key, Software: software, Expiry: start.Add(left)}
}

func TestTableRemembersUntilCallersGiveUp(t *testing.T) {
	table := NewTable()
	table.Put(start, record(1, 7, 15*time.Second))
	table.Put(start, record(2, 8, time.Hour))
	for name, test := range map[string]struct {
		key   Key
		at    time.Duration
		found bool
	}{
		"in time":                     {1, 14 * time.Second, true},
		"too late":                    {1, 15 * time.Second, false},
		"longer than any is kept":     {2, Memory, false},
		"as long as the longest kept": {2, Memory - 1, true},
		"another stream":              {3, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			_, ok := table.Find(start.Add(test.at), test.key)
			require.Equal(t, test.found, ok)
		})
	}
}

// Two streams of different versions with one key must not be taken for each other.
func TestStreamsWithOneKeyAreAmbiguous(t *testing.T) {
	table := NewTable()
	table.Put(start, record(1, 7, time.Second))
	table.Put(start, record(1, 7, 2*time.Second))
	software, ok := table.Find(start, 1)
	require.True(t, ok, "the same record again")
	require.Equal(t, traffic.Software(7), software)
	table.Put(start, record(1, 8, time.Second))
	table.Put(start, record(1, 7, time.Second))
	_, ok = table.Find(start, 1)
	require.False(t, ok)
	table.Put(start.Add(3*time.Second), record(1, 8, 5*time.Second))
	software, ok = table.Find(start.Add(3*time.Second), 1)
	require.True(t, ok, "the others have expired")
	require.Equal(t, traffic.Software(8), software)
}

// A host must not run out of memory under many streams: the oldest records go first.
func TestFullTableDropsOldestRecords(t *testing.T) {
	table := NewTable()
	for i := range maxRecords + 10 {
		table.Put(start, record(Key(i+1), 7, time.Minute))
	}
	require.LessOrEqual(t, table.Size(), maxRecords)
	_, ok := table.Find(start, 1)
	require.False(t, ok)
	_, ok = table.Find(start, maxRecords+10)
	require.True(t, ok)
}

// Records that a host holds for others are not its own to send, unless it resumed the stream.
func TestOwnRecordsAreThoseOfThisHost(t *testing.T) {
	table := NewTable()
	table.Put(start, record(1, 7, time.Second))
	table.PutOwn(start, "reader", record(2, 7, time.Second))
	table.PutOwn(start, "writer", record(3, 9, time.Second))
	table.PutOwn(start, "reader", record(4, 7, time.Second))
	table.Put(start, record(4, 7, time.Second))
	var keys []Key
	for _, r := range table.Own(start, "reader") {
		keys = append(keys, r.Key)
	}
	require.ElementsMatch(t, []Key{2, 4}, keys)
}

// A workspace must not find, or spoil, the record of another one's stream by naming its attempt.
func TestKeysOfWorkspacesDiffer(t *testing.T) {
	keys := map[Key]bool{}
	for _, name := range [][2]string{{"a", "r1"}, {"b", "r1"}, {"a", "r2"}, {"ar", "1"}, {"", "ar1"}, {"a", ""}} {
		keys[NewKey(name[0], name[1])] = true
	}
	require.Len(t, keys, 6)
	require.Equal(t, NewKey("a", "r1"), NewKey("a", "r1"))
}

// A table holds records at the rate at which streams begin.
func BenchmarkTablePut(b *testing.B) {
	table := NewTable()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(5 * time.Millisecond)
		table.Put(now, Record{Key: Key(i), Software: 7, Expiry: now.Add(15 * time.Second)})
	}
}
