package relay

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/exchange"
	"jackdawhinge/jackdawd/internal/readahead"
)

const (
	// aheadBufferBytes is the size of the buffer that responses are read into while they are read ahead.
	aheadBufferBytes = 4 << 10
	// minChunkBytes is the least size of the chunks that are held for a slow caller. Small events share one.
	minChunkBytes = 2 << 10
	// roomRetryInterval is how often a response that waits for room asks for it again.
	roomRetryInterval = 500 * time.Millisecond
)

// errAborted is the error of a response that is no longer written, because its caller has left or does not read.
var errAborted = errors.New("the caller has left or does not read its response")

// readsAhead reports whether responses are read ahead of callers that read slowly.
func (j *job) readsAhead() bool {
	return j.ReadAhead != nil && j.AdmitsByPool != nil && j.AdmitsByPool()
}

// A source reads the parts of a response and writes them to the caller. At most one read and one write run at the
// same time.
type source interface {
	// read returns the next part, which may be empty or in buf, and the result of the attempt with the last
	// one.
	read(resp *exchange.Response, buf []byte) (part []byte, end *result)
	// start is called before a part is written that was not held.
	start(resp *exchange.Response)
	write(part []byte) error
	// resume is called before each read while the response is read ahead.
	resume()
}

// eventSource reads a stream event by event.
type eventSource struct {
	*job
	ctx context.Context
}

func (s eventSource) read(resp *exchange.Response, buf []byte) ([]byte, *result) {
	if count := s.splitter.EventCount(); !s.current.firstEventAt.IsZero() && count > s.current.timedEvents {
		s.current.timedEvents = count
		s.setEventTimeout(resp)
		s.clearPartsOfLastingStream()
	}
	return s.readEvents(s.ctx, resp, buf)
}

func (s eventSource) start(resp *exchange.Response) { s.startEvents(resp) }

func (s eventSource) write(part []byte) error { return s.sendEvents(part) }

func (s eventSource) resume() { s.current.watchdog.reset(s.eventReportTime()) }

// unbufferedSource reads a response that is no stream.
type unbufferedSource struct {
	*job
	ctx context.Context
}

func (s unbufferedSource) read(resp *exchange.Response, buf []byte) ([]byte, *result) {
	n, err := resp.Read(buf)
	switch {
	case err == nil:
		return buf[:n], nil
	case errors.Is(err, io.EOF):
		return buf[:n], &result{verdict: answered, unframed: !resp.Framed()}
	case s.r.Context().Err() != nil:
		return buf[:n], &result{verdict: callerLeft, err: err}
	}
	return buf[:n], &result{verdict: broken, err: err}
}

func (s unbufferedSource) start(*exchange.Response) {}

func (s unbufferedSource) write(part []byte) error {
	_, err := s.w.Write(part)
	return err
}

func (s unbufferedSource) resume() {}

// A readAhead forwards a response. One goroutine reads and writes it in turn while the caller keeps up. If a write
// takes long, a second one is started, the reader, which goes on reading and holds what it reads for the first,
// the writer. The reader ends once the caller has caught up.
type readAhead struct {
	*job
	resp   *exchange.Response
	source source
	// writes finds a slow write, which starts the reader.
	writes monitoredWrites
	// isBehind is set for the writer while there is a reader.
	isBehind bool
	// buf is what responses are read into; nil to allocate it.
	buf []byte
	// unwritten is the number of bytes that were read but not written as the current write
	// began.
	unwritten int
	// acknowledgedBefore is how much the caller had acknowledged; the budget's lock protects it.
	acknowledgedBefore uint64

	// wakeReader wakes a reader that waits for room; nil without a reader.
	wakeReader chan struct{}

	mu sync.Mutex
	// changed is signalled when a field below changes that the writer waits for.
	changed sync.Cond
	// holding accounts for what is held; nil without a reader.
	holding *readahead.Holding
	// chunks are held, the next one to write first.
	chunks [][]byte
	// writing and overhead are the parts of holding for what is being written and for the reader's buffer.
	writing, overhead int64
	// handed is what the reader leaves to the writer as it ends, without holding it.
	handed []byte
	// end is the result of the attempt once all that was read is held or handed over.
	end *result
	// upstreamDone is set once the response must no longer be aborted, readerDone once the reader has ended.
	upstreamDone, readerDone bool
	// writerIdle is set while the writer waits for the reader.
	writerIdle bool
	// aborted is set once nothing more is to be written; cut if that is because the caller does not read.
	aborted, cut bool
	closed       bool
	// stopWatching ends the watching for a caller that disconnects.
	stopWatching func() bool
}

