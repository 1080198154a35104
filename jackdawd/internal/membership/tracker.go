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
	// maxPollWait bounds how long one read of the configuration waits for a change.
	maxPollWait = 10 * time.Second
	// pollWaitRatio is the maximum ratio of such a wait to the revocation bound. With 0.3 a lost read
	// can time out and another one be answered before keys are no longer honored.
	pollWaitRatio = 0.3
	// revocationMargin is how long before the revocation bound keys are no longer honored. It covers
	// the time from a request's arrival until it is forwarded.
	revocationMargin = 200 * time.Millisecond
	// listIntervalRatio is the ratio of the interval between reads of the upstreams to the drain
	// bound. The rest of the bound is for the read itself and for requests that are on their way.
	listIntervalRatio = 0.75
	// minRetryInterval is the interval after a first failed read. It doubles with each further one
	// up to maxRetryInterval and has a jitter of up to half of it: calls cost money also while the
	// store is unavailable, and the hosts must not all return at once. The longest interval is
	// about 1 s with jitter, so that a host that reads the store and one that follows it are both
	// back within two seconds of the store.
	minRetryInterval = 200 * time.Millisecond
	maxRetryInterval = 650 * time.Millisecond
	// expiryGracePeriod is how long after the store's return upstreams are kept whose entries
	// expired during the outage. Running upstreams have written their entries again by then.
	expiryGracePeriod = 2 * time.Second
	// minExpiredRatio is the minimum ratio of missing upstreams to all of a pool for its entries to
	// count as expired. It is above a third: a host that was partitioned for 12 s, while a release
	// replaced 7 of 18 engines and three crashed, found a third missing.
	minExpiredRatio = 0.5
	// tickInterval is how often state that depends on time is updated.
	tickInterval = 250 * time.Millisecond
	// minRemovedVersions is the minimum number of removed upstreams whose entry versions are kept
	// before any is dropped.
	minRemovedVersions = 1000
	// inputQueueSize bounds the inputs that wait for the control goroutine.
	inputQueueSize = 256
)

// ConfigurationSource is a source of the configuration: the store or another host.
type ConfigurationSource interface {
	// Next waits up to wait for a newer configuration and returns it, or nil if there is none. The
	// result is known to have been the latest sourceAge before the call.
	Next(ctx context.Context, wait time.Duration) (c *traffic.Configuration, sourceAge time.Duration, err error)
}

// UpstreamSource is a source of the list of upstreams: the store or another host.
type UpstreamSource interface {
	// Next waits up to wait for a change and returns it. A call means that the result of the call
	// before has been applied.
	Next(ctx context.Context, wait time.Duration) (traffic.UpstreamChange, error)
}

// Options hold the sources and settings of the membership.
type Options struct {
	Configurations ConfigurationSource
	Upstreams      UpstreamSource
	// Uptime returns a monotonic time that also counts while the host is suspended.
	Uptime func() time.Duration
	Bounds Bounds
	// OnSnapshot is called with each new snapshot, one at a time; nil for nothing. It must not block.
	OnSnapshot func(*Snapshot)
}

// Bounds limit how long a change may take until it has effect, as operators set them.
type Bounds struct {
	// MaxRevocationDelay is how long a revoked key may still be honored.
	MaxRevocationDelay time.Duration
	// MaxConfigurationAge is the maximum age of the configuration in force; 0 means no limit.
	MaxConfigurationAge time.Duration
	// MaxDrainDelay is how long a leaving upstream may still be sent new work.
	MaxDrainDelay time.Duration
	// EntryTTL is the TTL of an upstream's entry in the store. If the store was unavailable for less,
	// no entry can have expired, so upstreams that are missing have left.
	EntryTTL time.Duration
}

