package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	baseTime = time.Unix(1_800_000_000, 0)
	group    = []string{"engine-1", "engine-2", "engine-3", "engine-4"}
)

func observeFailures(d *OutlierDetector, now time.Time, name string, times int) {
	for range times {
		d.Observe(now, name, ConnectionFailed)
	}
}

// Two lost connections do not avoid a host; three in a row do, for a second.
func TestThreeFailuresAvoidHost(t *testing.T) {
	d := NewOutlierDetector()
	observeFailures(d, baseTime, "engine-1", avoidThreshold-1)
	require.Empty(t, d.Avoided(baseTime, group))
	observeFailures(d, baseTime, "engine-1", 1)
	require.Equal(t, map[string]bool{"engine-1": true}, d.Avoided(baseTime, group))
	require.Empty(t, d.Avoided(baseTime.Add(minAvoidance), group))
}

// A flapping engine fails again after each return. The avoidance doubles each time up to
// the maximum, so that its chats do not keep moving back and forth.
func TestFlappingHostIsAvoidedLonger(t *testing.T) {
	d := NewOutlierDetector()
	observeFailures(d, baseTime, "engine-1", avoidThreshold)
	now := baseTime
	for _, want := range []time.Duration{2, 4, 8, 16, 30, 30} {
		now = now.Add(time.Minute)
		d.Observe(now, "engine-1", Succeeded)
		require.True(t, d.Observe(now, "engine-1", ConnectionFailed))
		require.NotEmpty(t, d.Avoided(now.Add(want*time.Second-1), group))
		require.Empty(t, d.Avoided(now.Add(want*time.Second), group))
	}
}

// This host's own network fails and every engine seems down. None is avoided, or no
// upstream would be left.
func TestOwnNetworkFault(t *testing.T) {
	d := NewOutlierDetector()
	for _, name := range group {
		observeFailures(d, baseTime, name, avoidThreshold)
	}
	require.Empty(t, d.Avoided(baseTime, group))
}

// Most engines stop answering at once while the rest still answer. All of the lost ones
// must be avoided, not just a third, or requests sent to them meanwhile would be lost.
func TestMostEnginesLost(t *testing.T) {
	d := NewOutlierDetector()
	for _, name := range group[:3] {
		d.Observe(baseTime, name, Succeeded)
		observeFailures(d, baseTime, name, avoidThreshold)
	}
	require.Empty(t, d.Avoided(baseTime, group), "without a success elsewhere, the fault may be this host's own network")
	d.Observe(baseTime, "engine-4", Succeeded)
	require.Equal(t, map[string]bool{"engine-1": true, "engine-2": true, "engine-3": true}, d.Avoided(baseTime, group))
	require.Empty(t, d.Avoided(baseTime.Add(successWindow), group))
}

// Half of the engines send error responses. They are up, and avoiding more than a third
// of the group would put their load on the rest.
func TestErrorResponsesAvoidAtMostAThird(t *testing.T) {
	d := NewOutlierDetector()
	for _, name := range group[:2] {
		for range 5 {
			d.Observe(baseTime, name, Failed)
		}
	}
	d.Observe(baseTime, "engine-4", Succeeded)
	require.Empty(t, d.Avoided(baseTime, group))
}

func TestSuccessesResetScore(t *testing.T) {
	d := NewOutlierDetector()
	observeFailures(d, baseTime, "engine-1", avoidThreshold)
	for range successesToReset {
		d.Observe(baseTime, "engine-1", Succeeded)
	}
	observeFailures(d, baseTime, "engine-1", avoidThreshold-1)
	require.Empty(t, d.Avoided(baseTime, group))
}