// relayAhead forwards a response of which the first part was already read; end is the result if that is all
// of it and the attempt has ended.
func (j *job) relayAhead(resp *exchange.Response, s source, first []byte, end *result) result {
	a := &readAhead{job: j, resp: resp, source: s, end: end, upstreamDone: end != nil}
	a.changed.L, a.writes.onSlow = &a.mu, a.readOn
	a.slowWrites.add(&a.writes)
	j.ahead = a
	defer func() {
		a.close()
		j.ahead = nil
	}()
	for len(first) > 0 {
		n := min(len(first), readBufferBytes)
		if err := a.write(first[:n], len(first)); err != nil {
			return a.writeFailed(err)
		}
		first = first[n:]
	}
	for {
		part, end := a.nextPart()
		if len(part) > 0 {
			if err := a.write(part, len(part)); err != nil {
				return a.writeFailed(err)
			}
		}
		if end != nil {
			return *end
		}
	}
}

// write writes a part of what is unwritten. If it takes long, the response is read ahead from then on.
func (a *readAhead) write(part []byte, unwritten int) error {
	if a.isBehind {
		return a.writeBehind(part)
	}
	a.source.start(a.resp)
	if err := a.setWriteDeadline(time.Now()); err != nil {
		return err
	}
	a.unwritten = unwritten
	a.writes.begin()
	err := a.source.write(part)
	a.isBehind = a.writes.end()
	return err
}

// writeBehind writes a part while there is a reader.
func (a *readAhead) writeBehind(part []byte) error {
	a.mu.Lock()
	if a.aborted {
		a.mu.Unlock()
		return errAborted
	}
	err := a.setWriteDeadline(time.Now())
	a.mu.Unlock()
	if err != nil {
		return err
	}
	return a.source.write(part)
}

// isCallerBehind reports whether the caller still has a part of the response to read. It does not notice a silence of
// the upstream until then.
func (j *job) isCallerBehind() bool { return j.ahead != nil && j.ahead.isHolding() }

// isHolding reports whether anything that was read has not been written.
func (a *readAhead) isHolding() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holding != nil && (!a.writerIdle || len(a.chunks) > 0)
}

// writeFailed returns the result of an attempt whose response could not be written.
func (a *readAhead) writeFailed(err error) result {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		// The write failed because its deadline was moved.
		err = errAborted
	}
	return result{verdict: a.failureVerdict(), err: err}
}

// failureVerdict returns the verdict of an attempt whose response could not be written; the lock must be held.
func (a *readAhead) failureVerdict() verdict {
	if a.cut {
		return cutOff
	}
	return callerLeft
}

// nextPart returns the next part to write, and the result of the attempt if none follows.
func (a *readAhead) nextPart() ([]byte, *result) {
	if a.isBehind {
		return a.nextHeld()
	}
	if a.end != nil {
		return nil, a.end
	}
	if a.buf == nil {
		a.buf = make([]byte, readBufferBytes)
	}
	var part []byte
	part, a.end = a.source.read(a.resp, a.buf)
	return part, a.end
}

// nextHeld returns the next part that the reader has read, and the result of the attempt if none follows.
func (a *readAhead) nextHeld() ([]byte, *result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.holding == nil {
		a.changed.Wait()
	}
	a.holding.Release(time.Now(), a.writing)
	a.writing = 0
	a.RoomFreed()
	for len(a.chunks) == 0 && !a.readerDone && !a.aborted {
		if !a.writerIdle {
			// What the reader itself takes must not count against a caller that has read everything.
			a.returnBuffer()
			a.writerIdle = true
			a.RoomFreed()
		}
		a.changed.Wait()
	}
	a.writerIdle = false
	if a.aborted {
		return nil, &result{verdict: a.failureVerdict(), err: errAborted}
	}
	if len(a.chunks) > 0 {
		chunk := a.chunks[0]
		a.chunks[0] = nil
		a.chunks, a.writing = a.chunks[1:], int64(cap(chunk))
		return chunk, nil
	}
	if a.end == nil {
		a.removeReader()
	}
	part := a.handed
	a.handed = nil
	return part, a.end
}

// returnBuffer returns the room of the reader's buffer; the lock must be held.
func (a *readAhead) returnBuffer() {
	a.holding.Return(a.overhead)
	a.overhead = 0
}

// removeReader prepares for the writer to read again; the lock must be held.
func (a *readAhead) removeReader() {
	a.stopWatching()
	a.holding.Close()
	// handed may be a part of the buffer.
	a.holding, a.buf, a.isBehind, a.readerDone = nil, nil, false, false
	a.writes.restart()
}

// close ends the reader and returns what is held.
func (a *readAhead) close() {
	a.slowWrites.remove(&a.writes)
	if !a.isBehind {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.aborted = true
	if !a.upstreamDone && a.end == nil {
		a.resp.Abort()
	}
	for a.holding == nil {
		a.changed.Wait()
	}
	a.RoomFreed()
	for !a.readerDone {
		a.changed.Wait()
	}
	a.closed = true
	a.stopWatching()
	a.holding.Close()
}

// readOn reads the response until its end, or until the caller has caught up.
func (a *readAhead) readOn() {
	a.join()
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.readerDone, a.buf = true, nil
		a.returnBuffer()
		a.changed.Broadcast()
	}()
	if a.end != nil {
		a.endUpstream(a.end)
		return
	}
	if !a.makeBuffer() {
		return
	}
	for {
		a.source.resume()
		part, end := a.source.read(a.resp, a.buf)
		if end != nil {
			a.endUpstream(end)
		}
		if !a.deliver(part, end) {
			return
		}
	}
}

