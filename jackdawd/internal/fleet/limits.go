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
	// readerIntervalRatio scales the membership tracker's read interval of the upstreams for
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
	// handoverWait is how much later a host reads the list of upstreams from the store if the list
	// that its parent sent was older than its own, so that the parent's next list is newer even if
	// both read in step. The host's own list stays recent enough for its followers.
	handoverWait = listAgeSlack / 2
	// maxListRetryWait is how long a host that has lost the store waits at most before it reads the
	// list of upstreams again.
	maxListRetryWait = 4 * time.Second
	// defaultUpstreamInterval applies until the upstreams are first requested,
	// defaultMaxConfigurationAge where operators set no bound.
	defaultUpstreamInterval    = 1500 * time.Millisecond
	defaultMaxConfigurationAge = 2 * time.Second
	// unknownAge is the age of data that was never received.
	unknownAge = time.Hour
	// largeFleetThreshold is the number of hosts from which on a starting host does not read the
	// upstreams from the store but waits for other hosts to send them: after a power failure all
	// start at once.
	largeFleetThreshold = 100
	// smallFleetThreshold is the number of hosts below which each retries the store itself when its
	// parent is stale: the calls are few enough for the store.
	smallFleetThreshold = 32
	// minStartWait is how long a starting host that does not read the store keeps asking hosts that
	// have no data either, plus up to startWaitJitter at random.
	minStartWait    = 1500 * time.Millisecond
	startWaitJitter = 1500 * time.Millisecond
	// startRetryInterval is the interval between two calls of such a starting host.
	startRetryInterval = 50 * time.Millisecond
	// maxParentsTried is how many parents a host tries and leaves in a row before it reads the store.
	maxParentsTried = 3
	// staleRetryInterval is the minimum interval between two calls to a stale host.
	staleRetryInterval = 300 * time.Millisecond
	// staleSearchMargin is how long before its list of upstreams gets too old a host with a stale
	// parent starts to ask the heads of other failure domains for the store: all of them first,
	// then one each staleRetryInterval.
	staleSearchMargin = 4 * staleRetryInterval
	// minStaleWait is the minimum time that a host waits for a stale parent to recover.
	minStaleWait = 100 * time.Millisecond
	// listIntervalRatio is the fraction of the drain bound after which a reader's membership tracker
	// requests the upstreams again.
	listIntervalRatio = 0.75
)

// searchListAge returns the age of the list of upstreams at which a host with a stale parent asks
// elsewhere. It leaves time for a call there and a read of the store within the drain bound.
func (s *Source) searchListAge() time.Duration {
	return max(s.maxDrainDelay()-staleSearchMargin, s.maxPeerListAge()+minStaleWait)
}

// maxPeerListAge returns how old the list of upstreams of a followed host may be.
func (s *Source) maxPeerListAge() time.Duration {
	return s.readerInterval() + listAgeSlack
}

// readerInterval returns how often readers read the list of upstreams. Their followers learn the
// age of the configuration at the same interval.
func (s *Source) readerInterval() time.Duration {
	return time.Duration(readerIntervalRatio * min(float64(s.upstreamInterval.Load()), listIntervalRatio*float64(s.maxConfigurationAge())))
}

// readerWait returns how long a reader's read of the configuration is held open.
func (s *Source) readerWait() time.Duration {
	return min(maxReaderWait, time.Duration(readerWaitRatio*float64(s.maxConfigurationAge())))
}

// maxPeerConfigurationAge returns how old the configuration of a followed host may be.
func (s *Source) maxPeerConfigurationAge() time.Duration {
	return 2*s.readerWait() + s.readerInterval() + configurationAgeSlack
}

// maxConfigurationAge returns the operators' in-force bound: how long an old configuration may be
// acted on.
func (s *Source) maxConfigurationAge() time.Duration {
	if s.options.MaxConfigurationAge == nil {
		return defaultMaxConfigurationAge
	}
	if bound := s.options.MaxConfigurationAge(); bound > 0 {
		return bound
	}
	return defaultMaxConfigurationAge
}

// maxDrainDelay returns the operators' drain bound: how long a draining upstream may still be sent
// requests.
func (s *Source) maxDrainDelay() time.Duration {
	return time.Duration(float64(s.upstreamInterval.Load()) / listIntervalRatio)
}
