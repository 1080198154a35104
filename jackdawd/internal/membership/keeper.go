package membership

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

const (
	// longestWait bounds how long one read of the configuration waits for a change.
	longestWait = 10 * time.Second
	// waitShare is the part of the revocation bound that such a read may wait: with
	// three tenths, a read that is lost and found out by its timeout leaves time for
	// another before keys can no longer be honored.
	waitShare = 0.3
	// revokeMargin is how much before the revocation bound keys are no longer honored;
	// it covers the time from a request's arrival to its being sent on.
	revokeMargin = 200 * time.Millisecond
	// listShare is the part of the drain bound after which the upstreams are read
	// again; the rest is for the read itself and for a request on its way.
	listShare = 0.75
	// retryAfter is the pause after a failed read, which doubles up to longestRetry with
	// each further one, with jitter of its half: calls cost also while the store is
	// away, and the hosts must not all come back to it at once. The longest is 1 s with
	// jitter: one host that reads the store and one that follows it after another are both back
	// within two seconds of the store.
	retryAfter   = 200 * time.Millisecond
	longestRetry = 650 * time.Millisecond
	// lapseGrace is how long after the store's return an upstream whose entry lapsed
	// meanwhile is still believed in: live upstreams are back within that time.
	lapseGrace = 2 * time.Second
	// lapsedShare is the part of a pool that must be gone at least for its entries to have lapsed: while
	// a release replaced seven of 18 engines and three crashed, a host that was cut off for 12 s
	// found a third gone.
	lapsedShare = 0.5
	// tick is how often beliefs that end with time are looked at.
	tick = 250 * time.Millisecond
	// rememberedGone is how many upstreams that are gone are remembered at least.
	rememberedGone = 1000
	// inputBuffer bounds what waits for the control goroutine.
	inputBuffer = 256
)

// Configurations is where the configuration comes from.
type Configurations interface {
	// Next returns a newer configuration, or nil if there is none; it waits for one as
	// long as wait says. What was in force is known up to so long before the call
	// as behind says.
	Next(ctx context.Context, wait time.Duration) (c *traffic.Configuration, behind time.Duration, err error)
}

// Upstreams is where the list of upstreams comes from.
type Upstreams interface {
	// Next returns what has changed; it waits for a change no longer than pace. What the call
	// before returned has been taken in.
	Next(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error)
}

// Options are the parts that a keeper is made of.
type Options struct {
	Configurations Configurations
	Upstreams      Upstreams
	// Uptime is a steady clock that also counts the time for which the host was suspended.
	Uptime func() time.Duration
	Bounds Bounds
}

// Bounds are the times within which operators want changes to take effect.
type Bounds struct {
	// Revoke is how long a revoked key may be honored.
	Revoke time.Duration
	// InForce is how long an old configuration may be acted on.
	InForce time.Duration
	// Drain is how long a leaving upstream may be sent work.
	Drain time.Duration
	// Lapse is how long an upstream must be silent before its entry is removed. If the
	// store was away for less, entries that are gone did not lapse.
	Lapse time.Duration
}

