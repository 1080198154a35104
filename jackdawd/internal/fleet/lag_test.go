package fleet

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/standin/network"
)

// trouble is what happens to some hosts of a fleet while its configuration changes.
type trouble struct {
	// heads is how many hosts are struck, from the top of the tree on.
	heads int
	// strike strikes one host.
	strike func(f *hosts, name string)
}

// strikes are ways in which a host, or its way to the store, fails.
var strikes = map[string]func(f *hosts, name string){
	"rejected by the store":    func(f *hosts, name string) { f.mark(&f.store.turnedAway, name) },
	"unanswered by the store":  func(f *hosts, name string) { f.mark(&f.store.unanswered, name) },
	"without a configuration":  func(f *hosts, name string) { f.mark(&f.store.mute, name) },
	"frozen":                   func(f *hosts, name string) { f.silence(name, network.Frozen) },
	"cut off":                  func(f *hosts, name string) { f.silence(name, network.Cut) },
	"killed":                   func(f *hosts, name string) { f.kill(name) },
	"frozen, others cut off":   func(f *hosts, name string) { f.silence(name, f.alternately()) },
	"cut off, others rejected": func(f *hosts, name string) { f.cutOrReject(name) },
}

// mark adds a host to a set of those that the store treats in some way.
func (f *hosts) mark(set *map[string]bool, name string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.struck[name] = true
	marked := map[string]bool{name: true}
	maps.Copy(marked, *set)
	*set = marked
}

// silence makes a host silent, to other hosts and to the store.
func (f *hosts) silence(name string, how network.Silence) {
	f.mark(&f.store.unanswered, name)
	f.net.Silence(f.running[name].address, how)
}

func (f *hosts) alternately() network.Silence {
	if len(f.struck)%2 == 0 {
		return network.Frozen
	}
	return network.Cut
}

func (f *hosts) cutOrReject(name string) {
	if len(f.struck)%2 == 0 {
		f.silence(name, network.Cut)
		return
	}
	f.mark(&f.store.turnedAway, name)
}

// lag returns for how long the host that is furthest behind, of those that were not struck, has gone on with an older
// configuration than was acknowledged.
func (f *hosts) lag() (longest time.Duration, host string) {
	f.store.mu.Lock()
	acknowledged := slices.Clone(f.store.acknowledged)
	f.store.mu.Unlock()
	for name, p := range f.running {
		has := int(p.keeper.Snapshot().Configuration().Version()) - firstVersion
		if f.struck[name] || has >= len(acknowledged) {
			continue
		}
		if lag := time.Since(acknowledged[has]); lag > longest {
			longest, host = lag, name
		}
	}
	return longest, host
}

// Hosts that run and reach the store go by an old configuration for too long, as hosts above them fail.
func TestConfigurationIsInForceInTime(t *testing.T) {
	for of, fleet := range map[string]struct {
		size    int
		inForce time.Duration
		// heads is how many hosts are struck.
		heads map[string]int
	}{
		"eight hosts":       {8, 2 * time.Second, map[string]int{"the readers": 2, "three heads": 3}},
		"thirty hosts":      {30, 2 * time.Second, map[string]int{"the readers": 2, "three heads": 3, "a third": 10}},
		"ninety hosts":      {90, 3 * time.Second, map[string]int{"three heads": 3, "a third": 30}},
		"two hundred hosts": {200, 4 * time.Second, map[string]int{"a third": 66}},
	} {
		for struck, heads := range fleet.heads {
			for way, strike := range strikes {
				t.Run(of+"/"+struck+" "+way, func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) {
						f := newHosts(t)
						defer f.end()
						f.size, f.inForce, f.drain = fleet.size, fleet.inForce, fleet.inForce
						f.startAll(true)
						f.untilAllKnow()
						time.Sleep(5 * time.Second)
						longest, host := f.longestLag(trouble{heads, strike})
						require.Less(t, longest, fleet.inForce, host)
					})
				})
			}
		}
	}
}

// Hosts go by an old configuration because they found the store away a moment before.
func TestConfigurationIsInForceInTimeAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHosts(t)
		defer f.end()
		f.size, f.inForce, f.drain = 90, 3*time.Second, 3*time.Second
		f.startAll(true)
		f.untilAllKnow()
		time.Sleep(5 * time.Second)
		f.store.setAway(true)
		time.Sleep(3 * time.Second)
		f.store.setAway(false)
		time.Sleep(2 * time.Second)
		longest, host := f.longestLag(trouble{30, strikes["rejected by the store"]})
		require.Less(t, longest, f.inForce, host)
	})
}

// longestLag lets hosts fail while the configuration changes, and returns the longest lag of all others.
func (f *hosts) longestLag(t trouble) (longest time.Duration, host string) {
	const (
		change = 50 * time.Millisecond
		storm  = 14
		watch  = 6 * time.Second
	)
	names := f.byRank()
	for i := range watch / change {
		if i == storm/2 {
			for _, name := range names[:t.heads] {
				t.strike(f, name)
			}
		}
		if i < storm || i%storm == 0 {
			f.store.write()
		}
		time.Sleep(change)
		if lag, name := f.lag(); lag > longest {
			longest, host = lag, name
		}
	}
	return longest, host
}
