package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventInterval is the time between two events of a stream.
const eventInterval = 40 * time.Millisecond

// An engine is a stand-in for a model runner. It runs up to slots requests, queues a few more and rejects the rest. A
// stream ends early only if its caller leaves.
type engine struct {
	id           string
	slots, queue int
	record       *record
	mu           sync.Mutex
	// active counts the requests that run or wait, running those that run.
	active, running int
	freed           chan struct{}
	// preempted is until when requests that run are preempted.
	preempted time.Time
	// ran holds the requests that the engine has begun to run.
	ran map[string]bool
}

func newEngine(id string, slots, queue int, r *record) *engine {
	return &engine{
		id: id, slots: slots, queue: queue, record: r, freed: make(chan struct{}),
		ran: map[string]bool{},
	}
}

// preempt pauses the requests that run, as an engine does whose memory has run out.
func (e *engine) preempt(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.preempted = time.Now().Add(d)
	e.record.add("runner %s preempts its requests for %s", e.id, d)
}

// ranRequest reports whether the engine has begun to run a request.
func (e *engine) ranRequest(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// load returns the value of the header with the engine's load; the lock must be held.
func (e *engine) load() string {
	return fmt.Sprintf("%d,%d,%d", e.running, e.active-e.running, e.slots)
}

// admit takes a place in the engine, or reports that it is full.
func (e *engine) admit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.active >= e.slots+e.queue {
		return false
	}
	e.active++
	return true
}

// await waits for a slot. It returns false if the caller leaves.
func (e *engine) await(r *http.Request) bool {
	for {
		e.mu.Lock()
		if e.running < e.slots {
			e.running++
			e.mu.Unlock()
			return true
		}
		freed := e.freed
		e.mu.Unlock()
		select {
		case <-freed:
		case <-r.Context().Done():
			return false
		}
	}
}

func (e *engine) release(ran bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	if ran {
		e.running--
	}
	close(e.freed)
	e.freed = make(chan struct{})
}

// ServeHTTP serves one request.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if !e.admit() {
		e.mu.Lock()
		w.Header().Set("X-Instance-Load", e.load())
		e.mu.Unlock()
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		e.record.add("runner %s rejects %s, as it is full", e.id, id)
		return
	}
	ran := e.await(r)
	defer func() { e.release(ran) }()
	if !ran {
		e.leave(id)
		return
	}
	e.mu.Lock()
	e.ran[id] = true
	w.Header().Set("X-Instance-Load", e.load())
	e.mu.Unlock()
	e.record.add("runner %s runs %s after event %q", e.id, id, r.Header.Get("Last-Event-Id"))
	w.Header().Set("X-Response-Seal", "seal."+e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	e.stream(w, r, id)
}

// stream writes the events of a response, as many as X-Token-Usage asks for.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, output, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	total, err := strconv.Atoi(output)
	if err != nil {
		total = 1
	}
	// Without the header the stream begins with the first event.
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for n := first + 1; n <= total; n++ {
		if !e.work(r) {
			e.leave(id)
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil || controller.Flush() != nil {
			e.leave(id)
			return
		}
	}
	e.record.add("runner %s has written all of %s", e.id, id)
}

// work takes as long as an event does, and as the request is preempted. It returns false if the caller leaves.
func (e *engine) work(r *http.Request) bool {
	wait := eventInterval
	for wait > 0 {
		select {
		case <-time.After(wait):
		case <-r.Context().Done():
			return false
		}
		e.mu.Lock()
		wait = time.Until(e.preempted)
		e.mu.Unlock()
	}
	return true
}

func (e *engine) leave(id string) {
	e.record.add("runner %s sees that the connection of %s is closed and drops it", e.id, id)
}
