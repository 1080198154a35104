package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/platform/standin"
)

// leavesWithin is how long after it has said so an upstream may still be sent work.
const leavesWithin = 2 * time.Second

// An engine began to leave while the store was away. Its answers said so, but what it wrote of itself was
// accepted twelve seconds later only, and until then its entry said that it was ready. Hosts knew
// nothing but the entry and sent it new requests all the while, 12.2 s after its answer had gone through them ("relay:
// Placed. avoided=0 candidates=18", and only later "membership: An upstream's entry changed. state=leaving").
func TestUpstreamThatSaysThatItLeavesGetsNoWork(t *testing.T) {
	tests := map[string]struct {
		runners []string
		send    func(f *fixture, id string) *http.Request
	}{
		"engine":  {[]string{"reader-1", "reader-2"}, func(f *fixture, id string) *http.Request { return f.stream("/digest/x", id, 2) }},
		"service": {[]string{"mailbox-1", "mailbox-2"}, func(f *fixture, id string) *http.Request { return f.request(http.MethodPost, "/notice/x", id, id) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			run(t, test.runners, func(t *testing.T, f *fixture) {
				leaving := f.runners[test.runners[0]]
				leaving.SetLeaving(true)
				for n := range 100 {
					require.Equal(t, http.StatusOK, f.do(test.send(f, fmt.Sprintf("r%d", n))).status)
					time.Sleep(100 * time.Millisecond)
				}
				runs := leaving.Runs()
				require.NotEmpty(t, runs)
				for _, r := range runs {
					require.LessOrEqual(t, r.At.Sub(runs[0].At), leavesWithin)
				}
			})
		})
	}
}

// wantsNothing turns requests away and says for how long the upstream wants none.
func wantsNothing(seconds string) func(u *standin.Runner) standin.Behavior {
	return func(u *standin.Runner) standin.Behavior {
		return func(w http.ResponseWriter, r *http.Request, body []byte) bool {
			u.Note(r, body)
			w.Header().Set("Retry-After", seconds)
			standin.Shed(w)
			return true
		}
	}
}

// mostDuringPause is how many requests an upstream may get from one host once it has said that it wants none, and
// pauseFrom from when on that counts.
const (
	mostDuringPause = 2
	pauseFrom       = 500 * time.Millisecond
)

// An upstream turned a request away and said that it wants nothing for twenty seconds. To the host that was one failure
// like others: it went on sending requests there, which were all turned away and had to go elsewhere, late
// and at the cost of a retry each.
func TestUpstreamIsLeftAloneForAsLongAsItAsks(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		busy := f.runners["mailbox-1"]
		busy.SetBehavior(wantsNothing("20")(busy))
		for n := range 190 {
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("r%d", n), ""))
			time.Sleep(100 * time.Millisecond)
		}
		turnedAway := busy.Runs()
		require.NotEmpty(t, turnedAway)
		late := 0
		for _, r := range turnedAway {
			if r.At.Sub(turnedAway[0].At) > pauseFrom {
				late++
			}
		}
		require.LessOrEqual(t, late, mostDuringPause)
		busy.SetBehavior(nil)
		time.Sleep(12 * time.Second)
		for n := range 20 {
			require.Equal(t, http.StatusOK, f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("s%d", n), "")).status)
		}
		require.Greater(t, len(busy.Runs()), len(turnedAway), "it is back in use")
	})
}

// An upstream that asks for short pauses again and again does what it should. It is not avoided for that, and
// gets work as soon as it wants some.
func TestAskingForPausesIsNoFailure(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		busy := f.runners["mailbox-1"]
		busy.SetBehavior(wantsNothing("0.1")(busy))
		for n := range 300 {
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("r%d", n), ""))
			time.Sleep(50 * time.Millisecond)
			require.False(t, f.handler.Members.Snapshot().Avoided("mailbox-1"))
		}
		require.Greater(t, len(busy.Runs()), 5)
	})
}

// All upstreams of a pool want nothing for some seconds. Callers hear so at once and when to come back, and
// no request is tried.
func TestPoolThatWantsNothingIsSaidAtOnce(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		f.all(wantsNothing("4.5"))
		for n := range 4 {
			f.do(f.request(http.MethodGet, fmt.Sprintf("/scan/%d", n), fmt.Sprintf("r%d", n), ""))
		}
		time.Sleep(pauseFrom)
		begin := time.Now()
		got := f.do(f.request(http.MethodPost, "/notice/x", "late", "body"))
		require.Equal(t, http.StatusServiceUnavailable, got.status)
		require.Zero(t, time.Since(begin))
		require.Zero(t, f.runs("late"))
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.GreaterOrEqual(t, seconds, 3.9)
		require.Less(t, seconds, 6.8)
	})
}

// Another upstream has the address of the one that is meant, and it leaves. Its word says nothing of the one that was
// meant, which comes back there and gets work again.
func TestStrangersWordIsItsOwn(t *testing.T) {
	run(t, []string{"mailbox-1", "mailbox-2"}, func(t *testing.T, f *fixture) {
		address := f.feed.upstreams[0].Address
		stranger := standin.NewRunner("stranger", 8)
		stranger.SetLeaving(true)
		f.net.Kill(address)
		f.net.Serve(address, stranger)
		for n := range 10 {
			f.do(f.request(http.MethodPost, "/notice/x", fmt.Sprintf("r%d", n), "body"))
		}
		require.Empty(t, f.runners["mailbox-1"].Runs())
		f.net.Kill(address)
		f.net.Serve(address, f.runners["mailbox-1"])
		f.feed.mu.Lock()
		f.feed.upstreams[0].Sequence++
		f.feed.mu.Unlock()
		time.Sleep(2 * time.Second)
		for n := range 10 {
			f.do(f.request(http.MethodPost, "/notice/x", fmt.Sprintf("s%d", n), "body"))
		}
		require.NotEmpty(t, f.runners["mailbox-1"].Runs())
	})
}
