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
	baseStep        = 3 * time.Millisecond
	stepPerRequest  = 150 * time.Microsecond
	prefillChunk    = 512
	prefillPerMilli = 40
	engineCapacity  = 400_000
	cacheBudget     = 1_200_000
	maxCachedChats  = 1 << 20
	returnShare     = 0.8
	turnExtraTokens = 100
	hopLatency      = 1500 * time.Microsecond
	sampleEvery     = 100 * time.Millisecond
	epochSeconds    = 1_800_000_000
	surgeWorkspaces = 3
	surgeFactor     = 10
	refusedPenalty  = 2 * time.Second
	warmUpShare     = 3
	reportBytes     = 32
	reportBytesASec = 4000
	minReportLag    = time.Second
)

// fakeClass is a class of work of the workload.
type fakeClass struct {
	name        string
	urgency     int
	rate        float64 // share of requests
	prompt      float64
	out         float64
	begin       time.Duration
	worth       float64
	shareOfLoad float64
	sigma       float64 // of the output length; 0 means 1
}

// fakeEngine batches continuously, computes prompts one after another and caches prefixes with LRU.
type fakeEngine struct {
	up       *routing.Upstream
	pool     int
	alive    bool
	dead     bool
	running  int
	tokens   int64
	reported int64
	prefill  [3]time.Duration
	cache    *simplelru.LRU[uint64, int64]
	cached   int64
	waiting  []*request
}

func newFakeEngine(up *routing.Upstream, pool int) *fakeEngine {
	e := &fakeEngine{up: up, pool: pool, alive: true}
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

// compute returns when a prompt is computed: more urgent prompts go first, but
// for the chunk that is being computed.
func (e *fakeEngine) compute(now time.Duration, urgency int, tokens int64) time.Duration {
	work := time.Duration(tokens) * time.Millisecond / prefillPerMilli
	begin := max(now, e.prefill[urgency])
	for lower := urgency + 1; lower < len(e.prefill); lower++ {
		if e.prefill[lower] > begin {
			begin += min(e.prefill[lower]-begin, prefillChunk*time.Millisecond/prefillPerMilli)
			break
		}
	}
	for u := urgency; u < len(e.prefill); u++ {
		if u == urgency {
			e.prefill[u] = begin + work
			continue
		}
		e.prefill[u] = max(e.prefill[u]+work, e.prefill[urgency])
	}
	return begin + work
}

func (e *fakeEngine) store(chat uint64, tokens int64) {
	if old, ok := e.cache.Peek(chat); ok {
		e.cached -= old
	}
	e.cache.Add(chat, tokens)
	e.cached += tokens
	for e.cached > cacheBudget {
		_, n, _ := e.cache.RemoveOldest()
		e.cached -= n
	}
}

// request is one turn of a chat.
type request struct {
	chat     uint64
	class    *fakeClass
	ws       int
	pool     int
	host     int
	prefix   int64
	prompt   int64
	out      int64
	cost     int64
	at       time.Duration
	returns  bool
	release  func(now time.Duration)
	surplus  time.Duration
	attempts int
	seen     []routing.Row
	failed   []string
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// clock runs what is due in order of time; nothing else moves it.
type clock struct {
	now  time.Duration
	seq  int
	due  events
	rand *rand.Rand
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.due, event{at: c.now + d, seq: c.seq, do: do})
}

func (c *clock) run(until time.Duration) {
	for len(c.due) > 0 && c.due[0].at <= until {
		e := heap.Pop(&c.due).(event)
		c.now = e.at
		e.do()
	}
}

func (c *clock) time() time.Time {
	return time.Unix(epochSeconds, 0).Add(c.now)
}

func (c *clock) exp(mean time.Duration) time.Duration {
	return time.Duration(c.rand.ExpFloat64() * float64(mean))
}

// output draws the length of an answer.
func (c *clock) output(class *fakeClass) int64 {
	if class.sigma == 0 {
		return c.lognormal(class.out, 1)
	}
	return c.lognormal(class.out, class.sigma)
}

// lognormal draws a length with the mean given and a long tail.
func (c *clock) lognormal(mean, sigma float64) int64 {
	return int64(math.Exp(math.Log(mean)-sigma*sigma/2+sigma*c.rand.NormFloat64())) + 1
}
