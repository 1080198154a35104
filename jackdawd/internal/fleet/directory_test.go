package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// logOffset returns a log position.
func logOffset(offset int64) traffic.LogPosition { return traffic.LogPosition{Offset: offset} }

func encodedRegistration(t *testing.T, address, domain string) []byte {
	t.Helper()
	data, err := json.Marshal(Registration{Address: address, FailureDomain: domain, Secret: "s"})
	require.NoError(t, err)
	return data
}

func newTestDirectory(t *testing.T, self string, n int) *Directory {
	t.Helper()
	d := NewDirectory(Peer{Name: self, Registration: Registration{Address: self, FailureDomain: "a", Secret: "s"}})
	registrations := map[string][]byte{}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		registrations[name] = encodedRegistration(t, name, string("ab"[i%2]))
	}
	d.Update(registrations, true, logOffset(2))
	return d
}

func peerNames(peers []Peer) []string {
	var out []string
	for _, p := range peers {
		out = append(out, p.Name)
	}
	return out
}

// A host that does not answer is skipped for longer each time, and its registration may be removed
// once it has been unreachable for long enough.
func TestSuspectBackoffGrows(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDirectory(t, "entry-4", 9)
	parent, ok := d.Parent(now)
	require.True(t, ok)
	require.False(t, d.Suspect(now, parent.Name, false))
	skipped := func(at time.Time) bool {
		return !slices.Contains(peerNames(d.rankedHosts(at, parent.FailureDomain)), parent.Name)
	}
	require.True(t, skipped(now.Add(minSuspectBackoff-1)))
	require.False(t, skipped(now.Add(minSuspectBackoff)))
	require.False(t, d.Suspect(now.Add(minSuspectBackoff), parent.Name, false))
	require.True(t, skipped(now.Add(2*minSuspectBackoff)))
	require.True(t, d.Suspect(now.Add(unreachableTimeout+time.Second), parent.Name, false))
	d.ClearSuspect(parent.Name)
	require.False(t, skipped(now.Add(unreachableTimeout+time.Second)))
	require.False(t, d.Suspect(now.Add(unreachableTimeout+2*time.Second), parent.Name, false))
}

// A host that answers but has lost the store is retried soon, however often that happens, and is
// not considered gone.
func TestStaleHostIsRetriedSoon(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newTestDirectory(t, "entry-4", 9)
	parent, _ := d.Parent(now)
	for range 20 {
		require.False(t, d.Suspect(now, parent.Name, true))
		now = now.Add(maxStaleBackoff)
	}
	require.Contains(t, peerNames(d.rankedHosts(now, parent.FailureDomain)), parent.Name)
}

// A restarted host keeps the secret that other hosts know, so that a restart of all hosts does not
// make each of them read the host list again.
func TestRestartedHostAdoptsEarlierRegistration(t *testing.T) {
	earlier := Registration{Address: "entry-0", FailureDomain: "a", Secret: "earlier"}
	for name, test := range map[string]struct {
		earlier Registration
		adopted bool
	}{
		"the same":             {earlier, true},
		"another address":      {Registration{Address: "x", FailureDomain: "a", Secret: "earlier"}, false},
		"other strength":       {Registration{Address: "entry-0", FailureDomain: "a", Secret: "earlier", Strength: 7}, false},
		"without a secret":     {Registration{Address: "entry-0", FailureDomain: "a"}, false},
		"other failure domain": {Registration{Address: "entry-0", FailureDomain: "b", Secret: "earlier"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDirectory(Peer{Name: "entry-0", Registration: Registration{Address: "entry-0", FailureDomain: "a", Secret: "new"}})
			require.Equal(t, test.adopted, d.Adopt(test.earlier))
			require.Equal(t, test.adopted, d.Self().Secret == "earlier")
		})
	}
}

// A host that others considered gone detects that its registration is missing.
func TestMissingOwnRegistrationIsReported(t *testing.T) {
	d := newTestDirectory(t, "entry-0", 3)
	own, err := json.Marshal(d.Self().Registration)
	require.NoError(t, err)
	require.False(t, d.Update(map[string][]byte{"entry-0": own}, false, logOffset(3)))
	require.True(t, d.Update(map[string][]byte{"entry-0": nil}, false, logOffset(4)))
	require.Contains(t, d.All(), "entry-0")
}

// A registration that cannot be decoded does not affect the others.
func TestInvalidRegistrationIsIgnored(t *testing.T) {
	d := newTestDirectory(t, "entry-0", 5)
	d.Update(map[string][]byte{"entry-9": encodedRegistration(t, "x", "c"), "entry-8": []byte("{")}, false, logOffset(5))
	require.Contains(t, d.All(), "entry-9")
	require.Len(t, d.All(), 6)
}

// Weak hosts read the store only if there are not enough strong ones, because forwarding a
// configuration to all followers would saturate their links for seconds.
func TestStrongHostsBecomeReaders(t *testing.T) {
	d := newTestDirectory(t, "entry-0", 90)
	strong := map[string][]byte{}
	for _, name := range []string{"entry-17", "entry-31", "entry-44", "entry-80", "entry-81"} {
		data, err := json.Marshal(Registration{Address: name, FailureDomain: string("ab"[len(strong)%2]), Secret: "s", Strength: 160})
		require.NoError(t, err)
		strong[name] = data
	}
	d.Update(strong, false, logOffset(6))
	readers := d.readers(time.Unix(0, 0))
	require.Len(t, readers, maxReaders)
	for _, p := range readers {
		require.Contains(t, strong, p.Name)
	}
}

