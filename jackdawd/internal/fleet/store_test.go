package fleet

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
)

// countingStore is a store in memory that counts its calls and can be away.
type countingStore struct {
	mu      sync.Mutex
	calls   int
	away    bool
	notices []Record
	// barred are the notices of requests that are kept from upstreams; the history before trimmed is gone.
	barred  []boardRecord
	trimmed int
	// readOnly is set while the store takes no notices.
	readOnly bool
	// turnedAway are hosts that the store rejects while it serves the others.
	turnedAway map[string]bool
	// unanswered are hosts whose calls the store does not answer, mute those whose reads of the
	// configuration alone it does not answer.
	unanswered, mute map[string]bool
	// acknowledged are the moments at which versions of the configuration beyond the first were written.
	acknowledged []time.Time
	changed      chan struct{}
	// era counts how often the store came back from an older copy.
	era int64
}

// Record is what a host wrote of itself.
type Record struct {
	host   string
	notice []byte
}

var errAway = errors.New("store is away")

// call takes a call's time.
func (v *storeView) call(ctx context.Context) error {
	v.mu.Lock()
	v.calls++
	away, unanswered := v.away || v.turnedAway[v.host], v.unanswered[v.host]
	v.mu.Unlock()
	if unanswered {
		pause.For(ctx, storeTimeout)
		return errAway
	}
	pause.For(ctx, storeTakes)
	if away {
		return errAway
	}
	return ctx.Err()
}

// restore brings the store back from a copy that lacks all notices from one on, and all of barred requests.
func (s *countingStore) restore(from int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.notices, s.barred, s.trimmed = s.notices[:from], nil, 0
}

// takeBack brings back an earlier configuration, as an older copy holds it that lacks some versions, and returns how many it lacks.
func (s *countingStore) takeBack(versions int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions = min(versions, len(s.acknowledged))
	s.acknowledged = s.acknowledged[:len(s.acknowledged)-versions]
	return versions
}

// turnAwayWrites lets the store take no notices of hosts, or take them again.
func (s *countingStore) turnAwayWrites(readOnly bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readOnly = readOnly
}

// trim drops the history of the notices of barred requests; the newest of each is kept.
func (s *countingStore) trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimmed = len(s.barred)
}

// written returns how many notices there are.
func (s *countingStore) written() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.notices)
}

// write acknowledges another version of the configuration.
func (s *countingStore) write() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acknowledged = append(s.acknowledged, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

// newest returns the newest version of the configuration, and a channel that is closed by the next one.
func (s *countingStore) newest() (version int, next <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return firstVersion + len(s.acknowledged), s.changed
}

// answers reports whether the store answers a host's reads of the configuration.
func (v *storeView) answers() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.mute[v.host] && !v.unanswered[v.host]
}

func (s *countingStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *countingStore) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// storeView is the store as one process of a host follows it.
type storeView struct {
	*countingStore
	host     string
	position int
	// version is that of the last configuration which was returned.
	version int
	listed  bool
	// era is that of the position, listEra that of the last list of upstreams.
	era, listEra int64
}

// Put writes a notice.
func (v *storeView) Put(ctx context.Context, host string, notice []byte) error {
	if err := v.call(ctx); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.readOnly {
		return errAway
	}
	v.notices = append(v.notices, Record{host, notice})
	return nil
}

// Next returns the notices that were written since the last call.
func (v *storeView) Next(ctx context.Context) (notices map[string][]byte, whole bool, until traffic.LogPosition, err error) {
	if err := v.call(ctx); err != nil {
		return nil, false, traffic.LogPosition{}, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.era != v.countingStore.era {
		v.era, v.position = v.countingStore.era, 0
	}
	notices, whole = map[string][]byte{}, v.position == 0
	for _, r := range v.notices[v.position:] {
		notices[r.host] = r.notice
	}
	if whole {
		maps.DeleteFunc(notices, func(_ string, notice []byte) bool { return notice == nil })
	}
	v.position = len(v.notices)
	return notices, whole, traffic.LogPosition{Era: v.era, Offset: int64(v.position)}, nil
}

type viewedConfigurations struct{ *storeView }

// Next returns the newest configuration if it was not returned before; it waits for one.
func (c viewedConfigurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, error) {
	if err := c.call(ctx); err != nil {
		return nil, err
	}
	newest, next := c.newest()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if newest == c.version {
		select {
		case <-next:
		case <-timer.C:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	if !c.answers() {
		pause.For(ctx, storeTimeout)
		return nil, errAway
	}
	if newest, _ = c.newest(); newest == c.version {
		return nil, ctx.Err()
	}
	c.version = newest
	return decode(newest)
}

type viewedUpstreams struct{ *storeView }

// Next returns all upstreams once and then nothing.
func (u viewedUpstreams) Next(ctx context.Context) (traffic.UpstreamChange, error) {
	if err := u.call(ctx); err != nil {
		return traffic.UpstreamChange{}, err
	}
	u.mu.Lock()
	era := u.countingStore.era
	u.mu.Unlock()
	change := traffic.UpstreamChange{Whole: !u.listed || era != u.listEra, Restored: u.listed && era != u.listEra}
	u.listEra = era
	for i := range knownUpstreams {
		if change.Whole {
			change.Entries = append(change.Entries, traffic.Listed(traffic.Upstream{ID: fmt.Sprint("u", i), Pool: "reader", State: traffic.Ready}))
		}
	}
	u.listed = true
	return change, nil
}
