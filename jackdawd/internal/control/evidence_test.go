package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	noon  = time.Unix(1_800_000_000, 0)
	group = []string{"engine-1", "engine-2", "engine-3", "engine-4"}
)

func fail(e *Evidence, now time.Time, name string, times int) {
	for range times {
		e.Observe(now, name, Broken)
	}
}

// One lost connection is no evidence. Three in a row are, for a second.
func TestAvoidAfterThreeFailures(t *testing.T) {
	e := NewEvidence()
	fail(e, noon, "engine-1", scoreToAvoid-1)
	require.Empty(t, e.Avoid(noon, group))
	fail(e, noon, "engine-1", 1)
	require.Equal(t, map[string]bool{"engine-1": true}, e.Avoid(noon, group))
	require.Empty(t, e.Avoid(noon.Add(firstAvoidance), group))
}

// An engine flaps: it answers now and then, and fails again. Each failure after
// its return avoids it twice as long, so that its chats do not go to and fro.
func TestFlappingIsAvoidedLonger(t *testing.T) {
	e := NewEvidence()
	fail(e, noon, "engine-1", scoreToAvoid)
	now := noon
	for _, want := range []time.Duration{2, 4, 8, 16, 30, 30} {
		now = now.Add(time.Minute)
		e.Observe(now, "engine-1", Good)
		require.True(t, e.Observe(now, "engine-1", Broken))
		require.NotEmpty(t, e.Avoid(now.Add(want*time.Second-1), group))
		require.Empty(t, e.Avoid(now.Add(want*time.Second), group))
	}
}

// This host's own network fails: every engine seems down. None is avoided, or
// there would be nowhere left to send anything.
func TestOwnNetworkFault(t *testing.T) {
	e := NewEvidence()
	for _, name := range group {
		fail(e, noon, name, scoreToAvoid)
	}
	require.Empty(t, e.Avoid(noon, group))
}

// Most engines go dark at once while the rest answer. Requests that were sent to the
// dark ones meanwhile end with nothing, so that all of them are avoided, not a third.
func TestMostAreLost(t *testing.T) {
	e := NewEvidence()
	for _, name := range group[:3] {
		e.Observe(noon, name, Good)
		fail(e, noon, name, scoreToAvoid)
	}
	require.Empty(t, e.Avoid(noon, group), "without an answer it may be this host's own network")
	e.Observe(noon, "engine-4", Good)
	require.Equal(t, map[string]bool{"engine-1": true, "engine-2": true, "engine-3": true}, e.Avoid(noon, group))
	require.Empty(t, e.Avoid(noon.Add(answersFor), group))
}

// All engines answer that they fail part of what they get. They are up, and taking most
// of them out would put their load on the rest.
func TestFailingAnswersTakeOutAThirdAtMost(t *testing.T) {
	e := NewEvidence()
	for _, name := range group[:2] {
		for range 5 {
			e.Observe(noon, name, Failed)
		}
	}
	e.Observe(noon, "engine-4", Good)
	require.Empty(t, e.Avoid(noon, group))
}

func TestTrustReturns(t *testing.T) {
	e := NewEvidence()
	fail(e, noon, "engine-1", scoreToAvoid)
	for range successesToTrust {
		e.Observe(noon, "engine-1", Good)
	}
	fail(e, noon, "engine-1", scoreToAvoid-1)
	require.Empty(t, e.Avoid(noon, group))
}

// An engine goes dark. Hosts that each see little of the traffic would need three
// failures each; told of those of others, one of their own is enough. Whoever has had
// answers from the engine lately, or no failure at all, does not go by the others' word.
func TestOthersWordMakesFewerFailuresEnough(t *testing.T) {
	for name, test := range map[string]struct {
		told                float64
		successes, failures int
		avoided             bool
	}{
		"nobody tells":              {0, 0, 1, false},
		"others tell":               {5, 0, 1, true},
		"one other tells":           {2.5, 0, 1, false},
		"only others have failures": {100, 0, 0, false},
		"it answers here":           {100, 10, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := NewEvidence()
			e.Observe(noon, "engine-1", Failed)
			for range 6 {
				e.Observe(noon, "engine-1", Good)
			}
			for range test.successes {
				e.Observe(noon, "engine-1", Good)
			}
			if test.successes == 0 {
				e = NewEvidence()
			}
			e.Told(map[string]float64{"engine-1": test.told})
			fail(e, noon, "engine-1", test.failures)
			require.Equal(t, test.avoided, len(e.Avoid(noon, group)) > 0)
		})
	}
}

func TestFreshFailuresAreTold(t *testing.T) {
	e := NewEvidence()
	fail(e, noon, "engine-1", 2)
	e.Observe(noon, "engine-2", Failed)
	require.Equal(t, map[string]float64{"engine-1": 2}, e.Scores(noon))
	require.Empty(t, e.Scores(noon.Add(tellFor)))
}

// An engine fails part of its requests while it answers the others, so that three
// failures in a row are seldom. It is avoided all the same. Requests that fail wherever
// they run speak against nobody.
func TestPartlyFailingIsAvoided(t *testing.T) {
	for name, test := range map[string]struct {
		experience Experience
		// of says how many of ten requests fail.
		of      int
		avoided bool
	}{
		"six in ten break off": {Broken, 6, true},
		"six in ten fail":      {Failed, 6, true},
		"four in ten break":    {Broken, 4, true},
		"one in ten fails":     {Failed, 1, false},
		"two in ten fail":      {Failed, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			e, avoided := NewEvidence(), 0
			for i := range 1000 {
				// Seven and ten have no common factor, so that failures are spread.
				x := Good
				if i*7%10 < test.of {
					x = test.experience
				}
				now := noon.Add(time.Duration(i) * 200 * time.Millisecond)
				e.Observe(now, "engine-1", x)
				avoided += len(e.Avoid(now, group))
			}
			require.Equal(t, test.avoided, avoided > 0, "%d", avoided)
		})
	}
}
