package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/admission"
)

// Engines begin with the most urgent of what waits for them. While they are full, a class
// that has less than its least share goes first, and a workspace that sends many times its
// usual last, or its requests would begin before those of all others.
func TestUrgencyFollowsPrecedence(t *testing.T) {
	for name, test := range map[string]struct {
		precedence admission.Precedence
		workspace  int
		route      int
		want       int
	}{
		"usual":                         {admission.Usual, 0, 1, 1},
		"usual of a lesser workspace":   {admission.Usual, 1, 1, 4},
		"owed":                          {admission.Owed, 1, 2, 0},
		"surging":                       {admission.Surging, 0, 1, 6},
		"surging of a lesser workspace": {admission.Surging, 2, 2, lowestUrgency},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{precedence: test.precedence, workspace: traffic.Workspace{Urgency: test.workspace}, route: &traffic.Route{Urgency: test.route}}
			require.Equal(t, test.want, j.urgency())
		})
	}
}

func TestPatience(t *testing.T) {
	for name, test := range map[string]struct {
		engine     bool
		precedence admission.Precedence
		waited     time.Duration
		begun      bool
		want       time.Duration
	}{
		"an engine":                  {true, admission.Usual, 0, false, 200 * time.Millisecond},
		"a plain service":            {false, admission.Usual, 0, false, 600 * time.Millisecond},
		"a workspace that surges":    {true, admission.Surging, 0, false, 100 * time.Millisecond},
		"a caller that comes again":  {true, admission.Usual, 400 * time.Millisecond, false, 100 * time.Millisecond},
		"one that cannot be in time": {true, admission.Usual, 2 * time.Second, false, 50 * time.Millisecond},
		"the rest of an answer":      {true, admission.Surging, 2 * time.Second, true, longestTime},
	} {
		t.Run(name, func(t *testing.T) {
			j := &job{
				Handler: &Handler{Options: Options{Admission: admission.NewController()}}, pool: traffic.Pool{Engine: test.engine},
				route: &traffic.Route{Target: 800 * time.Millisecond}, precedence: test.precedence, waited: test.waited, begun: test.begun,
				arrived: time.Now(),
			}
			require.InDelta(t, test.want.Seconds(), j.patience().Seconds(), 0.01)
		})
	}
}
