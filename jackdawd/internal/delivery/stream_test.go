package delivery

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/upstream"
)

const testRequestID = "request-1"

// encodeResponse returns the frames of a complete response as an engine encodes them.
func encodeResponse(t testing.TB, words ...string) []byte {
	t.Helper()
	var b bytes.Buffer
	for i, word := range words {
		f := upstream.Frame{RequestID: testRequestID, Position: i, Text: word}
		if i == len(words)-1 {
			f.Finish = upstream.FinishStop
		}
		require.NoError(t, json.NewEncoder(&b).Encode(f))
	}
	return b.Bytes()
}

// collectText returns a sink that appends the text of each frame.
func collectText(text *strings.Builder) Sink {
	return func(f upstream.Frame) error {
		text.WriteString(f.Text)
		return nil
	}
}

// A connection that breaks after any byte of a response must not deliver a partial frame. Resuming
// at the position reached must deliver the rest, each frame once.
func TestCopyTruncatedAtEachByte(t *testing.T) {
	response := encodeResponse(t, "one ", "two ", "three ")
	for length := range len(response) {
		var text strings.Builder
		progress := &Progress{RequestID: testRequestID}
		err := Copy(bytes.NewReader(response[:length]), progress, collectText(&text))
		if progress.Finished {
			require.Equal(t, len(response)-1, length, "only the newline may be missing")
		} else {
			require.ErrorIs(t, err, ErrIncomplete)
			require.NoError(t, Copy(bytes.NewReader(response), progress, collectText(&text)))
		}
		require.Equal(t, "one two three ", text.String(), "truncated after %d bytes", length)
	}
}

// Frames of another request, or after a gap in the positions, must not reach the caller: Copy
// returns an error. Repeated frames are skipped.
func TestCopyUnexpectedFrames(t *testing.T) {
	tests := map[string]struct {
		frames  []upstream.Frame
		want    string
		wantErr bool
	}{
		"frame of another request": {
			frames:  []upstream.Frame{{RequestID: testRequestID, Text: "a"}, {RequestID: "request-2", Position: 1, Text: "x"}},
			want:    "a",
			wantErr: true,
		},
		"gap": {
			frames:  []upstream.Frame{{RequestID: testRequestID, Text: "a"}, {RequestID: testRequestID, Position: 2, Text: "c"}},
			want:    "a",
			wantErr: true,
		},
		"repeated frame": {
			frames: []upstream.Frame{
				{RequestID: testRequestID, Text: "a"}, {RequestID: testRequestID, Text: "a"},
				{RequestID: testRequestID, Position: 1, Text: "b", Finish: upstream.FinishStop},
			},
			want: "ab",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var body bytes.Buffer
			for _, f := range test.frames {
				require.NoError(t, json.NewEncoder(&body).Encode(f))
			}
			var text strings.Builder
			err := Copy(&body, &Progress{RequestID: testRequestID}, collectText(&text))
			var frameErr *UnexpectedFrameError
			require.Equal(t, test.wantErr, errors.As(err, &frameErr))
			require.Equal(t, test.want, text.String())
		})
	}
}

func TestIsDialError(t *testing.T) {
	tests := map[string]struct {
		err  error
		want bool
	}{
		"dial refused": {err: &net.OpError{Op: "dial", Err: errors.New("refused")}, want: true},
		"read reset":   {err: &net.OpError{Op: "read", Err: errors.New("reset")}},
		"write broken": {err: &net.OpError{Op: "write", Err: errors.New("broken pipe")}},
		"other error":  {err: errors.New("other")},
		"no error":     {},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, IsDialError(test.err))
		})
	}
}

func FuzzCopy(f *testing.F) {
	f.Add(encodeResponse(f, "one ", "two "))
	f.Add([]byte(`{"request-id":"request-2","position":0,"text":"x"}` + "\n"))
	f.Add([]byte("{"))
	f.Fuzz(func(t *testing.T, data []byte) {
		next := 0
		progress := &Progress{RequestID: testRequestID}
		err := Copy(bytes.NewReader(data), progress, func(frame upstream.Frame) error {
			require.Equal(t, testRequestID, frame.RequestID)
			require.Equal(t, next, frame.Position)
			next++
			return nil
		})
		require.Equal(t, progress.Finished, err == nil)
	})
}
