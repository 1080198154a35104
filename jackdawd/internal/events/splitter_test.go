package events

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSplitterReturnsWholeEvents(t *testing.T) {
	tests := map[string]struct {
		pieces  []string
		whole   []string
		lastID  string
		events  int
		pending int
	}{
		"one":             {[]string{"id: 1\ndata: x\n\n"}, []string{"id: 1\ndata: x\n\n"}, "1", 1, 0},
		"cut":             {[]string{"id: 1\nda", "ta: x\n\nid: 2"}, []string{"", "id: 1\ndata: x\n\n"}, "1", 1, 5},
		"two at once":     {[]string{"id: 1\n\nid: 2\n\n"}, []string{"id: 1\n\nid: 2\n\n"}, "2", 2, 0},
		"carriage return": {[]string{"id: 1\r\ndata: x\r\n\r\n"}, []string{"id: 1\r\ndata: x\r\n\r\n"}, "1", 1, 0},
		"cut at the end":  {[]string{"id: 1\n", "\n"}, []string{"", "id: 1\n\n"}, "1", 1, 0},
		"no identifier":   {[]string{"data: x\n\n"}, []string{"data: x\n\n"}, "", 1, 0},
		"no space":        {[]string{"id:7\n\n"}, []string{"id:7\n\n"}, "7", 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Splitter
			for i, p := range test.pieces {
				require.Equal(t, test.whole[i], string(s.Add([]byte(p))))
			}
			require.Equal(t, test.lastID, s.LastID())
			require.Equal(t, test.events, s.Events())
			require.Equal(t, test.pending, s.Pending())
		})
	}
}

func TestDropForgetsTheUnfinishedEvent(t *testing.T) {
	var s Splitter
	s.Add([]byte("id: 1\n\nid: 2\nda"))
	s.Drop()
	require.Equal(t, "id: 2\n\n", string(s.Add([]byte("id: 2\n\n"))))
}

func TestOverlongEventIsNoticed(t *testing.T) {
	var s Splitter
	s.Add([]byte(strings.Repeat("x", maxPending+1)))
	require.True(t, s.Overlong())
}

// However a stream is cut into reads, nothing of it is lost or comes twice.
func TestSplitterKeepsEveryByte(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 1\n", "data: x\n", "\n", "\r\n", "y"})).Draw(t, "stream"), "")
		var s Splitter
		var out strings.Builder
		rest := stream
		for rest != "" {
			n := rapid.IntRange(1, len(rest)).Draw(t, "read")
			out.Write(s.Add([]byte(rest[:n])))
			rest = rest[n:]
		}
		if out.String()+string(s.pending) != stream {
			t.Fatalf("%q became %q and %q", stream, out.String(), s.pending)
		}
	})
}
