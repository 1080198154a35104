package membership

import (
	"cmp"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

// beliefs is what only the control goroutine touches.
type beliefs struct {
	configuration *traffic.Configuration
	// late is set while the configuration may be older than operators allow.
	late   bool
	listed map[string]traffic.Upstream
	// known is set once the upstreams have been listed.
	known bool
	// since holds when each listed upstream was listed first.
	since map[string]time.Time
	// newest holds which entry of each upstream is the newest, also of those that are gone.
	newest map[string]entryOrder
	// lapsing holds when an upstream that is no longer listed is given up.
	lapsing  map[string]time.Time
	evidence *control.Evidence
	avoided  map[string]bool
	leavers  *leavers
	log      changeLog
}

// entryOrder orders the entries of an upstream: those of a later start are newer, and each
// start numbers its own.
type entryOrder struct {
	incarnation traffic.Incarnation
	sequence    int64
}

func orderOf(u traffic.Upstream) entryOrder {
	return entryOrder{incarnation: u.Incarnation, sequence: u.Sequence}
}

func (o entryOrder) compare(other entryOrder) int {
	return cmp.Or(cmp.Compare(o.incarnation, other.incarnation), cmp.Compare(o.sequence, other.sequence))
}

// replaced reports whether an upstream has started again since the start given.
func (b *beliefs) replaced(start traffic.Start) bool {
	u, ok := b.listed[start.ID]
	return ok && u.Incarnation != start.Incarnation
}

// takeUpstreams takes in a change; what is gone is believed in until giveUpAt,
// because entries lapse while the store is away though their upstreams live.
func (k *Keeper) takeUpstreams(b *beliefs, change traffic.UpstreamChange, giveUpAt time.Time) {
	for _, err := range change.Skipped {
		logrus.WithError(err).Warn("membership: An upstream's entry was skipped.")
	}
	changed := !b.known
	b.known = true
	lapsed := b.lapsed(change)
	for _, e := range change.Entries {
		u, known := b.listed[e.ID]
		switch {
		case e.Upstream != nil:
			changed = b.list(*e.Upstream) || changed
		case known && lapsed[u.Pool] && !e.Unusable:
			b.lapsing[e.ID] = giveUpAt
		case known:
			b.lapsing[e.ID] = time.Time{}
		}
	}
	for id := range b.missing(change) {
		if _, lapsing := b.lapsing[id]; lapsing {
			continue
		}
		b.lapsing[id] = time.Time{}
		if lapsed[b.listed[id].Pool] {
			b.lapsing[id] = giveUpAt
		}
	}
	if !k.expire(b, time.Now()) && changed {
		k.publish(b)
	}
}

// lapsed returns the pools of which a change removes so much that the entries must have
// lapsed while the store was away.
//
// A host that was cut off alone finds the same gap in its reads, and what is gone then has
// left: believed in, upstreams were sent work 2.9 s after they had said that they leave,
// where 2 s are allowed. Entries that lapse do so for all upstreams, and without its
// belief the host would have nowhere to send work; of those that leave meanwhile most stay.
func (b *beliefs) lapsed(change traffic.UpstreamChange) map[string]bool {
	gone := map[string]bool{}
	for _, e := range change.Entries {
		gone[e.ID] = e.Upstream == nil && !e.Unusable
	}
	for id := range b.missing(change) {
		gone[id] = true
	}
	known, without := map[string]int{}, map[string]int{}
	for id, u := range b.listed {
		known[u.Pool]++
		if _, lapsing := b.lapsing[id]; lapsing || gone[id] {
			without[u.Pool]++
		}
	}
	lapsed := map[string]bool{}
	for pool, n := range without {
		lapsed[pool] = change.Restored || float64(n) >= lapsedShare*float64(known[pool])
	}
	return lapsed
}

// missing returns the upstreams known that a whole list lacks.
func (b *beliefs) missing(change traffic.UpstreamChange) map[string]bool {
	missing := map[string]bool{}
	if !change.Whole {
		return missing
	}
	for id := range b.listed {
		missing[id] = true
	}
	for _, e := range change.Entries {
		if e.Upstream != nil || e.Unusable {
			delete(missing, e.ID)
		}
	}
	return missing
}

// remove drops an upstream.
func (b *beliefs) remove(id string) {
	delete(b.listed, id)
	delete(b.since, id)
	b.log.add(traffic.Gone(id))
}

// list takes in an upstream's entry and reports whether it says anything new.
func (b *beliefs) list(u traffic.Upstream) bool {
	last, met := b.newest[u.ID]
	if u.Incarnation == 0 && last.incarnation != 0 {
		// An upstream that says when it started always does: somebody else wrote this in
		// the place of its entry, and may have named an address that is not the upstream's.
		b.lapsing[u.ID] = time.Time{}
		return false
	}
	order := orderOf(u).compare(last)
	if met && order < 0 {
		// An entry that was held up on its way says "ready" after the one that says
		// "leaving", or after its upstream is gone; believing it would send work to
		// an upstream that leaves. Upstreams number their entries.
		return false
	}
	old, known := b.listed[u.ID]
	if met && !known && order <= 0 {
		// Another host that has not heard yet that the upstream is gone still tells of
		// it. An upstream that lives numbers its next entry higher.
		return false
	}
	if b.leavers.has(u.Start()) || known && order == 0 && old.State == traffic.Leaving {
		// Of two entries of one number another host made one from what the upstream said since.
		u.State = traffic.Leaving
	}
	_, back := b.lapsing[u.ID]
	if back && order == 0 {
		return false
	}
	delete(b.lapsing, u.ID)
	b.newest[u.ID] = orderOf(u)
	b.listed[u.ID] = u
	restarted := known && u.Incarnation != old.Incarnation
	if !known || restarted {
		b.since[u.ID] = time.Now()
	}
	if restarted {
		// How it failed before it started again would keep it from the traffic that it can take now.
		b.evidence.Drop(u.ID)
		logrus.WithField("upstream", u.ID).Info("membership: An upstream has started again.")
	}
	old.Sequence = u.Sequence
	if known && reflect.DeepEqual(old, u) {
		if back {
			// A host that follows this one may have given the upstream up meanwhile.
			b.log.add(traffic.Listed(u))
		}
		return back
	}
	b.log.add(traffic.Listed(u))
	logrus.WithFields(logrus.Fields{"upstream": u.ID, "pool": u.Pool, "state": u.State}).Info("membership: An upstream's entry changed.")
	return true
}

// expire gives up the upstreams whose grace has ended, and reports whether there were any.
func (k *Keeper) expire(b *beliefs, now time.Time) bool {
	changed := false
	for id, at := range b.lapsing {
		if now.Before(at) {
			continue
		}
		delete(b.lapsing, id)
		b.remove(id)
		changed = true
		logrus.WithField("upstream", id).Info("membership: An upstream is gone.")
	}
	if !changed {
		return false
	}
	listed := map[string]bool{}
	for id := range b.listed {
		listed[id] = true
	}
	b.evidence.Forget(listed)
	b.forgetOrders()
	k.publish(b)
	return true
}

// forgetOrders drops what is remembered of upstreams that are gone once it is
// much, and any entry of them that was held up has long come.
func (b *beliefs) forgetOrders() {
	if len(b.newest) <= 2*len(b.listed)+rememberedGone {
		return
	}
	for id := range b.newest {
		if _, ok := b.listed[id]; !ok {
			delete(b.newest, id)
		}
	}
}