// A Keeper is the one goroutine that holds what a host believes.
type Keeper struct {
	options  Options
	bounds   atomic.Pointer[Bounds]
	snapshot atomic.Pointer[Snapshot]
	// heard is when the last read of the configuration that was answered had been sent.
	heard atomic.Int64
	// outOfTouch is for how long the configuration was older than reads can make it.
	outOfTouch atomic.Int64
	// late is for how long the configuration may have been older than operators allow.
	late    atomic.Int64
	changes atomic.Pointer[Changes]
	// scores are what speaks against upstreams here, by the short hash of their identifiers.
	scores atomic.Pointer[map[uint32]float64]
	// leavers are the upstreams that said in an answer that they leave.
	leavers *leavers
	inputs  chan func(*beliefs)
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// never stands for a read that was not yet answered.
const never = -1 << 62

// NewKeeper returns a keeper that has started to read.
func NewKeeper(o Options) *Keeper {
	ctx, cancel := context.WithCancel(context.Background())
	k := &Keeper{options: o, leavers: &leavers{starts: map[traffic.Start]time.Time{}}, inputs: make(chan func(*beliefs), inputBuffer), cancel: cancel}
	k.heard.Store(never)
	k.SetBounds(o.Bounds)
	b := &beliefs{log: newChangeLog(), listed: map[string]traffic.Upstream{}, lapsing: map[string]time.Time{}, since: map[string]time.Time{}, newest: map[string]entryOrder{}, evidence: control.NewEvidence(), leavers: k.leavers}
	k.publish(b)
	k.done.Go(func() { k.run(ctx, b) })
	k.done.Go(func() { k.followConfiguration(ctx) })
	k.done.Go(func() { k.followUpstreams(ctx) })
	return k
}

// Close stops the keeper; the last snapshot stays.
func (k *Keeper) Close() {
	k.cancel()
	k.done.Wait()
}

// SetBounds puts other bounds into force.
func (k *Keeper) SetBounds(b Bounds) { k.bounds.Store(&b) }

// Snapshot returns what the host believes.
func (k *Keeper) Snapshot() *Snapshot { return k.snapshot.Load() }

// Age returns how old the configuration may be: the time since the last answered
// read of it was sent. What was written after that moment is not known here.
func (k *Keeper) Age() time.Duration {
	heard := k.heard.Load()
	if heard == never {
		return time.Duration(1<<63 - 1)
	}
	return k.options.Uptime() - time.Duration(heard)
}

// HonorsKeys reports whether a key that the configuration holds cannot have been
// revoked for longer than is allowed.
func (k *Keeper) HonorsKeys() bool { return k.Age() < k.bounds.Load().Revoke-revokeMargin }

// Current reports whether the configuration is as new as reads can make it.
func (k *Keeper) Current() bool { return k.Age() < 2*k.wait()+retryAfter }

// OutOfTouch returns for how long altogether the host had not heard of the configuration as it should.
func (k *Keeper) OutOfTouch() time.Duration { return time.Duration(k.outOfTouch.Load()) }

// Late returns for how long altogether the configuration may have been older than operators allow.
func (k *Keeper) Late() time.Duration { return time.Duration(k.late.Load()) }

// Ready reports whether the host can serve: it knows the upstreams, and a
// configuration that it may act on.
func (k *Keeper) Ready() bool {
	s := k.Snapshot()
	c := s.Configuration()
	return s.Known() && c != nil && (!c.Keyed() || k.HonorsKeys())
}

// Observe takes in from traffic how a request at an upstream went; it never blocks, and
// drops evidence while control is behind.
func (k *Keeper) Observe(start traffic.Start, x control.Experience) {
	select {
	case k.inputs <- func(b *beliefs) {
		if b.replaced(start) {
			// A request that broke off as its upstream started again says nothing of the new start.
			return
		}
		if b.evidence.Observe(time.Now(), start.ID, x) {
			k.refresh(b)
		}
	}:
	default:
	}
}

// tellScores publishes what speaks against upstreams here.
func (k *Keeper) tellScores(b *beliefs) {
	scores := map[uint32]float64{}
	for id, score := range b.evidence.Scores(time.Now()) {
		if u, ok := b.listed[id]; ok {
			scores[u.ShortHash()] = score
		}
	}
	k.scores.Store(&scores)
}

// Scores returns what speaks against upstreams here, by the short hash of their identifiers.
func (k *Keeper) Scores() map[uint32]float64 {
	if scores := k.scores.Load(); scores != nil {
		return *scores
	}
	return nil
}

// TakeScores takes in what speaks against upstreams at all other hosts, added up; it never
// blocks, as they are told again.
func (k *Keeper) TakeScores(others map[uint32]float64) {
	select {
	case k.inputs <- func(b *beliefs) {
		told := map[string]float64{}
		for id, u := range b.listed {
			if score := others[u.ShortHash()]; score > 0 {
				told[id] = score
			}
		}
		b.evidence.Told(told)
	}:
	default:
	}
}

// Lost takes in that another upstream has the address of this one, which is therefore gone.
func (k *Keeper) Lost(start traffic.Start) {
	select {
	case k.inputs <- func(b *beliefs) {
		if _, ok := b.listed[start.ID]; ok && !b.replaced(start) {
			b.remove(start.ID)
			logrus.WithField("upstream", start.ID).Info("membership: Another upstream has the address. This one is gone.")
			k.publish(b)
		}
	}:
	default:
	}
}

// Leaves takes in that an upstream said in an answer that it leaves; it never blocks. If control is
// behind, the next tick acts on it.
func (k *Keeper) Leaves(start traffic.Start) {
	if !k.leavers.add(time.Now(), start) {
		return
	}
	logrus.WithField("upstream", start.ID).Info("membership: An upstream says in its answers that it leaves.")
	select {
	case k.inputs <- k.takeLeavers:
	default:
	}
}

// takeLeavers takes in which upstreams said that they leave.
func (k *Keeper) takeLeavers(b *beliefs) {
	changed := false
	for id, u := range b.listed {
		if u.State == traffic.Ready && k.leavers.has(u.Start()) {
			u.State = traffic.Leaving
			b.listed[id] = u
			b.log.add(traffic.Listed(u))
			changed = true
		}
	}
	if changed {
		k.publish(b)
	}
}

func (k *Keeper) wait() time.Duration {
	return min(longestWait, time.Duration(waitShare*float64(k.bounds.Load().Revoke)))
}

func (k *Keeper) run(ctx context.Context, b *beliefs) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-k.inputs:
			input(b)
		case <-ticker.C:
			k.watchAge(b)
			k.expire(b, time.Now())
			k.takeLeavers(b)
			k.refresh(b)
			k.tellScores(b)
		}
	}
}