// join adds the response to the budget and watches for a caller that disconnects.
func (a *readAhead) join() {
	a.acknowledgedBefore, a.wakeReader = a.acknowledged(a.r.Context()), make(chan struct{}, 1)
	// The first bytes are in the buffer that each request has.
	writing := int64(max(a.unwritten-readBufferBytes, 0))
	holding := a.ReadAhead.Join(time.Now(), writing, a)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holding, a.writing = holding, writing
	a.stopWatching = context.AfterFunc(a.r.Context(), func() { a.abort(false) })
	a.changed.Broadcast()
}

// makeBuffer allocates the reader's buffer, since the writer may still write from the other one. It reports whether
// the reader is to go on.
func (a *readAhead) makeBuffer() bool {
	for !a.holding.Reserve(time.Now(), aheadBufferBytes) {
		a.awaitRoom()
		if a.handOver(nil, nil) {
			return false
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.buf, a.overhead = make([]byte, aheadBufferBytes), aheadBufferBytes
	return true
}

// endUpstream ends the attempt, whose upstream has been read to its end.
func (a *readAhead) endUpstream(end *result) {
	a.mu.Lock()
	a.upstreamDone = true
	a.mu.Unlock()
	a.current.watchdog.suspend()
	a.endAttempt(a.current, end.verdict == answered)
}

// deliver holds a part for the writer, or hands it over if the writer waits for it, and reports whether the
// reader is to go on.
func (a *readAhead) deliver(part []byte, end *result) bool {
	for !a.handOver(part, end) {
		if len(part) > 0 && !a.hold(part) {
			a.awaitRoom()
			continue
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.end = end
		return end == nil
	}
	return false
}

// handOver hands a part to a writer that waits for it, and reports whether it did or nothing more is to be
// written.
func (a *readAhead) handOver(part []byte, end *result) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.aborted {
		return true
	}
	if !a.writerIdle || len(a.chunks) > 0 {
		return false
	}
	a.handed, a.end = part, end
	return true
}

// hold holds a copy of a part for the writer, and reports whether there was room.
func (a *readAhead) hold(part []byte) bool {
	if a.holdInLastChunk(part) {
		return true
	}
	size := max(len(part), minChunkBytes)
	if !a.holding.Reserve(time.Now(), int64(size)) {
		return false
	}
	chunk := append(make([]byte, 0, size), part...)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chunks = append(a.chunks, chunk)
	a.changed.Broadcast()
	return true
}

// holdInLastChunk appends a part to the last chunk, and reports whether it fitted.
func (a *readAhead) holdInLastChunk(part []byte) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.chunks) == 0 {
		return false
	}
	last := &a.chunks[len(a.chunks)-1]
	if cap(*last)-len(*last) < len(part) {
		return false
	}
	*last = append(*last, part...)
	return true
}

// awaitRoom waits until there may be room, or the writer waits for the reader. The upstream is not to blame for
// its silence meanwhile.
func (a *readAhead) awaitRoom() {
	a.current.watchdog.suspend()
	retry := time.NewTimer(roomRetryInterval)
	defer retry.Stop()
	select {
	case <-a.wakeReader:
	case <-retry.C:
	}
}

// RoomFreed wakes a reader that waits for room.
func (a *readAhead) RoomFreed() {
	select {
	case a.wakeReader <- struct{}{}:
	default:
	}
}

// abort makes a write in progress fail and prevents further ones; cut is set if the caller does not read. It
// reports whether there was anything left to write.
func (a *readAhead) abort(cut bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.aborted || a.holding == nil {
		return false
	}
	a.aborted, a.cut = true, cut
	a.setFinalWriteDeadline(time.Now())
	a.changed.Broadcast()
	a.RoomFreed()
	return true
}

// HasRead reports whether the caller has read anything since the previous call, as far as is known.
func (a *readAhead) HasRead() bool {
	previous := a.acknowledgedBefore
	a.acknowledgedBefore = a.acknowledged(a.r.Context())
	return a.acknowledgedBefore > previous
}

// Cut cuts the response off.
func (a *readAhead) Cut(c readahead.Cut) {
	if !a.abort(true) {
		return
	}
	logrus.WithFields(logrus.Fields{
		"request": a.request.ID, "workspace": a.workspace.Name, "route": a.route.Name, "bytes": c.Held, "idle-ms": c.Idle.Milliseconds(),
	}).Warn("relay: Cut off a response whose caller does not read, since the memory for slow callers is used up.")
}
