package relay

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/platform/standin"
)

const (
	// crashingPart is the part of a prompt that crashes engines.
	crashingPart = "bad"
	// maxPartCrashes is how many engines may crash before hosts must recognize the part.
	maxPartCrashes = 5
)

// crashOnPart makes each engine crash when it begins to write a response on a prompt with a part, and
// restart after a while.
func (f *fixture) crashOnPart(part string) *crashes {
	return f.crashOn(func(r *http.Request) bool { return standin.HasPromptPart(r, part) })
}

// partRequest returns a request whose prompt has a part that other requests share.
func (f *fixture) partRequest(id, part string, events int) *http.Request {
	req, err := testCaller.Stream(f.t.Context(), "/digest/"+id, id, part, events)
	require.NoError(f.t, err)
	return req
}

// A soundRequest is when a sound request was sent, and whether it was served at the first attempt.
type soundRequest struct {
	sentAt time.Time
	served bool
}

// soundRequests sends sound requests beside others and keeps their results.
type soundRequests struct {
	mu      sync.Mutex
	results []soundRequest
	callers sync.WaitGroup
}

// send sends a request whose prompt has a part, without waiting for its response.
func (s *soundRequests) send(f *fixture, id, part string, events int) {
	s.callers.Go(func() {
		sentAt := time.Now()
		response := f.do(f.partRequest(id, part, events))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.results = append(s.results, soundRequest{sentAt, response.err == nil && response.status == http.StatusOK})
	})
}

// sentAfter returns the results of the requests that were sent after a time, and how many of them were
// served.
func (s *soundRequests) sentAfter(t time.Time) (later []soundRequest, served int) {
	later = slices.DeleteFunc(slices.Clone(s.results), func(r soundRequest) bool { return !r.sentAt.After(t) })
	for _, r := range later {
		if r.served {
			served++
		}
	}
	return later, served
}

// Guards against requests with one part in common, no two alike, that crash one engine after the
// other, and against sound requests that are refused because they share their caller or other parts.
func TestCrashingPromptPartIsQuarantined(t *testing.T) {
	runners := []string{"reader-1", "reader-2", "reader-3", "reader-4", "reader-5", "reader-6", "reader-7", "reader-8"}
	runFixture(t, runners, func(t *testing.T, f *fixture) {
		c := f.crashOnPart(crashingPart)
		var sound soundRequests
		for n := range 60 {
			sound.send(f, fmt.Sprintf("popular-%d", n), "popular", 60)
			sound.send(f, fmt.Sprintf("frequent-%d", n), fmt.Sprintf("frequent-%d", n%5), 20)
			sound.send(f, fmt.Sprintf("rare-%d", n), fmt.Sprintf("rare-%d", n%20), 4)
			f.do(f.partRequest(fmt.Sprintf("crashing-%d", n), crashingPart, 4))
			time.Sleep(400 * time.Millisecond)
		}
		sound.callers.Wait()
		c.requireFewRepeats(t)
		require.GreaterOrEqual(t, len(c.crashedAt), 3)
		settled := c.crashedAt[min(len(c.crashedAt), maxPartCrashes)-1].Add(2 * detectionTimeout)
		later, served := sound.sentAfter(settled)
		require.Equal(t, len(later), served, "sound requests")
		time.Sleep(2 * downtime)
	})
}

// requireFewRepeats fails if requests with the part still reached engines after hosts had to recognize
// it.
func (c *crashes) requireFewRepeats(t *testing.T) {
	t.Helper()
	if len(c.crashedAt) < maxPartCrashes {
		return
	}
	late := slices.DeleteFunc(slices.Clone(c.reachedAt), func(at time.Time) bool {
		return !at.After(c.crashedAt[maxPartCrashes-1].Add(detectionTimeout))
	})
	require.LessOrEqual(t, len(late), maxRepeats, "%d engines crashed", len(c.crashedAt))
}

// Guards against a part that is refused to the end although engines bear it again.
func TestProbeEndsQuarantineOfPart(t *testing.T) {
	runners := []string{"reader-1", "reader-2", "reader-3", "reader-4", "reader-5", "reader-6", "reader-7", "reader-8"}
	runFixture(t, runners, func(t *testing.T, f *fixture) {
		f.crashOnPart(crashingPart)
		for n := range 10 {
			f.do(f.partRequest(fmt.Sprintf("crashing-%d", n), crashingPart, 4))
			time.Sleep(400 * time.Millisecond)
		}
		refused := f.do(f.partRequest("refused", crashingPart, 4))
		require.Equal(t, http.StatusServiceUnavailable, refused.status)
		require.Contains(t, refused.body, "with part "+crashingPart)
		require.Zero(t, f.runCount("refused"))
		time.Sleep(2 * downtime)
		f.probes.left = 1
		require.Equal(t, http.StatusBadGateway, f.do(f.partRequest("probe", crashingPart, 4)).status)
		require.Equal(t, 1, f.runCount("probe"), "a probe is not retried")
		time.Sleep(2 * downtime)
		f.setBehaviors(func(*standin.Runner) standin.Behavior { return nil })
		f.probes.left = 1
		require.Equal(t, http.StatusOK, f.do(f.partRequest("probe-2", crashingPart, 4)).status)
		require.Equal(t, http.StatusOK, f.do(f.partRequest("after", crashingPart, 4)).status)
	})
}

// Guards against a request that reaches an engine because it was waiting for a connection when its part
// was quarantined.
func TestWaitingRequestIsQuarantined(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2", "reader-3"}, func(t *testing.T, f *fixture) {
		for _, runner := range f.runners {
			runner.SetBrittle(1)
		}
		f.do(f.partRequest("first", "frequent", 4))
		waiting := f.partRequest("waiting", crashingPart, 4)
		f.leases.free, f.leases.wait = 10, 2*time.Second
		done := make(chan callerResponse)
		go func() { done <- f.do(waiting) }()
		time.Sleep(time.Second)
		subjects := quarantine.PartSubjects("mailroom", []string{crashingPart})
		for n := range uint32(4) {
			f.handler.Quarantine.RecordCrash(time.Now(), subjects, quarantine.CrashRecord{Start: n, Age: time.Duration(n) * time.Second, Ran: time.Second})
		}
		require.Equal(t, http.StatusServiceUnavailable, (<-done).status)
		require.Zero(t, f.runCount("waiting"))
	})
}

// Guards against a sound part that is refused because only streams in progress show that engines bear it.
func TestLastingStreamClearsItsParts(t *testing.T) {
	runFixture(t, []string{"reader-1", "reader-2"}, func(t *testing.T, f *fixture) {
		subjects := quarantine.PartSubjects("mailroom", []string{"sound"})
		crash := func(n uint32) {
			f.handler.Quarantine.RecordCrash(time.Now(), subjects, quarantine.CrashRecord{Start: n, Ran: 100 * time.Millisecond})
			time.Sleep(300 * time.Millisecond)
		}
		for n := range uint32(3) {
			crash(n)
		}
		var streams soundRequests
		streams.send(f, "lasting", "sound", 200)
		time.Sleep(700 * time.Millisecond)
		crash(3)
		time.Sleep(time.Second)
		require.Equal(t, http.StatusOK, f.do(f.partRequest("after", "sound", 4)).status)
		streams.callers.Wait()
	})
}
