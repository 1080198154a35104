package telemetry

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// bucketBounds are the upper bounds of the histogram buckets, each about 1.6 times the one before.
// They span from the duration of a placement to the longest time that a caller waits. Bucket counts
// can be summed over hosts to get fleet-wide quantiles; quantiles of single hosts can't.
var bucketBounds = []time.Duration{
	100 * time.Microsecond, 250 * time.Microsecond, 500 * time.Microsecond,
	time.Millisecond, 2500 * time.Microsecond, 5 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond,
	35 * time.Millisecond, 50 * time.Millisecond, 75 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond,
	250 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond, 800 * time.Millisecond, time.Second,
	1500 * time.Millisecond, 2500 * time.Millisecond, 5 * time.Second, 10 * time.Second, 20 * time.Second,
}

// A bucketHistogram is a histogram with fixed buckets. It takes 200 bytes and no lock, where the
// library's samples take 16 KB and a lock for each value.
type bucketHistogram struct {
	metrics.NilHistogram
	// counts holds the number of values per bucket; the last bucket is for values above all bounds.
	counts []atomic.Int64
	sum    atomic.Int64
}

func newBucketHistogram() metrics.Histogram {
	return &bucketHistogram{counts: make([]atomic.Int64, len(bucketBounds)+1)}
}

// Update adds a duration in nanoseconds.
func (b *bucketHistogram) Update(nanoseconds int64) {
	i := sort.Search(len(bucketBounds), func(i int) bool { return nanoseconds <= int64(bucketBounds[i]) })
	b.counts[i].Add(1)
	b.sum.Add(nanoseconds)
}

// Count returns the number of recorded durations.
func (b *bucketHistogram) Count() int64 {
	n := int64(0)
	for i := range b.counts {
		n += b.counts[i].Load()
	}
	return n
}

// Sum returns the sum of all recorded durations in nanoseconds.
func (b *bucketHistogram) Sum() int64 { return b.sum.Load() }

// cumulativeCounts returns, by bucket bound in seconds, the number of durations up to that bound.
func (b *bucketHistogram) cumulativeCounts() map[float64]uint64 {
	out := make(map[float64]uint64, len(bucketBounds))
	n := int64(0)
	for i, bound := range bucketBounds {
		n += b.counts[i].Load()
		out[bound.Seconds()] = uint64(n)
	}
	return out
}
