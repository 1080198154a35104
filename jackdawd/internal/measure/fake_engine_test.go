package measure

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// Sizes are in tokens. A batch step of an engine takes longer with each running request.
	baseStep              = 3 * time.Millisecond
	stepTimePerRequest    = 150 * time.Microsecond
	prefillChunk          = 512
	prefillTokensPerMilli = 40
	engineCapacity        = 400_000
	cacheCapacity         = 1_200_000
	maxCachedChats        = 1 << 20
	// returnRatio is the ratio of turns that are followed by another turn of the chat.
	returnRatio     = 0.8
	turnExtraTokens = 100
	// forwardLatency is the latency of forwarding a request to another host.
	forwardLatency = 1500 * time.Microsecond
	sampleInterval = 100 * time.Millisecond
	epochSeconds   = 1_800_000_000
	// In a surge, surgeWorkspaces of ten workspaces send surgeFactor times as many requests.
	surgeWorkspaces = 3
	surgeFactor     = 10
	// refusedPenalty is the time to the first token that a refused urgent request counts as.
	refusedPenalty = 2 * time.Second
	// warmUpDivisor makes the first third of a run a warm-up, which is not counted; faults come
	// after it.
	warmUpDivisor = 3
	// Load reports of local policies take reportBytes each and may use reportBytesPerSecond, which
	// bounds how often they are sent.
	reportBytes          = 32
	reportBytesPerSecond = 4000
	minReportInterval    = time.Second
)

// fakeClass is a class of requests of the workload.
type fakeClass struct {
	name             string
	urgency          int
	requestRatio     float64 // of all requests
	meanPrompt       float64
	meanOutput       float64
	firstTokenTarget time.Duration
	worth            float64 // of a response within firstTokenTarget
	loadShare        float64
	sigma            float64 // of the output length; 0 means 1
}

// fakeEngine is an engine with continuous batching, sequential prefill and an LRU cache of
// prefixes.
type fakeEngine struct {
	upstream *routing.Upstream
	pool     int
	// alive engines are in the host list; dead ones refuse connections.
	alive          bool
	dead           bool
	running        int
	tokens         int64
	reportedTokens int64
	prefillUntil   [3]time.Duration
	cache          *simplelru.LRU[uint64, int64]
	cached         int64
	waiting        []*request
}

func newFakeEngine(u *routing.Upstream, pool int) *fakeEngine {
	e := &fakeEngine{upstream: u, pool: pool, alive: true}
	e.clear()
	return e
}

func (e *fakeEngine) clear() {
	cache, err := simplelru.NewLRU[uint64, int64](maxCachedChats, nil)
	if err != nil {
		panic(err)
	}
	e.cache, e.cached = cache, 0
}

// prefillEnd returns when the prefill of a prompt ends. Prompts of higher urgency go first, after
// the chunk that is being computed.
func (e *fakeEngine) prefillEnd(now time.Duration, urgency int, tokens int64) time.Duration {
	duration := time.Duration(tokens) * time.Millisecond / prefillTokensPerMilli
	start := max(now, e.prefillUntil[urgency])
	for lower := urgency + 1; lower < len(e.prefillUntil); lower++ {
		if e.prefillUntil[lower] > start {
			start += min(e.prefillUntil[lower]-start, prefillChunk*time.Millisecond/prefillTokensPerMilli)
			break
		}
	}
	for u := urgency; u < len(e.prefillUntil); u++ {
		if u == urgency {
			e.prefillUntil[u] = start + duration
			continue
		}
		e.prefillUntil[u] = max(e.prefillUntil[u]+duration, e.prefillUntil[urgency])
	}
	return start + duration
}

func (e *fakeEngine) cachePrefix(chat uint64, tokens int64) {
	if old, ok := e.cache.Peek(chat); ok {
		e.cached -= old
	}
	e.cache.Add(chat, tokens)
	e.cached += tokens
	for e.cached > cacheCapacity {
		_, n, _ := e.cache.RemoveOldest()
		e.cached -= n
	}
}

// request is one turn of a chat. Its times are simulated ones, its sizes tokens.
type request struct {
	chat            uint64
	class           *fakeClass
	workspace       int
	pool            int
	host            int
	prefixTokens    int64
	promptTokens    int64
	outputTokens    int64
	cost            int64
	arrivedAt       time.Duration
	returning       bool
	release         func(now time.Duration)
	forwardDelay    time.Duration
	moveCount       int
	visitedRows     []routing.LoadRow
	failedUpstreams []string
}

type event struct {
	at  time.Duration
	seq int
	fn  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// clock is a simulated clock with a random source. It runs events in order of time and advances
// only with them.
type clock struct {
	now  time.Duration
	seq  int
	due  eventHeap
	rand *rand.Rand
}

func (c *clock) after(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.due, event{at: c.now + d, seq: c.seq, fn: fn})
}

func (c *clock) run(until time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= until {
		e := heap.Pop(&c.due).(event)
		c.now = e.at
		e.fn()
	}
}

func (c *clock) time() time.Time {
	return time.Unix(epochSeconds, 0).Add(c.now)
}

func (c *clock) exponential(mean time.Duration) time.Duration {
	return time.Duration(c.rand.ExpFloat64() * float64(mean))
}

// output returns a random output length for a class.
func (c *clock) output(class *fakeClass) int64 {
	if class.sigma == 0 {
		return c.lognormal(class.meanOutput, 1)
	}
	return c.lognormal(class.meanOutput, class.sigma)
}

// lognormal returns a random length from a log-normal distribution with the given mean.
func (c *clock) lognormal(mean, sigma float64) int64 {
	return int64(math.Exp(math.Log(mean)-sigma*sigma/2+sigma*c.rand.NormFloat64())) + 1
}
