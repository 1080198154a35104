package events

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestSplitterReturnsCompleteEvents(t *testing.T) {
	tests := map[string]struct {
		reads   []string
		output  []string
		lastID  string
		count   int
		pending int
	}{
		"one":              {[]string{"id: 1\ndata: x\n\n"}, []string{"id: 1\ndata: x\n\n"}, "1", 1, 0},
		"split event":      {[]string{"id: 1\nda", "ta: x\n\nid: 2"}, []string{"", "id: 1\ndata: x\n\n"}, "1", 1, 5},
		"two events":       {[]string{"id: 1\n\nid: 2\n\n"}, []string{"id: 1\n\nid: 2\n\n"}, "2", 2, 0},
		"CRLF":             {[]string{"id: 1\r\ndata: x\r\n\r\n"}, []string{"id: 1\r\ndata: x\r\n\r\n"}, "1", 1, 0},
		"split at the end": {[]string{"id: 1\n", "\n"}, []string{"", "id: 1\n\n"}, "1", 1, 0},
		"no identifier":    {[]string{"data: x\n\n"}, []string{"data: x\n\n"}, "", 1, 0},
		"no space":         {[]string{"id:7\n\n"}, []string{"id:7\n\n"}, "7", 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var s Splitter
			for i, p := range test.reads {
				require.Equal(t, test.output[i], string(s.Add([]byte(p))))
			}
			require.Equal(t, test.lastID, s.LastEventID())
			require.Equal(t, test.count, s.EventCount())
			require.Equal(t, test.pending, s.PendingBytes())
		})
	}
}

func TestDiscardPendingDropsIncompleteEvent(t *testing.T) {
	var s Splitter
	s.Add([]byte("id: 1\n\nid: 2\nda"))
	s.DiscardPending()
	require.Equal(t, "id: 2\n\n", string(s.Add([]byte("id: 2\n\n"))))
}

func TestTooLargeEventIsReported(t *testing.T) {
	var s Splitter
	s.Add([]byte(strings.Repeat("x", maxPendingBytes+1)))
	require.True(t, s.IsPendingTooLarge())
}

// No byte is lost or returned twice, however the stream is split into reads.
func TestSplitterPreservesBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stream := strings.Join(rapid.SliceOf(rapid.SampledFrom([]string{"id: 1\n", "data: x\n", "\n", "\r\n", "y"})).Draw(t, "stream"), "")
		var s Splitter
		var out strings.Builder
		remaining := stream
		for remaining != "" {
			n := rapid.IntRange(1, len(remaining)).Draw(t, "read")
			out.Write(s.Add([]byte(remaining[:n])))
			remaining = remaining[n:]
		}
		if out.String()+string(s.pending) != stream {
			t.Fatalf("%q became %q and %q", stream, out.String(), s.pending)
		}
	})
}

func BenchmarkLargeEvent(b *testing.B) {
	part := bytes.Repeat([]byte("x"), 1000)
	for b.Loop() {
		var s Splitter
		for !s.IsPendingTooLarge() {
			s.Add(part)
		}
	}
}