// The host list is forwarded from host to host as changes since a position, including removals, and
// never goes back.
func TestHostListIsForwarded(t *testing.T) {
	reader, follower := newTestDirectory(t, "entry-0", 5), newTestDirectory(t, "entry-1", 5)
	reader.Update(map[string][]byte{"entry-3": nil, "entry-7": encodedRegistration(t, "x", "c")}, false, logOffset(9))
	entries, whole, until := reader.Since(follower.Position())
	require.False(t, whole)
	require.Len(t, entries, 2)
	follower.Merge(entries, whole, until)
	require.NotContains(t, follower.All(), "entry-3")
	require.Contains(t, follower.All(), "entry-7")
	require.Equal(t, logOffset(9), follower.Position())
	entries, _, until = reader.Since(follower.Position())
	require.Empty(t, entries)
	follower.Merge([]HostEntry{{Name: "entry-9"}}, true, until)
	require.Contains(t, follower.All(), "entry-7", "entries that are not newer are ignored")
}

// When more hosts were removed than there are tombstones, a host that was disconnected meanwhile
// must be sent the complete list, or it would keep removed hosts forever.
func TestTombstonesArePruned(t *testing.T) {
	reader, follower := newTestDirectory(t, "entry-0", 3), newTestDirectory(t, "entry-1", 3)
	follower.Update(map[string][]byte{"old-0": encodedRegistration(t, "x", "a")}, false, logOffset(3))
	for i := range int64(2 * maxTombstones) {
		name := fmt.Sprint("old-", i)
		reader.Update(map[string][]byte{name: encodedRegistration(t, "x", "a")}, false, logOffset(10+2*i))
		reader.Update(map[string][]byte{name: nil}, false, logOffset(11+2*i))
	}
	require.LessOrEqual(t, len(reader.entries), maxTombstones+3)
	entries, whole, until := reader.Since(follower.Position())
	require.True(t, whole)
	follower.Merge(entries, whole, until)
	require.NotContains(t, follower.All(), "old-0")
}

// Hosts missing from an older backup of the store must not be considered gone.
func TestHostsSurviveRestoreFromOlderBackup(t *testing.T) {
	d := newTestDirectory(t, "entry-0", 4)
	backup := map[string][]byte{"entry-0": encodedRegistration(t, "entry-0", "a"), "entry-1": encodedRegistration(t, "x", "a")}
	d.Update(backup, true, traffic.LogPosition{Era: 1, Offset: 1})
	require.Equal(t, 4, d.Size())
	d.Update(backup, true, logOffset(99))
	require.Equal(t, traffic.LogPosition{Era: 1, Offset: 1}, d.Position(), "a late answer from before the restore is ignored")
	d.Update(backup, true, traffic.LogPosition{Era: 1, Offset: 2})
	require.Equal(t, 2, d.Size(), "hosts missing from a later list of the same era are removed")
}

// A host that starts from an older backup lacks a host that all others know. When that one
// registers again, nothing changes for the others, but the entry must still be forwarded.
func TestHostsMissingFromBackupAreForwardedAgain(t *testing.T) {
	const others = 3
	restored := func(offset int64) traffic.LogPosition { return traffic.LogPosition{Era: 1, Offset: offset} }
	reader, intermediate, started := newTestDirectory(t, "entry-0", others), newTestDirectory(t, "entry-1", others), NewDirectory(Peer{Name: "entry-3"})
	backup := map[string][]byte{"entry-0": encodedRegistration(t, "entry-0", "a")}
	for _, d := range []*Directory{reader, started} {
		d.Update(backup, true, restored(1))
	}
	intermediate.Merge(reader.Since(intermediate.Position()))
	registration := reader.All()["entry-2"]
	data, err := json.Marshal(registration)
	require.NoError(t, err)
	reader.Update(map[string][]byte{"entry-2": data}, false, restored(2))
	intermediate.Merge(reader.Since(intermediate.Position()))
	started.Merge(intermediate.Since(started.Position()))
	require.Contains(t, started.All(), "entry-2")
}

// Guards against a host that started from an older backup and is never sent a host that registered
// again before the reader first read the restored list.
func TestHostsRegisteredBeforeFirstReadAfterRestoreAreForwarded(t *testing.T) {
	restored := func(offset int64) traffic.LogPosition { return traffic.LogPosition{Era: 1, Offset: offset} }
	reader := newTestDirectory(t, "entry-0", 3)
	started := NewDirectory(Peer{Name: "entry-1", Registration: Registration{Address: "entry-1", FailureDomain: "b", Secret: "s"}})
	registrations := map[string][]byte{}
	for _, name := range []string{"entry-0", "entry-1"} {
		registrations[name] = encodedRegistration(t, name, "a")
	}
	started.Update(registrations, true, restored(2))
	registrations["entry-2"] = encodedRegistration(t, "entry-2", "a")
	reader.Update(registrations, true, restored(3))
	started.Merge(reader.Since(started.Position()))
	require.Contains(t, started.All(), "entry-2")
}
