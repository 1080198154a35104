package verdict

import (
	"errors"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a check that passes while hosts end requests that they have accepted, or that blames them for what
// their upstreams ended.
func TestAcceptedRequestsAreAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		mutate func(r *Record, e *Exchange)
		want   int
	}{
		"stream given up":             {func(*Record, *Exchange) {}, 1},
		"connection without a status": {func(_ *Record, e *Exchange) { e.Status, e.Route = 0, Notice }, 1},
		"new connection":              {func(_ *Record, e *Exchange) { e.ID, e.Status, e.NewConnection = "unread", 0, true }, 1},
		"upstream silent":             {func(r *Record, _ *Exchange) { r.AddUpstreamFault(at(1), at(3), "u1", Silences) }, 1},
		"upstream slow, repeatable":   {func(r *Record, _ *Exchange) { r.AddUpstreamFault(at(1), at(3), "u1", Delays) }, 1},
		"other upstream crashed":      {func(r *Record, _ *Exchange) { r.AddUpstreamFault(at(1), at(3), "u2", Breaks) }, 1},
		"upstream crashed before":     {func(r *Record, _ *Exchange) { r.AddUpstreamFault(at(1), at(1.9), "u1", Breaks) }, 1},
		"other host was killed":       {func(r *Record, _ *Exchange) { r.AddHostFault(1, at(1), at(2)) }, 1},
		"host was killed long before": {func(r *Record, _ *Exchange) { r.AddHostFault(0, at(-5), at(-2.1)) }, 1},
		"upstream crashed":            {func(r *Record, _ *Exchange) { r.AddUpstreamFault(at(1), at(3), "u1", Breaks) }, 0},
		"upstream slow, at most once": {func(r *Record, e *Exchange) {
			e.Route = Sort
			r.AddUpstreamFault(at(1), at(3), "u1", Delays)
		}, 0},
		"upstream silent, at most once": {func(r *Record, e *Exchange) {
			e.Route = Sort
			r.AddUpstreamFault(at(1), at(3), "u1", Silences)
		}, 1},
		"host was killed":     {func(r *Record, _ *Exchange) { r.AddHostFault(0, at(-2), at(-1.9)) }, 0},
		"time was over":       {func(_ *Record, e *Exchange) { e.Ended = at(5) }, 0},
		"had not arrived":     {func(_ *Record, e *Exchange) { e.Written = Exchange{}.Written }, 0},
		"ended with an error": {func(_ *Record, e *Exchange) { e.Complete, e.Status = true, http.StatusBadGateway }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := validRecord()
			e := &r.Exchanges[1]
			e.Route, e.Complete, e.Written, e.Ended, e.Error = Digest, false, at(2.001), at(2.9), errors.New("unexpected EOF")
			test.mutate(r, e)
			require.Len(t, checkAccepted(r), test.want)
		})
	}
}
