package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

const (
	// historySteps is the number of random events in one history, historyHosts the number of hosts.
	historySteps = 40
	historyHosts = 12
	// evacuableDomains is how many failure domains are evacuated at times.
	evacuableDomains = 3
	// rewriteTime is how long operators take to write again what a restored backup lacks.
	rewriteTime = 2 * time.Second
	// convergenceTime is how long hosts take to agree with the store after the last event: a reader
	// may only then read the registration of a host that has just started.
	convergenceTime = directoryInterval + directoryJitter + 4*time.Second
)

// history is a random sequence of writes, store restores, kills and starts of hosts.
type history struct {
	*testFleet
	random *rand.Rand
	// lastSeen is the last observed state of each process.
	lastSeen map[*process]processState
	// versionsToRewrite is how many versions of the configuration operators have to write again.
	versionsToRewrite int
	// evacuated are the failure domains that operators have evacuated.
	evacuated map[string]bool
}

// processState is the state of one process at some time.
type processState struct {
	version  int64
	position traffic.LogPosition
}

// step applies one random event.
func (h *history) step() {
	names := h.runningNames()
	if h.random.IntN(4) == 0 {
		domain := fmt.Sprint("domain-", h.random.IntN(evacuableDomains))
		h.evacuated[domain] = !h.evacuated[domain]
		h.store.setEvacuated(domain, h.evacuated[domain])
	}
	switch n := h.random.IntN(10); {
	case n < 3 && h.versionsToRewrite == 0:
		h.store.publishVersion()
	case n < 6:
		h.versionsToRewrite += h.store.dropVersions(h.random.IntN(3))
		written := h.store.registrationCount()
		h.store.restore(written - h.random.IntN(min(written, 4)))
	case n < 8 && len(names) > historyHosts/2:
		h.kill(names[h.random.IntN(len(names))])
	default:
		for n := range historyHosts {
			if _, runs := h.running[fmt.Sprint("entry-", n)]; !runs {
				h.start(n, false)
				break
			}
		}
	}
}

// advance lets time pass, in which operators write again what the store lacks.
func (h *history) advance(d time.Duration) {
	const interval = 10 * time.Millisecond
	for range d / interval {
		time.Sleep(interval)
		h.checkMonotonic()
	}
	for ; h.versionsToRewrite > 0 && d >= rewriteTime; h.versionsToRewrite-- {
		h.store.publishVersion()
	}
}

// checkMonotonic checks that the state of no process has gone back.
func (h *history) checkMonotonic() {
	for name, p := range h.running {
		current := processState{position: p.source.directory.Position()}
		if c := p.tracker.Snapshot().Configuration(); c != nil {
			current.version = c.Version()
		}
		previous := h.lastSeen[p]
		require.GreaterOrEqual(h.t, current.version, previous.version, name)
		require.False(h.t, current.position.Before(previous.position), "%s: %v after %v", name, current.position, previous.position)
		h.lastSeen[p] = current
	}
}

// checkAgreement checks that all hosts have the state of the store.
func (h *history) checkAgreement() {
	version, _ := h.store.newestVersion()
	names := h.runningNames()
	for _, name := range names {
		p := h.running[name]
		require.EqualValues(h.t, version, p.tracker.Snapshot().Configuration().Version(), name)
		require.EqualValues(h.t, h.store.era, p.source.StoreEra(), name)
		for n := range evacuableDomains {
			domain := fmt.Sprint("domain-", n)
			require.Equal(h.t, h.evacuated[domain], p.tracker.Snapshot().IsEvacuated(domain), "%s of %s", domain, name)
		}
		for _, other := range names {
			require.Contains(h.t, p.source.directory.All(), other, name)
		}
	}
	require.Subset(h.t, h.registered(), names)
}

// Guards against hosts that go back to an older configuration or host list, or never agree again,
// after store restores in any order with writes, evacuations, kills and starts.
func TestStateNeverRegressesInRandomHistories(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &history{testFleet: newTestFleet(t), random: rand.New(rand.NewPCG(seed, 1)), lastSeen: map[*process]processState{}, evacuated: map[string]bool{}}
				defer h.stop()
				h.size = historyHosts
				h.startAll(true)
				h.waitUntilInitialized()
				for range historySteps {
					h.step()
					pauses := []time.Duration{0, 50 * time.Millisecond, time.Second, rewriteTime}
					h.advance(pauses[h.random.IntN(len(pauses))])
				}
				h.advance(rewriteTime)
				h.advance(convergenceTime)
				h.checkAgreement()
			})
		})
	}
}
