package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
)

// pollConfiguration reads the configuration until the context ends.
func (t *Tracker) pollConfiguration(ctx context.Context) {
	wait, retry := time.Duration(0), time.Duration(0)
	unavailable := false
	for ctx.Err() == nil {
		sent := t.options.Uptime()
		c, sourceAge, err := t.options.Configurations.Next(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !unavailable {
				logrus.WithError(err).WithField("age", t.Age().String()).Warn("membership: Reading the configuration failed. The last one stays in force.")
			}
			unavailable, wait, retry = true, 0, nextRetryInterval(retry)
			pause.For(ctx, retry+rand.N(retry/2))
			continue
		}
		if unavailable {
			logrus.Info("membership: Reading the configuration succeeds again.")
		}
		unavailable, wait, retry = false, t.pollWait(), 0
		if c == nil {
			// A configuration that was read before may not be in force yet.
			t.enqueue(ctx, func(*state) { t.confirm(sent - sourceAge) })
			continue
		}
		t.enqueue(ctx, func(s *state) {
			t.applyConfiguration(s, c, t.options.Uptime()-sent+sourceAge)
			// The configuration counts as confirmed only once it is in force.
			t.confirm(sent - sourceAge)
		})
	}
}

// confirm records up to which uptime the configuration in force is known to be the latest.
func (t *Tracker) confirm(at time.Duration) {
	// A reply of another host may be older than what this host has read before.
	if int64(at) > t.confirmedAt.Load() {
		t.confirmedAt.Store(int64(at))
	}
}

// nextRetryInterval returns the interval after a failed read, given the one before it.
func nextRetryInterval(last time.Duration) time.Duration {
	return min(max(2*last, minRetryInterval), maxRetryInterval)
}

// applyConfiguration puts a configuration into force; age is how old it may be.
func (t *Tracker) applyConfiguration(s *state, c *traffic.Configuration, age time.Duration) {
	now, old := time.Now(), s.configuration
	merged := s.mergeConfiguration(now, c)
	if merged == nil {
		return
	}
	s.configuration = merged
	if old == nil || old.Evacuations().Position.Era != merged.Evacuations().Position.Era {
		s.restoredAt = now
	}
	if old == nil || old.Version() != merged.Version() {
		logrus.WithFields(logrus.Fields{"version": merged.Version(), "routes": merged.RouteCount(), "age": age.String()}).Info("membership: A new configuration is in force.")
	}
	s.updateEvacuations(now, merged.Evacuations().Domains)
	t.publish(s)
}

// pollUpstreams reads the list of upstreams until the context ends.
func (t *Tracker) pollUpstreams(ctx context.Context) {
	var recoveredAt time.Time
	var retry time.Duration
	lastRead := time.Now()
	unavailable := false
	for ctx.Err() == nil {
		change, err := t.options.Upstreams.Next(ctx, time.Duration(listIntervalRatio*float64(t.bounds.Load().MaxDrainDelay)))
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !unavailable {
				logrus.WithError(err).Warn("membership: Reading the list of upstreams failed. The last list stays in use.")
			}
			unavailable, retry = true, nextRetryInterval(retry)
			pause.For(ctx, retry+rand.N(retry/2))
			continue
		}
		if unavailable {
			unavailable = false
			if time.Since(lastRead) > t.bounds.Load().EntryTTL {
				recoveredAt = time.Now()
			}
			logrus.Info("membership: Reading the list of upstreams succeeds again.")
		}
		if change.Restored {
			recoveredAt = time.Now()
		}
		retry, lastRead = 0, time.Now()
		graceEnd := recoveredAt.Add(expiryGracePeriod)
		t.enqueueAndWait(ctx, func(s *state) { t.applyUpstreamChange(s, change, graceEnd) })
	}
}