// A Tracker maintains a host's view of the configuration and the upstreams. One goroutine owns its
// state; the methods are safe for concurrent use.
type Tracker struct {
	options  Options
	bounds   atomic.Pointer[Bounds]
	snapshot atomic.Pointer[Snapshot]
	// confirmedAt is the uptime at which the configuration in force was known to be the latest.
	confirmedAt atomic.Int64
	// staleTotal is how long in all the configuration was older than polling should make it.
	staleTotal atomic.Int64
	// overAgeTotal is how long in all the configuration may have been older than allowed.
	overAgeTotal atomic.Int64
	changes      atomic.Pointer[Changes]
	// scores are this host's failure scores of upstreams, by the short hash of their instances.
	scores atomic.Pointer[map[uint32]float64]
	// leaving holds the instances of upstreams that announced in a response that they leave.
	leaving *leavingSet
	inputs  chan func(*state)
	cancel  context.CancelFunc
	wg      sync.WaitGroup
}

// neverConfirmed is the value of confirmedAt before the first answered read.
const neverConfirmed = -1 << 62

// NewTracker starts polling the sources and returns without waiting for them.
func NewTracker(o Options) *Tracker {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Tracker{options: o, leaving: &leavingSet{addedAt: map[traffic.UpstreamInstance]time.Time{}}, inputs: make(chan func(*state), inputQueueSize), cancel: cancel}
	t.confirmedAt.Store(neverConfirmed)
	t.SetBounds(o.Bounds)
	s := &state{
		changes: newChangeLog(), upstreams: map[string]traffic.Upstream{}, removeAt: map[string]time.Time{}, firstSeen: map[string]time.Time{}, newestVersions: map[string]entryVersion{},
		evacuatedSince: map[string]time.Time{}, coldUntil: map[string]time.Time{}, outliers: control.NewOutlierDetector(), leaving: t.leaving,
	}
	t.publish(s)
	t.wg.Go(func() { t.run(ctx, s) })
	t.wg.Go(func() { t.pollConfiguration(ctx) })
	t.wg.Go(func() { t.pollUpstreams(ctx) })
	return t
}

// Close stops polling and waits until it has ended; the last snapshot stays available.
func (t *Tracker) Close() {
	t.cancel()
	t.wg.Wait()
}

// SetBounds replaces the bounds.
func (t *Tracker) SetBounds(b Bounds) { t.bounds.Store(&b) }

// Snapshot returns the latest snapshot.
func (t *Tracker) Snapshot() *Snapshot { return t.snapshot.Load() }

// Age returns the maximum age of the configuration in force: the time since the last answered read
// was sent. Changes that were written after that may be missing.
func (t *Tracker) Age() time.Duration {
	confirmedAt := t.confirmedAt.Load()
	if confirmedAt == neverConfirmed {
		return time.Duration(1<<63 - 1)
	}
	return t.options.Uptime() - time.Duration(confirmedAt)
}

// A View is a configuration with the upstreams, and how old the configuration may be.
type View struct {
	snapshot              *Snapshot
	age                   time.Duration
	honorsKeys, isCurrent bool
}

// Snapshot returns the configuration and the upstreams.
func (v View) Snapshot() *Snapshot { return v.snapshot }

// Age returns the maximum age of the configuration.
func (v View) Age() time.Duration { return v.age }

// HonorsKeys reports whether the configuration is recent enough to accept its keys.
func (v View) HonorsKeys() bool { return v.honorsKeys }

// IsCurrent reports whether the configuration is recent enough to reject a key or a path that it lacks.
func (v View) IsCurrent() bool { return v.isCurrent }

// View returns the configuration in force with its age.
func (t *Tracker) View() View { return t.readView(t) }

// A viewSource is what a View is read from.
type viewSource interface {
	Age() time.Duration
	Snapshot() *Snapshot
}

func (t *Tracker) readView(source viewSource) View {
	// The age is read first: a configuration that comes after it is newer than it says, while an older one could
	// otherwise get the age of its successor, and accept keys that were revoked.
	age := source.Age()
	return View{snapshot: source.Snapshot(), age: age, honorsKeys: t.honorsKeysAt(age), isCurrent: t.isCurrentAt(age)}
}

// HonorsKeys reports whether the configuration is recent enough to accept its keys: none of them can
// have been revoked for longer than the revocation bound.
func (t *Tracker) HonorsKeys() bool { return t.honorsKeysAt(t.Age()) }

func (t *Tracker) honorsKeysAt(age time.Duration) bool {
	return age < t.bounds.Load().MaxRevocationDelay-revocationMargin
}

