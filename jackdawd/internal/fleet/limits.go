package fleet

import (
	"time"
)

const (
	// followPollWait is how long a follower's call is held open for an update. A healthy reader
	// reads the upstreams again within that time, which counts as an update, so most calls end with
	// one.
	followPollWait = 800 * time.Millisecond
	// followTimeout is how long an answer may take beyond that. After it a frozen or disconnected
	// parent is left.
	followTimeout = 300 * time.Millisecond
	// maxCallTimeout is the maximum duration of a follower's call.
	maxCallTimeout = followPollWait + followTimeout
	// readerIntervalRatio scales the membership keeper's read interval of the upstreams for
	// readers, so that a follower that has to leave its reader still learns of a change in time.
	readerIntervalRatio = 0.5
	// readerWaitRatio is the fraction of the in-force bound for which a reader's read of the
	// configuration is held open, up to maxReaderWait. A reader's configuration is up to two such
	// reads old, and its followers learn that age when the reader has read the upstreams.
	readerWaitRatio = 0.125
	maxReaderWait   = time.Second
	// configurationAgeSlack is added to the maximum configuration age for slow reads of the store.
	configurationAgeSlack = 300 * time.Millisecond
	// listAgeSlack is how much older than its read interval a reader's list of upstreams may be.
	listAgeSlack = 400 * time.Millisecond
	// maxListRetryWait is how long a host that has lost the store waits at most before it reads the
	// list of upstreams again.
	maxListRetryWait = 4 * time.Second
	// defaultUpstreamInterval applies until the upstreams are first requested, defaultInForce where
	// operators set no bound.
	defaultUpstreamInterval = 1500 * time.Millisecond
	defaultInForce          = 2 * time.Second
	// unknownAge is the age of data that was never received.
	unknownAge = time.Hour
	// largeFleetThreshold is the number of hosts from which on a starting host does not read the
	// upstreams from the store but waits for other hosts to send them: after a power failure all
	// start at once.
	largeFleetThreshold = 100
	// smallFleetThreshold is the number of hosts below which each retries the store itself when its
	// parent is stale: the calls are few enough for the store.
	smallFleetThreshold = 32
	// minStartWait is how long such a host keeps asking hosts that have no data either, plus up to
	// startWaitJitter at random.
	minStartWait    = 1500 * time.Millisecond
	startWaitJitter = 1500 * time.Millisecond
	// startRetryInterval is the interval between two calls of such a host.
	startRetryInterval = 50 * time.Millisecond
	// maxParentsTried is the number of parents that are left in a row before the store is read.
	maxParentsTried = 3
	// staleRetryInterval is the minimum interval between two calls to a stale host.
	staleRetryInterval = 300 * time.Millisecond
	// staleSearchMargin is how long before its list of upstreams gets too old a host with a stale
	// parent starts to ask the heads of other failure domains for the store: all of them first,
	// then one each staleRetryInterval.
	staleSearchMargin = 4 * staleRetryInterval
	// minStaleWait is the minimum time that a host waits for a stale parent to recover.
	minStaleWait = 100 * time.Millisecond
	// drainRatio is the fraction of the drain bound after which a reader's membership keeper
	// requests the upstreams again.
	drainRatio = 0.75
)

// searchListAge returns the age of the list of upstreams at which a host with a stale parent asks
// elsewhere. It leaves time for a call there and a read of the store within the drain bound.
func (s *Source) searchListAge() time.Duration {
	return max(s.drain()-staleSearchMargin, s.maxListAge()+minStaleWait)
}

// maxListAge returns how old the list of upstreams of a followed host may be.
func (s *Source) maxListAge() time.Duration {
	return s.readerInterval() + listAgeSlack
}

// readerInterval returns how often readers read the list of upstreams. Their followers learn the
// age of the configuration at the same interval.
func (s *Source) readerInterval() time.Duration {
	return time.Duration(readerIntervalRatio * min(float64(s.upstreamInterval.Load()), drainRatio*float64(s.inForce())))
}

// readerWait returns how long a reader's read of the configuration is held open.
func (s *Source) readerWait() time.Duration {
	return min(maxReaderWait, time.Duration(readerWaitRatio*float64(s.inForce())))
}

// maxConfigurationAge returns how old the configuration of a followed host may be.
func (s *Source) maxConfigurationAge() time.Duration {
	return 2*s.readerWait() + s.readerInterval() + configurationAgeSlack
}

// inForce returns the operators' bound on how long an old configuration may be acted on.
func (s *Source) inForce() time.Duration {
	if s.options.InForce == nil {
		return defaultInForce
	}
	if bound := s.options.InForce(); bound > 0 {
		return bound
	}
	return defaultInForce
}

// drain returns the operators' bound on how long a draining upstream may still be sent requests.
func (s *Source) drain() time.Duration {
	return time.Duration(float64(s.upstreamInterval.Load()) / drainRatio)
}
