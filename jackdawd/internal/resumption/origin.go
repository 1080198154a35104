package resumption

import "jackdawhinge/common/traffic"

// An Origin says which software began a stream and how that is known.
type Origin struct {
	// Software is 0 if it is not known.
	Software traffic.Software
	Source   Source
	// Asked and Answered count the other hosts that were asked and that answered.
	Asked, Answered int
}

// A Source is how the software that began a stream is known.
type Source string

// The sources.
const (
	// ThisHost: this host has the record.
	ThisHost Source = "this-host"
	// OtherHost: another host has the record.
	OtherHost Source = "other-host"
	// OnlyVersion: the pool has had no other version for as long as streams are remembered.
	OnlyVersion Source = "only-version"
	// BeforeOtherVersion: there is no record, and the pool had no other version until a moment ago.
	BeforeOtherVersion Source = "before-other-version"
	// Unknown: the software is not known.
	Unknown Source = "unknown"
)

// NewOrigin returns the origin of a stream whose version follows from the history of its pool.
func NewOrigin(pool, version string, source Source) Origin {
	return Origin{Software: traffic.NewSoftware(pool, version), Source: source}
}

// InferredFrom returns the origin with the software that follows from the history of the pool.
func (o Origin) InferredFrom(pool, version string, source Source) Origin {
	o.Software, o.Source = traffic.NewSoftware(pool, version), source
	return o
}