// An engine stops answering. Hosts with little traffic would each need three failures;
// with peers' scores, one of their own is enough. A host that had recent successes or no
// failure at all must not avoid the engine because of peer scores.
func TestPeerScoresLowerThreshold(t *testing.T) {
	for name, test := range map[string]struct {
		peerScore           float64
		successes, failures int
		avoided             bool
	}{
		"no peer scores":                 {0, 0, 1, false},
		"high peer scores":               {5, 0, 1, true},
		"one peer's score":               {2.5, 0, 1, false},
		"failures at peers only":         {100, 0, 0, false},
		"successes outweigh peer scores": {100, 10, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewOutlierDetector()
			d.Observe(baseTime, "engine-1", Failed)
			for range 6 {
				d.Observe(baseTime, "engine-1", Succeeded)
			}
			for range test.successes {
				d.Observe(baseTime, "engine-1", Succeeded)
			}
			if test.successes == 0 {
				d = NewOutlierDetector()
			}
			d.SetPeerScores(map[string]float64{"engine-1": test.peerScore})
			observeFailures(d, baseTime, "engine-1", test.failures)
			require.Equal(t, test.avoided, len(d.Avoided(baseTime, group)) > 0)
		})
	}
}

func TestScoresReportRecentFailures(t *testing.T) {
	d := NewOutlierDetector()
	observeFailures(d, baseTime, "engine-1", 2)
	d.Observe(baseTime, "engine-2", Failed)
	require.Equal(t, map[string]float64{"engine-1": 2}, d.Scores(baseTime))
	require.Empty(t, d.Scores(baseTime.Add(reportWindow)))
}

// An engine fails some of its requests, so that three failures in a row are rare. It is
// avoided nevertheless, while the small share of requests that fail on any engine must
// not make an engine avoided.
func TestPartlyFailingIsAvoided(t *testing.T) {
	for name, test := range map[string]struct {
		result Result
		// failuresInTen says how many of ten requests fail.
		failuresInTen int
		avoided       bool
	}{
		"six in ten connections break":  {ConnectionFailed, 6, true},
		"six in ten responses fail":     {Failed, 6, true},
		"four in ten connections break": {ConnectionFailed, 4, true},
		"one in ten responses fails":    {Failed, 1, false},
		"two in ten responses fail":     {Failed, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, avoided := NewOutlierDetector(), 0
			for i := range 1000 {
				// Seven and ten are coprime, so failures are spread evenly.
				result := Succeeded
				if i*7%10 < test.failuresInTen {
					result = test.result
				}
				now := baseTime.Add(time.Duration(i) * 200 * time.Millisecond)
				d.Observe(now, "engine-1", result)
				avoided += len(d.Avoided(now, group))
			}
			require.Equal(t, test.avoided, avoided > 0, "%d", avoided)
		})
	}
}

// A sound host that is silent for a second at times must not be avoided longer each time: one silence
// is one failure, however many requests waited for it.
func TestSilenceCountsOnce(t *testing.T) {
	d, now := NewOutlierDetector(), baseTime
	for range 8 {
		for range 10 {
			d.Observe(now, "engine-1", TimedOut)
		}
		d.Observe(now, "engine-2", Succeeded)
		require.NotEmpty(t, d.Avoided(now, group), "it is avoided while it is silent")
		now = now.Add(minAvoidance)
		require.Empty(t, d.Avoided(now, group))
		for range 6 {
			now = now.Add(100 * time.Millisecond)
			d.Observe(now, "engine-1", Succeeded)
		}
		now = now.Add(5 * time.Second)
	}
}

// A host that hangs with part of the requests must still be avoided longer each time.
func TestHangingRequestsAreNoSilence(t *testing.T) {
	d, now := NewOutlierDetector(), baseTime
	avoidances := 0
	for range 200 {
		now = now.Add(100 * time.Millisecond)
		d.Observe(now, "engine-2", Succeeded)
		if len(d.Avoided(now, group)) > 0 {
			continue
		}
		for _, result := range []Result{TimedOut, Succeeded, TimedOut, TimedOut, Succeeded} {
			if d.Observe(now, "engine-1", result) {
				avoidances++
			}
		}
	}
	require.Positive(t, avoidances)
	require.Less(t, avoidances, 9, "20 s of avoidances of 1 s each would be more")
}
