package fleet

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/quarantine"
)

// partCrashes are engines that crash one after the other under requests of one part of the prompt, each
// of which arrives at another host.
type partCrashes struct {
	fleet *testFleet
	// interval is the time between two crashes.
	interval time.Duration
	crashed  int
}

// testWorkspace sends all requests of these tests.
const testWorkspace = "workspace-1"

// subjectsOf returns the subjects of a request whose prompt has the given parts in common with others.
func subjectsOf(id string, parts ...string) []quarantine.Subject {
	content := quarantine.Content{Workspace: testWorkspace, Target: "/" + id}
	return append([]quarantine.Subject{quarantine.RequestSubject(content)}, quarantine.PartSubjects(testWorkspace, parts)...)
}

// next makes the next host see a crash under a request with the part, and makes other hosts see that
// their requests with the same first part broke off there.
func (c *partCrashes) next() {
	names := c.fleet.runningNames()
	n := c.crashed
	c.crashed++
	host := func(i int) *quarantine.Registry { return c.fleet.running[names[i%len(names)]].quarantine }
	crash := quarantine.CrashRecord{Start: uint32(n), Ran: 200 * time.Millisecond}
	host(7*n).RecordCrash(time.Now(), subjectsOf(fmt.Sprintf("crashing-%d", n), "popular", "bad"), crash)
	for i := range 5 {
		id := fmt.Sprintf("bystander-%d-%d", n, i)
		host(7*n+3*i+1).RecordCrash(time.Now(), subjectsOf(id, "popular", fmt.Sprintf("rare-%d", 10*n+i)), crash)
	}
	time.Sleep(c.interval)
}

// answer makes a host see that an engine has responded to a request with the popular part.
func (c *partCrashes) answer(n int) {
	names := c.fleet.runningNames()
	c.fleet.running[names[(11*n)%len(names)]].quarantine.RecordResponse(time.Now(), subjectsOf(fmt.Sprintf("sound-%d", n), "popular", "frequent"))
}

// countRefusing returns how many hosts refuse requests with a part.
func (f *testFleet) countRefusing(parts ...string) int {
	n := 0
	for _, p := range f.running {
		if _, refused := p.quarantine.Find(time.Now(), subjectsOf("new", parts...)); refused {
			n++
		}
	}
	return n
}

// Guards against a part of prompts that crashes an engine at each host because no host counts the
// crashes that others saw, and against the quarantine of the popular part that was at all of these
// engines, while only hosts that saw none of the crashes get answers to requests with it.
func TestCrashesOfPartAtSeveralHostsAddUp(t *testing.T) {
	for name, test := range map[string]struct {
		size        int
		unavailable bool
	}{
		"nine hosts":                           {9, false},
		"ninety hosts":                         {90, false},
		"two hundred hosts":                    {195, false},
		"nine hosts, store unavailable":        {9, true},
		"two hundred hosts, store unavailable": {195, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				f.size = test.size
				f.startAll(true)
				f.waitUntilInitialized()
				time.Sleep(5 * time.Second)
				f.store.setUnavailable(test.unavailable)
				crashes := partCrashes{fleet: f, interval: 400 * time.Millisecond}
				for range 5 {
					crashes.next()
					crashes.answer(crashes.crashed)
				}
				since := time.Now()
				for n := 0; f.countRefusing("popular", "bad") < len(f.running); n++ {
					require.Less(t, time.Since(since), maxQuarantineDelay, "%d of %d hosts refuse the part", f.countRefusing("popular", "bad"), len(f.running))
					time.Sleep(10 * time.Millisecond)
				}
				t.Logf("all hosts refuse it %v after the fifth crash", time.Since(since)+crashes.interval)
				for n := range 30 {
					crashes.answer(n)
					time.Sleep(100 * time.Millisecond)
					require.Zero(t, f.countRefusing("popular", "frequent"), "the popular part")
				}
			})
		})
	}
}

