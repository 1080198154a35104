package fleet

import (
	"time"
)

const (
	// followWait is how long a follower's call waits for something new. A sound reader reads the upstreams
	// again within that time, which is new, so that most calls end with it.
	followWait = 800 * time.Millisecond
	// followTimeout is how long beyond that an answer may take; a host that is frozen or cut off is left then.
	followTimeout = 300 * time.Millisecond
	// longestCall is how long a follower's call takes at most.
	longestCall = followWait + followTimeout
	// readerPace is the part of the usual pace at which a reader reads the upstreams, so
	// that a follower that has to leave it still learns of a change in time.
	readerPace = 0.5
	// waitShare is the part of the time for which an old configuration may be acted on that a reader's
	// read of it waits, longestReaderWait the most. A configuration is up to two such reads old at a reader, and
	// those below hear how old when the reader has read the upstreams.
	waitShare         = 0.125
	longestReaderWait = time.Second
	// staleSlack is how much older than that a configuration may be, for what reads may take while
	// the store is slow.
	staleSlack = 300 * time.Millisecond
	// listSlack is how much older than the time between two of its reads a reader's list of upstreams may be.
	listSlack = 400 * time.Millisecond
	// lostListWait is how long a host that has lost the store at most leaves the list of upstreams unread there.
	lostListWait = 4 * time.Second
	// usualPace holds until the upstreams are asked for, usualInForce where operators state no bound.
	usualPace    = 1500 * time.Millisecond
	usualInForce = 2 * time.Second
	// neverListed stands for the age of what was never read.
	neverListed = time.Hour
	// largeFleet is from how many hosts on one that has just started does not read the upstreams from the
	// store but waits for others to tell it: after a failure of power all start at once.
	largeFleet = 100
	// smallFleet is below how many hosts each looks for the store itself when the host above has lost it: their
	// calls are few enough for the store.
	smallFleet = 32
	// startPatience is how long such a host goes on asking others that know nothing
	// either, and startSpread how much longer at random.
	startPatience = 1500 * time.Millisecond
	startSpread   = 1500 * time.Millisecond
	// startPause is the time between two questions of such a host.
	startPause = 50 * time.Millisecond
	// mostParents is how many hosts are asked one after the other before the store is.
	mostParents = 3
	// lostPause is the least time between two questions to a host that has lost the store.
	lostPause = 300 * time.Millisecond
	// lostMargin is how long before its list of upstreams is too old a host that waits for one above begins to
	// ask other failure domains' first hosts for the store: all of them, then one each lostPause.
	lostMargin = 4 * lostPause
	// leastLost is for how long a host waits in any case for the one above to find the store.
	leastLost = 100 * time.Millisecond
	// drainShare is the part of the time for which a leaving upstream may be sent work after
	// which a reader's keeper asks for the upstreams again.
	drainShare = 0.75
)

// mostLost returns how old the list of upstreams may become before a host asks elsewhere: a
// question there and a read of the store fit into the time for which an upstream that leaves
// may be sent work.
func (s *Source) mostLost() time.Duration {
	return max(s.drain()-lostMargin, s.oldestList()+leastLost)
}

// oldestList returns how old the list of upstreams of a host that is followed may be.
func (s *Source) oldestList() time.Duration {
	return s.readerInterval() + listSlack
}

// readerInterval returns how often readers read the list of upstreams. Those below hear with it how old the
// configuration is.
func (s *Source) readerInterval() time.Duration {
	return time.Duration(readerPace * min(float64(s.pace.Load()), drainShare*float64(s.inForce())))
}

// readerWait returns how long a reader's read of the configuration waits.
func (s *Source) readerWait() time.Duration {
	return min(longestReaderWait, time.Duration(waitShare*float64(s.inForce())))
}

// oldestConfiguration returns how old the configuration of a host that is followed may be.
func (s *Source) oldestConfiguration() time.Duration {
	return 2*s.readerWait() + s.readerInterval() + staleSlack
}

// inForce returns for how long operators let an old configuration be acted on.
func (s *Source) inForce() time.Duration {
	if s.options.InForce == nil {
		return usualInForce
	}
	if bound := s.options.InForce(); bound > 0 {
		return bound
	}
	return usualInForce
}

// drain returns for how long operators let an upstream that leaves be sent work.
func (s *Source) drain() time.Duration { return time.Duration(float64(s.pace.Load()) / drainShare) }
