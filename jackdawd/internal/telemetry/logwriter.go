package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxBufferedLines bounds the lines waiting to be written, at about 400 bytes each.
	maxBufferedLines = 2048
	// dropReportInterval is how often the number of newly dropped lines is logged.
	dropReportInterval = time.Second
)

// A LogWriter writes lines in the background, so that a stalled reader of the output doesn't block
// every request that logs. Lines that don't fit into the buffer are dropped and counted.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	done    chan struct{}
}

// NewLogWriter returns a writer to out, which Close must stop.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{out: out, lines: make(chan []byte, maxBufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		w.run()
	}()
	return w
}

// Write queues one line or drops it; it never blocks or fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.enqueue(line)
	return len(line), nil
}

// LowPriority returns a writer for frequent routine lines. They are dropped once the buffer is half
// full, which leaves the other half to lines about faults.
func (w *LogWriter) LowPriority() io.Writer {
	return lowPriorityWriter{w}
}

type lowPriorityWriter struct{ w *LogWriter }

// Write queues one line unless the buffer is half full.
func (p lowPriorityWriter) Write(line []byte) (int, error) {
	if len(p.w.lines) > maxBufferedLines/2 {
		p.w.dropped.Add(1)
		return len(line), nil
	}
	return p.w.Write(line)
}

// Dropped returns how many lines were dropped since the writer was created.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the writer. It gives up after timeout if the output blocks.
func (w *LogWriter) Close(timeout time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *LogWriter) enqueue(line []byte) {
	// The caller reuses its buffer.
	copied := append([]byte(nil), line...)
	select {
	case w.lines <- copied:
	default:
		w.dropped.Add(1)
	}
}

func (w *LogWriter) run() {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case now := <-ticker.C:
			if n := w.dropped.Load(); n > reported {
				w.writeLine(fmt.Appendf(nil, `{"level":"warning","msg":"logs: Lines were dropped.","dropped":%d,"time":%q}`+"\n", n-reported, now.UTC().Format(time.RFC3339Nano)))
				reported = n
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
			w.writeLine(line)
		default:
			return
		}
	}
}

func (w *LogWriter) writeLine(line []byte) {
	// A failure to write the log can't be logged anywhere.
	_, _ = w.out.Write(line)
}