// IsCurrent reports whether the configuration is as recent as polling should make it.
func (t *Tracker) IsCurrent() bool { return t.isCurrentAt(t.Age()) }

func (t *Tracker) isCurrentAt(age time.Duration) bool { return age < 2*t.pollWait()+minRetryInterval }

// StaleTime returns how long in all the configuration was older than polling should make it.
func (t *Tracker) StaleTime() time.Duration { return time.Duration(t.staleTotal.Load()) }

// OverAgeTime returns how long in all the configuration may have been older than allowed.
func (t *Tracker) OverAgeTime() time.Duration { return time.Duration(t.overAgeTotal.Load()) }

// Ready reports whether the host can serve: the upstreams are known, and a configuration whose keys
// may be honored is in force.
func (t *Tracker) Ready() bool {
	v := t.View()
	s := v.Snapshot()
	c := s.Configuration()
	return s.UpstreamsKnown() && c != nil && (!c.RequiresKey() || v.HonorsKeys())
}

// Observe records how a request to an upstream went. It never blocks: the observation is dropped if
// the input queue is full.
func (t *Tracker) Observe(instance traffic.UpstreamInstance, result control.Result) {
	select {
	case t.inputs <- func(s *state) {
		if s.restartedSince(instance) {
			// A request that its upstream's restart cut off says nothing of the new instance.
			return
		}
		if s.outliers.Observe(time.Now(), instance.ID, result) {
			t.publishIfAvoidedChanged(s)
		}
	}:
	default:
	}
}

// publishScores publishes this host's failure scores of the listed upstreams.
func (t *Tracker) publishScores(s *state) {
	scores := map[uint32]float64{}
	for id, score := range s.outliers.Scores(time.Now()) {
		if u, ok := s.upstreams[id]; ok {
			scores[u.ShortHash()] = score
		}
	}
	t.scores.Store(&scores)
}

// Scores returns this host's failure scores of upstreams, by the short hash of their instances.
func (t *Tracker) Scores() map[uint32]float64 {
	if scores := t.scores.Load(); scores != nil {
		return *scores
	}
	return nil
}

// SetPeerScores replaces the sums of all other hosts' failure scores. It never blocks: the scores
// are dropped if the input queue is full, as they are sent again.
func (t *Tracker) SetPeerScores(others map[uint32]float64) {
	select {
	case t.inputs <- func(s *state) {
		scores := map[string]float64{}
		for id, u := range s.upstreams {
			if score := others[u.ShortHash()]; score > 0 {
				scores[id] = score
			}
		}
		s.outliers.SetPeerScores(scores)
	}:
	default:
	}
}

// RemoveReplaced removes an upstream because another one answers at its address. It never blocks:
// the call has no effect if the input queue is full.
func (t *Tracker) RemoveReplaced(instance traffic.UpstreamInstance) {
	select {
	case t.inputs <- func(s *state) {
		if _, ok := s.upstreams[instance.ID]; ok && !s.restartedSince(instance) {
			s.remove(instance.ID)
			logrus.WithField("upstream", instance.ID).Info("membership: Upstream removed because another one answers at its address.")
			t.publish(s)
		}
	}:
	default:
	}
}

// MarkLeaving records that an upstream announced in a response that it leaves. It never blocks: if
// the input queue is full, the next tick applies the announcement.
func (t *Tracker) MarkLeaving(instance traffic.UpstreamInstance) {
	if !t.leaving.add(time.Now(), instance) {
		return
	}
	logrus.WithField("upstream", instance.ID).Info("membership: Upstream announced in a response that it leaves.")
	select {
	case t.inputs <- t.applyLeaving:
	default:
	}
}

// applyLeaving sets the state of the upstreams that announced in a response that they leave.
func (t *Tracker) applyLeaving(s *state) {
	changed := false
	for id, u := range s.upstreams {
		if u.State == traffic.Ready && t.leaving.contains(u.Instance()) {
			u.State = traffic.Leaving
			s.upstreams[id] = u
			s.changes.add(traffic.ListedEntry(u))
			changed = true
		}
	}
	if changed {
		t.publish(s)
	}
}

// pollWait returns how long one read of the configuration waits for a change.
func (t *Tracker) pollWait() time.Duration {
	return min(maxPollWait, time.Duration(pollWaitRatio*float64(t.bounds.Load().MaxRevocationDelay)))
}

