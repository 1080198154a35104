package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// eventInterval is the time between two events of a stream.
const eventInterval = 40 * time.Millisecond

// prefillPerMs is how many prompt tokens an engine reads in a millisecond.
const prefillPerMs = 92

// A run is a request that an engine has in memory, or had before it was preempted.
type run struct {
	id string
	// urgency is X-Request-Priority, 0 being the most urgent; tokens is what the request takes of the engine's memory.
	urgency, tokens int
	preempted       bool
}

// An engine is a stand-in for a model runner. It runs up to slots requests within its memory, queues a few more and
// rejects the rest. If its memory runs out, the newest of the least urgent requests is preempted, and goes on once there
// is room again. A stream ends early only if its caller leaves.
type engine struct {
	id                   string
	slots, queue, memory int
	record               *record
	mu                   sync.Mutex
	// active counts the requests that run or wait, runs holds those that run or are preempted, in the order of their starts.
	active int
	runs   []*run
	// changed is closed and replaced when there may be room.
	changed chan struct{}
	// ran holds the requests that the engine has begun to run.
	ran map[string]bool
}

func newEngine(id string, slots, queue, memory int, r *record) *engine {
	return &engine{id: id, slots: slots, queue: queue, memory: memory, record: r, changed: make(chan struct{}), ran: map[string]bool{}}
}

// ranRequest reports whether the engine has begun to run a request.
func (e *engine) ranRequest(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[id]
}

// inUse returns the number of requests that run and the memory that they take; the lock must be held.
func (e *engine) inUse() (running, tokens int) {
	for _, r := range e.runs {
		if !r.preempted {
			running, tokens = running+1, tokens+r.tokens
		}
	}
	return running, tokens
}

// load returns the value of the header with the engine's load; the lock must be held.
func (e *engine) load() string {
	running, _ := e.inUse()
	return fmt.Sprintf("%d,%d,%d", running, e.active-running, e.slots)
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

// fits reports whether a request can run, and preempts less urgent ones, the newest first, if it needs their memory. The
// lock must be held.
func (e *engine) fits(r *run) bool {
	running, tokens := e.inUse()
	if running >= e.slots {
		return false
	}
	var victims []*run
	for i := len(e.runs) - 1; i >= 0 && tokens+r.tokens > e.memory; i-- {
		if victim := e.runs[i]; !victim.preempted && victim.urgency > r.urgency {
			victims, tokens = append(victims, victim), tokens-victim.tokens
		}
	}
	if tokens+r.tokens > e.memory {
		return false
	}
	for _, victim := range victims {
		victim.preempted = true
		e.record.add("runner %s preempts %s, as its memory has run out", e.id, victim.id)
	}
	return true
}

// await waits until a request can run, or goes on if it was preempted. It returns false if the caller leaves.
func (e *engine) await(caller *http.Request, r *run, begun bool) bool {
	for {
		e.mu.Lock()
		if begun && !r.preempted {
			e.mu.Unlock()
			return true
		}
		if e.fits(r) {
			if !begun {
				e.runs = append(e.runs, r)
			} else {
				e.record.add("runner %s goes on with %s", e.id, r.id)
			}
			r.preempted = false
			e.mu.Unlock()
			return true
		}
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-caller.Context().Done():
			return false
		}
	}
}

// release gives back what a request took.
func (e *engine) release(r *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
	e.runs = slices.DeleteFunc(e.runs, func(other *run) bool { return other == r })
	close(e.changed)
	e.changed = make(chan struct{})
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
	prompt, output := tokenUsage(r)
	// Without the header the urgency is 5.
	urgency, err := strconv.Atoi(r.Header.Get("X-Request-Priority"))
	if err != nil {
		urgency = 5
	}
	current := &run{id: id, urgency: urgency, tokens: prompt + output}
	defer e.release(current)
	if !e.await(r, current, false) {
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
	e.stream(w, r, current)
}

// tokenUsage returns the numbers of prompt and output tokens of a request; each event has one output token.
func tokenUsage(r *http.Request) (prompt, output int) {
	before, after, _ := strings.Cut(r.Header.Get("X-Token-Usage"), ",")
	// The clients of the case always send both.
	prompt, _ = strconv.Atoi(before)
	output, _ = strconv.Atoi(after)
	return prompt, output
}

// stream reads the prompt and writes the events of a response, as many as X-Token-Usage asks for.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, current *run) {
	prompt, total := tokenUsage(r)
	// Without the header the stream begins with the first event.
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	wait := time.Duration(prompt/prefillPerMs) * time.Millisecond
	for n := first + 1; n <= total; n++ {
		if !e.work(r, current, wait+eventInterval) {
			e.leave(current.id)
			return
		}
		wait = 0
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil || controller.Flush() != nil {
			e.leave(current.id)
			return
		}
	}
	e.record.add("runner %s has written all of %s", e.id, current.id)
}

// work takes a time, and longer while the request is preempted. It returns false if the caller leaves.
func (e *engine) work(r *http.Request, current *run, d time.Duration) bool {
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return false
	}
	return e.await(r, current, true)
}

func (e *engine) leave(id string) {
	e.record.add("runner %s sees that the connection of %s is closed and drops it", e.id, id)
}
