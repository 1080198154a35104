package membership

import (
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/control"
)

// beliefs is what only the control goroutine touches.
type beliefs struct {
	configuration *traffic.Configuration
	listed        map[string]traffic.Upstream
	// known is set once the upstreams have been listed.
	known bool
	// since holds when each listed upstream was listed first.
	since map[string]time.Time
	// sequences holds the newest entry's number of each upstream, also of those that are gone.
	sequences map[string]int64
	// lapsing holds when an upstream that is no longer listed is given up.
	lapsing  map[string]time.Time
	evidence *control.Evidence
	avoided  map[string]bool
	log      changeLog
}

// takeUpstreams takes in a change; what is gone is believed in until giveUpAt,
// because entries lapse while the store is away though their upstreams live.
func (k *Keeper) takeUpstreams(b *beliefs, change traffic.UpstreamChange, giveUpAt time.Time) {
	for _, err := range change.Skipped {
		logrus.WithError(err).Warn("membership: An upstream's entry was skipped.")
	}
	changed := !b.known
	b.known = true
	listed := map[string]bool{}
	for _, e := range change.Entries {
		listed[e.ID] = e.Upstream != nil
		if e.Upstream != nil {
			changed = b.list(*e.Upstream) || changed
		} else if _, ok := b.listed[e.ID]; ok {
			b.lapsing[e.ID] = giveUpAt
		}
	}
	for id := range b.listed {
		if _, lapsing := b.lapsing[id]; change.Whole && !listed[id] && !lapsing {
			b.lapsing[id] = giveUpAt
		}
	}
	if !k.expire(b, time.Now()) && changed {
		k.publish(b)
	}
}

// remove drops an upstream.
func (b *beliefs) remove(id string) {
	delete(b.listed, id)
	delete(b.since, id)
	b.log.add(traffic.Gone(id))
}

// list takes in an upstream's entry and reports whether it says anything new.
func (b *beliefs) list(u traffic.Upstream) bool {
	if u.Sequence < b.sequences[u.ID] {
		// An entry that was held up on its way says "ready" after the one that says
		// "leaving", or after its upstream is gone; believing it would send work to
		// an upstream that leaves. Upstreams number their entries.
		return false
	}
	old, known := b.listed[u.ID]
	if last, met := b.sequences[u.ID]; met && !known && u.Sequence <= last {
		// Another host that has not heard yet that the upstream is gone still tells of
		// it. An upstream that lives numbers its next entry higher.
		return false
	}
	if _, lapsing := b.lapsing[u.ID]; lapsing && u.Sequence == b.sequences[u.ID] {
		return false
	}
	_, back := b.lapsing[u.ID]
	delete(b.lapsing, u.ID)
	b.sequences[u.ID] = u.Sequence
	b.listed[u.ID] = u
	if !known {
		b.since[u.ID] = time.Now()
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
	b.forgetSequences()
	k.publish(b)
	return true
}

// forgetSequences drops what is remembered of upstreams that are gone once it is
// much, and any entry of them that was held up has long come.
func (b *beliefs) forgetSequences() {
	if len(b.sequences) <= 2*len(b.listed)+rememberedGone {
		return
	}
	for id := range b.sequences {
		if _, ok := b.listed[id]; !ok {
			delete(b.sequences, id)
		}
	}
}
