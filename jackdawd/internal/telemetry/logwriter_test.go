package telemetry

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLogWriterKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewLogWriter(&out)
		line := []byte("one\n")
		_, err := w.Write(line)
		require.NoError(t, err)
		copy(line, "xxx\n")
		_, err = w.LowPriority().Write([]byte("two\n"))
		require.NoError(t, err)
		w.Close(time.Second)
		require.Equal(t, "one\ntwo\n", out.String())
		require.Zero(t, w.Dropped())
	})
}

// Guards against callers that block because nobody reads the log. Low-priority lines are dropped
// first, so that lines about faults still fit, and a returning reader gets the number of dropped
// lines.
func TestStalledReaderBlocksNoCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, out := io.Pipe()
		w := NewLogWriter(out)
		start := time.Now()
		for range 3 * maxBufferedLines {
			_, err := w.LowPriority().Write([]byte("routine\n"))
			require.NoError(t, err)
		}
		for i := range 10 {
			_, err := fmt.Fprintf(w, "fault %d\n", i)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start))
		stalledReader, stalledOut := io.Pipe()
		faults := NewLogWriter(stalledOut)
		for range 3 * maxBufferedLines {
			_, err := faults.Write([]byte("dropped fault\n"))
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(start), "lines about faults must not block either")
		require.NoError(t, stalledReader.Close())
		faults.Close(time.Second)
		require.Positive(t, w.Dropped())
		output := make(chan string)
		go func() {
			text, _ := io.ReadAll(reader)
			output <- string(text)
		}()
		time.Sleep(2 * time.Second)
		w.Close(time.Second)
		require.NoError(t, out.Close())
		text := <-output
		require.Equal(t, 10, strings.Count(text, "fault"))
		require.Contains(t, text, fmt.Sprintf(`"dropped":%d`, w.Dropped()))
	})
}

func TestCloseTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, out := io.Pipe()
		w := NewLogWriter(out)
		_, err := w.Write([]byte("x\n"))
		require.NoError(t, err)
		start := time.Now()
		w.Close(time.Second)
		require.Equal(t, time.Second, time.Since(start))
		require.NoError(t, reader.Close())
	})
}
