package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newDirectories returns the directories of n hosts in the given number of failure domains, each of
// which contains all hosts.
func newDirectories(t *testing.T, n, domains int) map[string]*Directory {
	t.Helper()
	registrations := map[string][]byte{}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		registrations[name] = encodedRegistration(t, name, fmt.Sprintf("domain-%d", i%domains))
	}
	directories := map[string]*Directory{}
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		directories[name] = NewDirectory(Peer{Name: name, Registration: Registration{Address: name, FailureDomain: fmt.Sprintf("domain-%d", i%domains), Secret: "s"}})
		directories[name].Update(registrations, true, logOffset(2))
	}
	return directories
}

// treeDepth returns the number of hosts through which data reaches a host, and requires that it
// comes from a host that reads the store.
func treeDepth(t *testing.T, now time.Time, fleet map[string]*Directory, name string) int {
	t.Helper()
	n := 0
	for p, ok := fleet[name].Parent(now); ok; p, ok = fleet[p.Name].Parent(now) {
		n++
		require.Less(t, n, len(fleet), "hosts follow each other in a cycle")
	}
	return n
}

// headsPerReader returns how many heads of other failure domains may follow a reader.
func headsPerReader(domains int) int { return max(domains-1, 0) / maxReaders }

// The number of followers per host must not grow with the fleet, while data still passes through
// few hosts and mostly stays within a failure domain.
func TestHostsFollowInTree(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct{ hosts, domains, depth int }{
		"alone":        {1, 1, 0},
		"two":          {2, 2, 0},
		"one domain":   {9, 1, 2},
		"nine hosts":   {9, 4, 2},
		"ninety hosts": {90, 4, 6},
		"360 hosts":    {360, 4, 8},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := newDirectories(t, test.hosts, test.domains)
			reading, crossing := 0, 0
			followers := map[string]int{}
			for host, d := range fleet {
				require.LessOrEqual(t, treeDepth(t, now, fleet, host), test.depth)
				p, ok := d.Parent(now)
				if !ok {
					reading++
					continue
				}
				followers[p.Name]++
				if p.FailureDomain != d.self.FailureDomain {
					crossing++
				}
			}
			require.LessOrEqual(t, reading, maxReaders)
			require.LessOrEqual(t, crossing, test.domains)
			for host, n := range followers {
				require.LessOrEqual(t, n, 4*fanOut, host)
			}
		})
	}
}

// Guards against hosts with more followers than their budget of control traffic bears.
func TestFollowersAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, hosts := range []int{9, 90, 360} {
		t.Run(fmt.Sprintf("%d hosts", hosts), func(t *testing.T) {
			const domains = 4
			fleet, followers := newDirectories(t, hosts, domains), map[string]int{}
			for _, d := range fleet {
				if p, ok := d.Parent(now); ok {
					followers[p.Name]++
				}
			}
			for host, n := range followers {
				limit := fanOut
				if _, hasParent := fleet[host].Parent(now); !hasParent {
					limit += headsPerReader(domains)
				}
				require.LessOrEqual(t, n, limit, host)
			}
		})
	}
}

// All load reports of a region arrive at one host.
func TestLoadReportsReachOneRoot(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newDirectories(t, 61, 4)
	roots := map[string]bool{}
	for name := range fleet {
		n := 0
		for p, ok := fleet[name].ExchangeParent(now); ok; p, ok = fleet[name].ExchangeParent(now) {
			name = p.Name
			n++
			require.Less(t, n, 61)
		}
		roots[name] = true
	}
	require.Len(t, roots, 1)
}

// Regions may be disconnected from each other, so no host follows a host of another region.
func TestRegionsAreIndependent(t *testing.T) {
	now := time.Unix(1000, 0)
	remote := map[string][]byte{}
	for i := range 9 {
		name := fmt.Sprintf("far-%d", i)
		remote[name] = []byte(fmt.Sprintf(`{"address":%q,"failure-domain":"domain-%d","region":"far","secret":"s","strength":999}`, name, i%2))
	}
	for _, d := range newDirectories(t, 9, 2) {
		d.Update(remote, false, logOffset(3))
		if p, ok := d.Parent(now); ok {
			require.Empty(t, p.Region)
		}
	}
}

// When a parent does not answer, its followers follow another host, and return when the backoff is
// over.
func TestSuspectedParentIsSkipped(t *testing.T) {
	now := time.Unix(1000, 0)
	fleet := newDirectories(t, 90, 4)
	for name, d := range fleet {
		parent, ok := d.Parent(now)
		if !ok {
			continue
		}
		d.Suspect(now, parent.Name, false)
		other, ok := d.Parent(now)
		require.NotEqual(t, parent.Name, other.Name, name)
		require.True(t, ok || d.contains(d.readers(now), d.self))
		again, _ := d.Parent(now.Add(minSuspectBackoff))
		require.Equal(t, parent.Name, again.Name)
	}
}

// A host that reaches no other host, for instance because its network is down, reads the store
// itself.
func TestLastHostReadsStore(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, d := range newDirectories(t, 90, 4) {
		for name := range d.All() {
			if name != d.self.Name {
				d.Suspect(now, name, false)
			}
		}
		_, ok := d.Parent(now)
		require.False(t, ok)
	}
}

func BenchmarkParent(b *testing.B) {
	for _, n := range []int{9, 90, 360} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			registrations := map[string][]byte{}
			for i := range n {
				registrations[fmt.Sprintf("entry-%d", i)] = []byte(fmt.Sprintf(`{"address":"a","failure-domain":"%d","secret":"s"}`, i%4))
			}
			d := NewDirectory(Peer{Name: "entry-0", Registration: Registration{Address: "a", FailureDomain: "0", Secret: "s"}})
			d.Update(registrations, true, logOffset(4))
			now := time.Unix(1000, 0)
			for b.Loop() {
				d.Parent(now)
			}
		})
	}
}

// A reader that the store rejects follows the other reader for a while, so that the hosts below it
// are still updated.
func TestRejectedReaderFollowsOtherReader(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, d := range newDirectories(t, 90, 4) {
		if _, hasParent := d.Parent(now); hasParent {
			continue
		}
		d.MarkRejected(now)
		other, hasParent := d.Parent(now)
		require.True(t, hasParent, name)
		require.True(t, d.contains(d.readers(now), other))
		require.NotEqual(t, name, other.Name)
		_, hasParent = d.Parent(now.Add(maxStaleBackoff))
		require.False(t, hasParent)
	}
}