func (t *Tracker) run(ctx context.Context, s *state) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-t.inputs:
			input(s)
		case <-ticker.C:
			t.trackAge(s)
			t.removeExpired(s, time.Now())
			t.applyLeaving(s)
			t.applyTime(s, time.Now())
			t.publishIfAvoidedChanged(s)
			t.publishScores(s)
		}
	}
}

// applyTime ends what holds for a limited time.
func (t *Tracker) applyTime(s *state, now time.Time) {
	coldEnded, evacuationsEnded, endsExpired := s.expireCold(now), s.expireEvacuations(now), s.expireEnds(now)
	if coldEnded || evacuationsEnded || endsExpired {
		t.publish(s)
	}
}

// trackAge adds up, and logs, for how long the configuration is older than it should be.
func (t *Tracker) trackAge(s *state) {
	if !t.IsCurrent() {
		t.staleTotal.Add(int64(tickInterval))
	}
	bound, age := t.bounds.Load().MaxConfigurationAge, t.Age()
	overAge := s.configuration != nil && bound > 0 && age > bound
	if overAge {
		t.overAgeTotal.Add(int64(tickInterval))
	}
	if overAge == s.overAge {
		return
	}
	s.overAge = overAge
	if overAge {
		logrus.WithFields(logrus.Fields{"age": age.String(), "bound": bound.String()}).Warn("membership: The configuration may be older than the bound.")
		return
	}
	logrus.WithField("age", age.String()).Info("membership: The configuration is known in time again.")
}

// enqueueAndWait enqueues an input and waits until it has been applied, as the next call of
// UpstreamSource.Next must be made only then.
func (t *Tracker) enqueueAndWait(ctx context.Context, input func(*state)) {
	done := make(chan struct{})
	t.enqueue(ctx, func(s *state) {
		input(s)
		close(done)
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// enqueue waits for a place in the input queue.
func (t *Tracker) enqueue(ctx context.Context, input func(*state)) {
	select {
	case t.inputs <- input:
	case <-ctx.Done():
	}
}

// publishIfAvoidedChanged publishes a new snapshot if the set of avoided upstreams has changed.
func (t *Tracker) publishIfAvoidedChanged(s *state) {
	if !maps.Equal(s.avoided, t.avoidedUpstreams(s)) {
		t.publish(s)
	}
}

// avoidedUpstreams returns the upstreams to avoid, decided pool by pool.
func (t *Tracker) avoidedUpstreams(s *state) map[string]bool {
	pools := map[string][]string{}
	for id, u := range s.upstreams {
		pools[u.Pool] = append(pools[u.Pool], id)
	}
	avoided := map[string]bool{}
	for _, pool := range pools {
		maps.Copy(avoided, s.outliers.Avoided(time.Now(), pool))
	}
	return avoided
}

// publish replaces the snapshot and the changes.
func (t *Tracker) publish(s *state) {
	avoided := t.avoidedUpstreams(s)
	for id := range avoided {
		if !s.avoided[id] {
			logrus.WithFields(logrus.Fields{"upstream": id, "pool": s.upstreams[id].Pool}).Info("membership: Upstream avoided because requests from this host fail.")
		}
	}
	for id := range s.avoided {
		if !avoided[id] {
			logrus.WithField("upstream", id).Info("membership: Upstream no longer avoided.")
		}
	}
	s.avoided = avoided
	snapshot := newSnapshot(s.configuration, s.upstreams, s.firstSeen, avoided)
	snapshot.upstreamsKnown, snapshot.coldUntil, snapshot.evacuatedSince = s.upstreamsKnown, s.coldUpstreams(), maps.Clone(s.evacuatedSince)
	t.snapshot.Store(snapshot)
	if t.options.OnSnapshot != nil {
		t.options.OnSnapshot(snapshot)
	}
	old := t.changes.Swap(s.changes.snapshot(s.configuration, s.withTimeLeftCold(time.Now())))
	if old != nil {
		close(old.superseded)
	}
}

// Changes returns what this host sends to the hosts that follow it.
func (t *Tracker) Changes() *Changes { return t.changes.Load() }