// Guards against a part that crashes engines again after all hosts were killed or one was restarted.
func TestQuarantinedPartSurvivesRestarts(t *testing.T) {
	for name, all := range map[string]bool{"all hosts": true, "one host": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(t)
				defer f.stop()
				f.size = 9
				f.startAll(true)
				f.waitUntilInitialized()
				time.Sleep(5 * time.Second)
				crashes := partCrashes{fleet: f, interval: 400 * time.Millisecond}
				for range 5 {
					crashes.next()
					crashes.answer(crashes.crashed)
				}
				time.Sleep(maxQuarantineDelay)
				if all {
					f.killAll()
					time.Sleep(time.Second)
					f.startAll(false)
				} else {
					f.kill("entry-3")
					f.start(3, false)
				}
				f.waitUntilInitialized()
				time.Sleep(maxStartupDelay)
				require.Equal(t, len(f.running), f.countRefusing("popular", "bad"))
				require.Zero(t, f.countRefusing("popular", "frequent"))
			})
		})
	}
}

// Guards against a subject that was quarantined by mistake and is refused to the end, as no request with
// it can get an answer any more, and against probes that crash more than one engine.
func TestOneProbeForTheWholeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.size = 9
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		crashes := partCrashes{fleet: f, interval: 400 * time.Millisecond}
		for range 5 {
			crashes.next()
		}
		time.Sleep(maxQuarantineDelay)
		probed, at := f.askForProbes(t, 40*time.Second)
		require.Len(t, probed, 1, "hosts that were granted a probe")
		require.Greater(t, at, 20*time.Second)
		subjects := subjectsOf("probe", "popular", "bad")
		f.running[probed[0]].quarantine.RecordCrash(time.Now(), subjects, quarantine.CrashRecord{Start: 99, Ran: 200 * time.Millisecond})
		probed, _ = f.askForProbes(t, 3*time.Minute)
		require.Empty(t, probed, "the delay grows with each crash")
		probed, _ = f.askForProbes(t, 2*time.Minute)
		require.Len(t, probed, 1)
		f.running[probed[0]].quarantine.RecordResponse(time.Now(), subjects)
		time.Sleep(maxQuarantineDelay)
		require.Zero(t, f.countRefusing("popular", "bad"))
	})
}

// Guards against a sound request, answered until a moment ago, that is refused long after upstreams have
// crashed under it for another reason.
func TestAnsweredRequestIsProbedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t)
		defer f.stop()
		f.size = 9
		f.startAll(true)
		f.waitUntilInitialized()
		time.Sleep(5 * time.Second)
		subjects := subjectsOf("popular")
		for _, p := range f.running {
			p.quarantine.RecordResponse(time.Now(), subjects)
		}
		for n := range 3 {
			time.Sleep(700 * time.Millisecond)
			f.running[f.runningNames()[2*n]].quarantine.RecordCrash(time.Now(), subjects, quarantine.CrashRecord{Start: uint32(n), Ran: 100 * time.Millisecond})
		}
		time.Sleep(maxQuarantineDelay)
		probes := 0
		for _, name := range f.runningNames() {
			if f.running[name].source.AcquireProbe(subjects[0].Fingerprint) {
				probes++
			}
		}
		require.Equal(t, 1, probes)
	})
}

// askForProbes makes all hosts ask for probes of the part for a time, and returns those that were granted
// one and after how long the first was.
func (f *testFleet) askForProbes(t *testing.T, timeout time.Duration) (granted []string, first time.Duration) {
	t.Helper()
	subjects := subjectsOf("probe", "popular", "bad")
	for since := time.Now(); time.Since(since) < timeout; time.Sleep(500 * time.Millisecond) {
		for _, name := range slices.Sorted(maps.Keys(f.running)) {
			p := f.running[name]
			match, refused := p.quarantine.Find(time.Now(), subjects)
			require.True(t, refused)
			if !p.source.AcquireProbe(match.Subject.Fingerprint) {
				continue
			}
			if granted = append(granted, name); len(granted) == 1 {
				first = time.Since(since)
			}
		}
	}
	return granted, first
}
