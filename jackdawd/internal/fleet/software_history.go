package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/monotonic"
	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/resumption"
)

// HistoryStore stores which software versions the upstreams of pools have had, for hosts that start
// when all others do too.
type HistoryStore interface {
	// Put stores the history of a pool.
	Put(ctx context.Context, pool string, history []byte) error
	// All returns the histories of all pools.
	All(ctx context.Context) (map[string][]byte, error)
}

// storedPresence is the stored form of a resumption.Presence. Times are in Unix milliseconds; Until is
// 0 while there are upstreams of the version.
type storedPresence struct {
	Version string `json:"version"`
	Since   int64  `json:"since"`
	Until   int64  `json:"until,omitempty"`
}

func encodeHistory(presences []resumption.Presence) ([]byte, error) {
	var stored []storedPresence
	for _, p := range presences {
		s := storedPresence{Version: p.Version, Since: p.Since.UnixMilli()}
		if !p.Until.IsZero() {
			s.Until = p.Until.UnixMilli()
		}
		stored = append(stored, s)
	}
	return json.Marshal(stored)
}

func decodeHistory(now time.Time, data []byte) ([]resumption.Presence, error) {
	var stored []storedPresence
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, err
	}
	var presences []resumption.Presence
	for _, s := range stored {
		p := resumption.Presence{Version: s.Version, Since: monotonic.FromUnixMilli(now, s.Since)}
		if s.Until != 0 {
			p.Until = monotonic.FromUnixMilli(now, s.Until)
		}
		presences = append(presences, p)
	}
	return presences, nil
}

// ObserveUpstreams updates the history of software versions with the upstreams that are listed now. It
// does not block.
func (s *Source) ObserveUpstreams(pools map[string][]*traffic.Upstream) {
	now := time.Now()
	for _, pool := range s.options.History.Observe(now, pools) {
		if !s.options.History.IsMixed(now, pool) {
			continue
		}
		s.markHistoryUnsaved(pool)
		go s.sendOwnStreams(pool)
	}
	s.historyChanged.raise()
}

// keepHistory reads the stored history once, and then stores what changes while this host reads the
// store for others.
func (s *Source) keepHistory(ctx context.Context) {
	for backoff := time.Duration(0); !s.options.FirstStart && !s.loadHistory(ctx); {
		backoff = nextStoreBackoff(backoff)
		if pause.For(ctx, backoff); ctx.Err() != nil {
			return
		}
	}
	s.fetchHeldStreams(ctx)
	for backoff := time.Duration(0); ctx.Err() == nil; {
		changed := s.historyChanged.raised()
		if !s.saveHistory(ctx) {
			backoff = nextStoreBackoff(backoff)
			pause.For(ctx, backoff)
			continue
		}
		backoff = 0
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// loadHistory reads the stored history and reports whether it could.
func (s *Source) loadHistory(ctx context.Context) bool {
	encoded, err := s.options.HistoryStore.All(ctx)
	if err != nil {
		logrus.WithError(err).Info("fleet: Reading the history of software versions failed. Streams may not be resumable until it is read.")
		return false
	}
	now, stored := time.Now(), map[string][]resumption.Presence{}
	for pool, data := range encoded {
		presences, err := decodeHistory(now, data)
		if err != nil {
			logrus.WithError(err).WithField("pool", pool).Warn("fleet: Ignoring a history of software versions that cannot be decoded.")
			continue
		}
		stored[pool] = presences
	}
	s.options.History.Merge(now, stored)
	return true
}

// saveHistory stores the histories that have changed, and reports whether it could.
func (s *Source) saveHistory(ctx context.Context) (ok bool) {
	s.historyMu.Lock()
	pools := s.unsavedHistory
	s.unsavedHistory = map[string]bool{}
	s.historyMu.Unlock()
	ok = true
	for pool := range pools {
		if s.following.Load() != nil {
			// The followed host, or one above it, stores them. This one does if it loses that host.
			s.markHistoryUnsaved(pool)
			continue
		}
		if err := s.putHistory(ctx, pool); err != nil {
			logrus.WithError(err).WithField("pool", pool).Info("fleet: Storing the history of software versions failed.")
			s.markHistoryUnsaved(pool)
			ok = false
		}
	}
	return ok
}

// saveHistoryAgain stores the histories of all mixed pools, which a store that was restored from an
// older backup may lack.
func (s *Source) saveHistoryAgain() {
	for _, pool := range s.options.History.MixedPools(time.Now()) {
		s.markHistoryUnsaved(pool)
	}
	s.historyChanged.raise()
}

func (s *Source) markHistoryUnsaved(pool string) {
	s.historyMu.Lock()
	defer s.historyMu.Unlock()
	s.unsavedHistory[pool] = true
}

func (s *Source) putHistory(ctx context.Context, pool string) error {
	data, err := encodeHistory(s.options.History.Presences(pool))
	if err != nil {
		return err
	}
	return s.options.HistoryStore.Put(ctx, pool, data)
}
