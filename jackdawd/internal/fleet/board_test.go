package fleet

import (
	"testing"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// The answer of a write may come after a read that tells more: that the notice was removed, or that the store has come
// back from an older copy.
func TestLateAnswersOfWrites(t *testing.T) {
	stands := map[string][]byte{"07": []byte("notice")}
	for name, test := range map[string]struct {
		notices map[string][]byte
		whole   bool
		until   traffic.LogPosition
		removed bool
		stands  bool
	}{
		"nothing is read":               {nil, false, traffic.LogPosition{Era: 1, Offset: 4}, false, true},
		"the notice is read":            {stands, true, traffic.LogPosition{Era: 1, Offset: 9}, false, true},
		"its removal is read":           {map[string][]byte{"07": nil}, false, traffic.LogPosition{Era: 1, Offset: 9}, true, false},
		"all notices are read without":  {nil, true, traffic.LogPosition{Era: 1, Offset: 9}, true, false},
		"all were read before":          {nil, true, traffic.LogPosition{Era: 1, Offset: 4}, false, true},
		"the store is an older copy":    {nil, true, traffic.LogPosition{Era: 2, Offset: 9}, false, false},
		"another host wrote it, copied": {stands, true, traffic.LogPosition{Era: 2, Offset: 3}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := written{requests: map[string]traffic.LogPosition{}}
			w.read(test.notices, test.whole, test.until)
			require.Equal(t, test.removed, w.put("07", traffic.LogPosition{Era: 1, Offset: 5}))
			require.Equal(t, test.stands, w.has("07"))
		})
	}
}
