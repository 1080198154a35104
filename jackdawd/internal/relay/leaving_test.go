package relay

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leavesWithin is how long after it has said so an upstream may still be sent work.
const leavesWithin = 2 * time.Second

// An engine began to leave while the store was away. Its answers said so, but what it wrote of itself was
// accepted twelve seconds later only, and until then its entry said that it was ready. Hosts knew
// nothing but the entry and sent it new requests all the while, 12.2 s after its answer had gone through them ("relay:
// Placed. avoided=0 candidates=18", and only later "membership: An upstream's entry changed. state=leaving").
// Callers whose streams it could not end any more saw them break off.
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
