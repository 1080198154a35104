package membership

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
)

// followConfiguration reads the configuration until the context ends.
func (k *Keeper) followConfiguration(ctx context.Context) {
	wait, retry := time.Duration(0), time.Duration(0)
	away := false
	for ctx.Err() == nil {
		sent := k.options.Uptime()
		c, behind, err := k.options.Configurations.Next(ctx, wait)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !away {
				logrus.WithError(err).WithField("age", k.Age().String()).Warn("membership: The configuration cannot be read. The last one stays in force.")
			}
			away, wait, retry = true, 0, nextRetry(retry)
			pause.For(ctx, retry+rand.N(retry/2))
			continue
		}
		if away {
			logrus.Info("membership: The configuration can be read again.")
		}
		away, wait, retry = false, k.wait(), 0
		if c == nil {
			k.hear(sent - behind)
			continue
		}
		k.tell(ctx, func(b *beliefs) {
			k.takeConfiguration(b, c, k.options.Uptime()-sent+behind)
			// Only now is what was read in force here.
			k.hear(sent - behind)
		})
	}
}

// hear notes the moment up to which the configuration is known.
func (k *Keeper) hear(at time.Duration) {
	// Another host may be further behind than what was read here before.
	if int64(at) > k.heard.Load() {
		k.heard.Store(int64(at))
	}
}

// nextRetry returns the pause after a failed read that follows one with the pause given.
func nextRetry(last time.Duration) time.Duration {
	return min(max(2*last, retryAfter), longestRetry)
}

// takeConfiguration puts a configuration into force that is known up to so long ago as age says.
func (k *Keeper) takeConfiguration(b *beliefs, c *traffic.Configuration, age time.Duration) {
	if b.configuration != nil && c.Version() <= b.configuration.Version() {
		// The store may return the newest record again; an older one never comes
		// into force after a newer one.
		return
	}
	b.configuration = c
	logrus.WithFields(logrus.Fields{"version": c.Version(), "routes": c.Routes(), "age": age.String()}).Info("membership: A configuration is in force.")
	k.publish(b)
}

// followUpstreams reads the list of upstreams until the context ends.
func (k *Keeper) followUpstreams(ctx context.Context) {
	var returned time.Time
	var retry time.Duration
	answered := time.Now()
	away := false
	for ctx.Err() == nil {
		change, err := k.options.Upstreams.Next(ctx, time.Duration(listShare*float64(k.bounds.Load().Drain)))
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !away {
				logrus.WithError(err).Warn("membership: The upstreams cannot be read. The last list stays in use.")
			}
			away, retry = true, nextRetry(retry)
			pause.For(ctx, retry+rand.N(retry/2))
			continue
		}
		if away {
			away = false
			if time.Since(answered) > k.bounds.Load().Lapse {
				returned = time.Now()
			}
			logrus.Info("membership: The upstreams can be read again.")
		}
		if change.Restored {
			returned = time.Now()
		}
		retry, answered = 0, time.Now()
		giveUpAt := returned.Add(lapseGrace)
		k.do(ctx, func(b *beliefs) { k.takeUpstreams(b, change, giveUpAt) })
	}
}
