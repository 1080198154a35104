package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// bufferedLines bounds the lines that wait to be written, at about 400 bytes each.
	bufferedLines = 2048
	// reportEvery is how often the lines that were dropped are told of.
	reportEvery = time.Second
)

// A LogWriter writes lines in the background. A reader that stops reading would
// else block every request that logs; lines that find no room are dropped and counted.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLogWriter returns a writer to out.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, bufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run()
	}()
	return w
}

// Write takes in one line; it never blocks.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.put(line)
	return len(line), nil
}

// Plentiful returns a writer for lines of which there are many: they are dropped
// first, while half of the room is left for those that tell of faults.
func (w *LogWriter) Plentiful() io.Writer {
	return plentiful{w}
}

type plentiful struct{ w *LogWriter }

// Write takes in one line unless half of the room is taken.
func (p plentiful) Write(line []byte) (int, error) {
	if len(p.w.lines) > bufferedLines/2 {
		p.w.dropped.Add(1)
		return len(line), nil
	}
	return p.w.Write(line)
}

// Dropped returns how many lines were dropped since the start.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits and stops; a reader that does not read is not waited for beyond the time given.
func (w *LogWriter) Close(within time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(within):
	}
}

func (w *LogWriter) put(line []byte) {
	// The caller uses its buffer again.
	kept := append([]byte(nil), line...)
	select {
	case w.lines <- kept:
	default:
		w.dropped.Add(1)
	}
}

func (w *LogWriter) run() {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	told := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		case now := <-ticker.C:
			if n := w.dropped.Load(); n > told {
				w.emit(fmt.Appendf(nil, `{"level":"warning","msg":"logs: Lines were dropped.","dropped":%d,"time":%q}`+"\n", n-told, now.UTC().Format(time.RFC3339Nano)))
				told = n
			}
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *LogWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.emit(line)
		default:
			return
		}
	}
}

func (w *LogWriter) emit(line []byte) {
	// There is nowhere to tell that the log cannot be written.
	_, _ = w.out.Write(line)
}
