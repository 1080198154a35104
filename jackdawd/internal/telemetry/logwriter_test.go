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

func TestLinesAreWrittenInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		w := NewLogWriter(&out)
		line := []byte("one\n")
		_, err := w.Write(line)
		require.NoError(t, err)
		copy(line, "xxx\n")
		_, err = w.Plentiful().Write([]byte("two\n"))
		require.NoError(t, err)
		w.Close(time.Second)
		require.Equal(t, "one\ntwo\n", out.String())
		require.Zero(t, w.Dropped())
	})
}

// Nobody reads standard output. Whoever logs goes on at once; plentiful lines are
// dropped first, so that those on faults find room, and when the reader is back it
// is told how many are missing.
func TestStoppedReaderBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, out := io.Pipe()
		w := NewLogWriter(out)
		begin := time.Now()
		for range 3 * bufferedLines {
			_, err := w.Plentiful().Write([]byte("plenty\n"))
			require.NoError(t, err)
		}
		for i := range 10 {
			_, err := fmt.Fprintf(w, "fault %d\n", i)
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(begin))
		unread, full := io.Pipe()
		faults := NewLogWriter(full)
		for range 3 * bufferedLines {
			_, err := faults.Write([]byte("fault without room\n"))
			require.NoError(t, err)
		}
		require.Zero(t, time.Since(begin), "nor do lines on faults wait")
		require.NoError(t, unread.Close())
		faults.Close(time.Second)
		require.Positive(t, w.Dropped())
		all := make(chan string)
		go func() {
			text, _ := io.ReadAll(reader)
			all <- string(text)
		}()
		time.Sleep(2 * time.Second)
		w.Close(time.Second)
		require.NoError(t, out.Close())
		text := <-all
		require.Equal(t, 10, strings.Count(text, "fault"))
		require.Contains(t, text, fmt.Sprintf(`"dropped":%d`, w.Dropped()))
	})
}

func TestCloseDoesNotWaitForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, out := io.Pipe()
		w := NewLogWriter(out)
		_, err := w.Write([]byte("x\n"))
		require.NoError(t, err)
		begin := time.Now()
		w.Close(time.Second)
		require.Equal(t, time.Second, time.Since(begin))
		require.NoError(t, reader.Close())
	})
}