// watchAge counts, and tells, for how long the configuration was older than it should be.
func (k *Keeper) watchAge(b *beliefs) {
	if !k.Current() {
		k.outOfTouch.Add(int64(tick))
	}
	bound, age := k.bounds.Load().InForce, k.Age()
	late := b.configuration != nil && bound > 0 && age > bound
	if late {
		k.late.Add(int64(tick))
	}
	if late == b.late {
		return
	}
	b.late = late
	if late {
		logrus.WithFields(logrus.Fields{"age": age.String(), "bound": bound.String()}).Warn("membership: The configuration may be older than operators allow.")
		return
	}
	logrus.WithField("age", age.String()).Info("membership: The configuration is known in time again.")
}

// do has an input taken in, and returns when it has been: the next call of a source means that.
func (k *Keeper) do(ctx context.Context, input func(*beliefs)) {
	done := make(chan struct{})
	k.tell(ctx, func(b *beliefs) {
		input(b)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (k *Keeper) tell(ctx context.Context, input func(*beliefs)) {
	select {
	case k.inputs <- input:
	case <-ctx.Done():
	}
}

// refresh publishes a new snapshot if the evidence speaks against others than before.
func (k *Keeper) refresh(b *beliefs) {
	if !maps.Equal(b.avoided, k.avoid(b)) {
		k.publish(b)
	}
}

// avoid returns the upstreams that evidence speaks against, pool by pool.
func (k *Keeper) avoid(b *beliefs) map[string]bool {
	pools := map[string][]string{}
	for id, u := range b.listed {
		pools[u.Pool] = append(pools[u.Pool], id)
	}
	avoid := map[string]bool{}
	for _, pool := range pools {
		maps.Copy(avoid, b.evidence.Avoid(time.Now(), pool))
	}
	return avoid
}

func (k *Keeper) publish(b *beliefs) {
	avoided := k.avoid(b)
	for id := range avoided {
		if !b.avoided[id] {
			logrus.WithFields(logrus.Fields{"upstream": id, "pool": b.listed[id].Pool}).Info("membership: An upstream is avoided for failing here.")
		}
	}
	for id := range b.avoided {
		if !avoided[id] {
			logrus.WithField("upstream", id).Info("membership: An upstream is trusted again.")
		}
	}
	b.avoided = avoided
	snapshot := newSnapshot(b.configuration, b.listed, b.since, avoided)
	snapshot.known = b.known
	k.snapshot.Store(snapshot)
	old := k.changes.Swap(b.log.changes(b.configuration, b.listed))
	if old != nil {
		close(old.superseded)
	}
}

// Changes returns what other hosts may learn from this one.
func (k *Keeper) Changes() *Changes { return k.changes.Load() }
