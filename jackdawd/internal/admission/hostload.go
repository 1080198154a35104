package admission

import "time"

const (
	// minHostDelay is the scheduling delay from which a host refuses some of its new requests,
	// maxHostDelay the one from which it refuses all of them. Several such delays in a row pass until
	// the upstream of a caller that has disconnected stops working.
	minHostDelay = 50 * time.Millisecond
	maxHostDelay = 150 * time.Millisecond
	// minConnectionDelay and maxConnectionDelay are the same for new connections at a host with more
	// than its share of the requests. They are lower, so that requests that are read are served.
	minConnectionDelay = 20 * time.Millisecond
	maxConnectionDelay = 60 * time.Millisecond
	// minSkewRatio is how many times its even share of all requests a host must have for other hosts
	// to have processor time to spare.
	minSkewRatio = 2
)

// HostRefusalRatio returns the ratio of its new requests that a host must refuse because its work waits
// for the processor for the given time. Work beyond the processor's capacity delays everything on the
// host alike: callers give up before they are heard, and upstreams go on with their requests.
func HostRefusalRatio(schedulingDelay time.Duration) float64 {
	return ratioBetween(schedulingDelay, minHostDelay, maxHostDelay)
}

// A HostShare is how many requests in progress a host has, and how many all others have together.
type HostShare struct {
	Own    float64
	Others float64
	// OthersSeen is set if others had any a moment ago, which shows that they are up.
	OthersSeen bool
	// Hosts is the number of hosts of the fleet.
	Hosts int
}

// IsSkewed reports whether the host has far more requests than others that are up.
func (s HostShare) IsSkewed() bool {
	return s.OthersSeen && s.Hosts > 1 && s.Own*float64(s.Hosts) > minSkewRatio*(s.Own+s.Others)
}

// ConnectionRefusalRatio returns the ratio of its new connections that a host must close unread because
// its work waits for the processor for the given time. The callers then try other hosts at once. It
// closes none while the others have about as many requests: where all are busy, a refusal that tells
// callers when to return is better.
func ConnectionRefusalRatio(schedulingDelay time.Duration, share HostShare) float64 {
	if !share.IsSkewed() {
		return 0
	}
	return ratioBetween(schedulingDelay, minConnectionDelay, maxConnectionDelay)
}

// IsBusy reports whether a host's work waits for the processor for so long that it may have to close new
// connections.
func IsBusy(schedulingDelay time.Duration) bool { return schedulingDelay > minConnectionDelay }

// ratioBetween returns how far a delay is on the way from one to another, from 0 to 1.
func ratioBetween(delay, from, to time.Duration) float64 {
	return min(max(float64(delay-from)/float64(to-from), 0), 1)
}
