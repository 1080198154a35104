package placement

import (
	"math"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// burstWindow is the time in which a jump of requests must show, and burstLeast how many must come in it: fewer
	// come together by chance at a host that gets a few requests a second.
	burstWindow = 300 * time.Millisecond
	burstLeast  = 4
	// burstTimes is how many times as often as usual requests come in a jump.
	burstTimes = 3
	// usualOver is the time over which the usual rate is averaged.
	usualOver = 5 * time.Second
	// lastsOver is over how many requests the time is averaged that they take, usuallyLasts what it is
	// taken for before any has ended.
	lastsOver    = 8
	usuallyLasts = time.Second
	// inProgressOver is over how many requests the time is averaged that those in progress take.
	inProgressOver = 32
	// rememberedClasses bounds the classes of which is known how long answers take.
	rememberedClasses = 1024
)

// Turnovers watches, pool by pool, how fast requests come and how long they take at this host.
//
// A plan tells what engines had planLag ago and more. While requests take longer than that it tells of those that
// are still there. Of shorter ones, and of a crowd that has just come, it tells nothing: hosts that all leave the engines
// that had many then meet at the others, and half a second later they all go back.
type Turnovers struct {
	mu    sync.Mutex
	pools map[string]*turnover
	// classes has how long answers take on average.
	classes *lru.Cache[string, time.Duration]
}

// NewTurnovers returns turnovers of no pool.
func NewTurnovers() *Turnovers {
	// The size is a positive constant, for which there is no error.
	classes, _ := lru.New[string, time.Duration](rememberedClasses)
	return &Turnovers{pools: map[string]*turnover{}, classes: classes}
}

// Began takes in that a request was sent to a pool.
func (t *Turnovers) Began(now time.Time, pool string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(now, pool).began(now)
}

// Ended takes in how long an answer of a pool took to a class of requests.
func (t *Turnovers) Ended(now time.Time, pool, class string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.of(now, pool)
	p.lasts += (took - p.lasts) / lastsOver
	p.square += (took.Seconds()*took.Seconds() - p.square) / inProgressOver
	p.mean += (took.Seconds() - p.mean) / inProgressOver
	if before, ok := t.classes.Get(class); ok {
		took = before + (took-before)/inProgressOver
	}
	t.classes.Add(class, took)
}

// Usually returns how long an answer to a class of requests takes on average.
func (t *Turnovers) Usually(class string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took, ok := t.classes.Get(class); ok {
		return took
	}
	return usuallyLasts
}

// InProgress returns how long requests in progress usually last: longer than all on average, as the longer
// ones are more often in progress.
func (t *Turnovers) InProgress(now time.Time, pool string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.of(now, pool)
	if p.mean <= 0 {
		return 0
	}
	return time.Duration(p.square / p.mean * float64(time.Second))
}

// Outpaced reports whether requests of a pool come or end faster than hosts can tell each other of them.
func (t *Turnovers) Outpaced(now time.Time, pool string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.pools[pool]
	return ok && (p.lasts < planLag || p.jumps(now))
}

func (t *Turnovers) of(now time.Time, pool string) *turnover {
	p, ok := t.pools[pool]
	if !ok {
		usually := usuallyLasts.Seconds()
		p = &turnover{since: now, ratedAt: now, lasts: usuallyLasts, mean: usually, square: usually * usually}
		t.pools[pool] = p
	}
	return p
}

// turnover is that of one pool.
type turnover struct {
	// recent is when requests came in the last burstWindow.
	recent []time.Time
	// rate is how many come a second, averaged from since to ratedAt.
	rate           float64
	since, ratedAt time.Time
	// lasts is how long requests take on average.
	lasts time.Duration
	// mean and square are the averages of that in seconds and of its square, over more of them.
	mean, square float64
}

func (t *turnover) began(now time.Time) {
	t.recent = append(t.recent, now)
	for now.Sub(t.recent[0]) > burstWindow {
		t.recent = t.recent[1:]
	}
	t.rate = t.rate*math.Exp(-now.Sub(t.ratedAt).Seconds()/usualOver.Seconds()) + 1/usualOver.Seconds()
	t.ratedAt = now
}

// usual returns how many requests usually come a second. Averaged over less time than
// usualOver, as after a start, it is corrected for what lies before.
func (t *turnover) usual(now time.Time) float64 {
	left := math.Exp(-now.Sub(t.ratedAt).Seconds() / usualOver.Seconds())
	part := 1 - math.Exp(-max(now.Sub(t.since), burstWindow).Seconds()/usualOver.Seconds())
	return t.rate * left / part
}

// jumps reports whether many more requests come than usual.
func (t *turnover) jumps(now time.Time) bool {
	n := 0
	for _, at := range t.recent {
		if now.Sub(at) <= burstWindow {
			n++
		}
	}
	return n >= burstLeast && float64(n)/burstWindow.Seconds() > burstTimes*t.usual(now)
}
