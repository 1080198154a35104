package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"jackdawhinge/common/upstream"
)

const (
	// finishedRetention is how long a finished or cancelled generation can still be resumed.
	finishedRetention = 10 * time.Second
	// tokensPerWord is the number of tokens that a word of a prompt counts as.
	tokensPerWord = 1
	// prefillTokensPerStep is the number of prompt tokens computed in one batch step.
	prefillTokensPerStep = 512
	defaultMaxTokens     = 16
	maxCachedPrefixes    = 10_000
)

// An Engine is a stand-in for a model engine; it generates numbered words.
type Engine struct {
	name           string
	step           time.Duration
	capacityTokens int64
	mu             sync.Mutex
	generations    map[string]*generation
	cache          *lru.Cache[string, int]
	running        int
	residentTokens int64
	started        int64
}

// generation is one generation and the frames it has produced so far.
type generation struct {
	mu      sync.Mutex
	frames  []upstream.Frame
	updated chan struct{}
	cancel  context.CancelFunc
	done    bool
}

// New returns an engine with the given duration of a batch step and the capacity in tokens that it
// reports.
func New(name string, step time.Duration, capacity int64) *Engine {
	cache, err := lru.New[string, int](maxCachedPrefixes)
	if err != nil {
		panic(err)
	}
	return &Engine{name: name, step: step, capacityTokens: capacity, generations: map[string]*generation{}, cache: cache}
}

// Started returns the number of generations that the engine has started.
func (e *Engine) Started() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started
}

// Handler returns the engine's HTTP handler.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+upstream.GeneratePath, e.serveGenerate)
	mux.HandleFunc("GET "+upstream.RequestsPath+"{id}", e.serveResume)
	mux.HandleFunc("DELETE "+upstream.RequestsPath+"{id}", e.serveCancel)
	mux.HandleFunc("GET "+upstream.LoadPath, e.serveLoad)
	return mux
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req upstream.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.streamFrames(w, r, e.startGeneration(req), 0)
}

func (e *Engine) startGeneration(req upstream.Request) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g, ok := e.generations[req.ID]; ok {
		return g
	}
	ctx, cancel := context.WithCancel(context.Background())
	g := &generation{updated: make(chan struct{}), cancel: cancel}
	e.generations[req.ID] = g
	e.started++
	e.running++
	go e.generate(ctx, req, g)
	return g
}

func (e *Engine) generate(ctx context.Context, req upstream.Request, g *generation) {
	prompt, cached := e.lookUpPrefix(req.Messages)
	e.addResidentTokens(int64(prompt))
	maxTokens := req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	time.Sleep(e.step * time.Duration(1+(prompt-cached)/prefillTokensPerStep))
	e.cachePrefixes(req.Messages)
	for i := range maxTokens {
		if ctx.Err() != nil {
			break
		}
		f := upstream.Frame{RequestID: req.ID, Position: i, Text: "w" + strconv.Itoa(i) + " "}
		if i == 0 {
			f.PromptTokens, f.CachedTokens = prompt, cached
		}
		if i == maxTokens-1 {
			f.Finish = upstream.FinishStop
		}
		g.appendFrame(f)
		time.Sleep(e.step)
	}
	g.finish()
	e.addResidentTokens(-int64(prompt))
	time.AfterFunc(finishedRetention, func() { e.removeGeneration(req.ID) })
}

// lookUpPrefix returns the number of tokens in the prompt and in its longest cached prefix.
func (e *Engine) lookUpPrefix(messages []upstream.Message) (prompt, cached int) {
	for i := range messages {
		prompt += countTokens(messages[i].Content)
		if n, ok := e.cache.Get(prefixKey(messages[:i+1])); ok {
			cached = max(cached, n)
		}
	}
	return prompt, cached
}

func (e *Engine) cachePrefixes(messages []upstream.Message) {
	total := 0
	for i := range messages {
		total += countTokens(messages[i].Content)
		e.cache.Add(prefixKey(messages[:i+1]), total)
	}
}

func prefixKey(messages []upstream.Message) string {
	var b strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&b, "%s\x00%s\x00", m.Role, m.Content)
	}
	return b.String()
}

func countTokens(text string) int {
	return len(strings.Fields(text)) * tokensPerWord
}

// addResidentTokens adds n to the resident tokens; a negative n also ends a running generation.
func (e *Engine) addResidentTokens(n int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.residentTokens += n
	if n < 0 {
		e.running--
	}
}

func (e *Engine) removeGeneration(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.generations, id)
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil {
		http.Error(w, "from: not a number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	g, ok := e.generations[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such request", http.StatusNotFound)
		return
	}
	e.streamFrames(w, r, g, from)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	g, ok := e.generations[r.PathValue("id")]
	e.mu.Unlock()
	if ok {
		g.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	load := upstream.Load{Running: e.running, ResidentTokens: e.residentTokens, CapacityTokens: e.capacityTokens}
	e.mu.Unlock()
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(load)
}

// streamFrames writes the frames of a generation from a position on, until it is done or the client
// disconnects.
func (e *Engine) streamFrames(w http.ResponseWriter, r *http.Request, g *generation, from int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher, _ := w.(http.Flusher)
	flusher.Flush()
	enc := json.NewEncoder(w)
	for {
		frames, updated, done := g.framesFrom(from)
		for _, f := range frames {
			if err := enc.Encode(f); err != nil {
				return
			}
		}
		from += len(frames)
		flusher.Flush()
		if done {
			return
		}
		select {
		case <-updated:
		case <-r.Context().Done():
			return
		}
	}
}

func (g *generation) appendFrame(f upstream.Frame) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frames = append(g.frames, f)
	close(g.updated)
	g.updated = make(chan struct{})
}

func (g *generation) finish() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.done = true
	close(g.updated)
	g.updated = make(chan struct{})
}

func (g *generation) framesFrom(from int) (frames []upstream.Frame, updated <-chan struct{}, done bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	from = min(from, len(g.frames))
	return g.frames[from:], g.updated, g.done
}
