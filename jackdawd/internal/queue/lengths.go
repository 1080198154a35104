package queue

import (
	"slices"
	"sync"
)

const (
	// maxLengthSamples is how many of a class's latest responses the estimate is based on.
	maxLengthSamples = 256
	// defaultEstimate is the expected output length, in tokens, of a class without responses yet.
	defaultEstimate = 128
	// reestimateInterval is the number of new responses after which the estimate is updated.
	reestimateInterval = 16
)

// LengthEstimator estimates the output length of each class, in tokens, from its latest responses.
type LengthEstimator struct {
	mu       sync.Mutex
	quantile float64
	classes  map[string]*classLengths
}

type classLengths struct {
	samples    []int
	next       int
	newSamples int
	estimate   int64
}

// NewLengthEstimator returns an estimator of the given quantile of the output length, or of the
// mean if quantile is 0.
func NewLengthEstimator(quantile float64) *LengthEstimator {
	return &LengthEstimator{quantile: quantile, classes: map[string]*classLengths{}}
}

// Observe records the output length of a response, in tokens.
func (e *LengthEstimator) Observe(class string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.classes[class]
	if !ok {
		l = &classLengths{}
		e.classes[class] = l
	}
	if len(l.samples) < maxLengthSamples {
		l.samples = append(l.samples, tokens)
	} else {
		l.samples[l.next] = tokens
		l.next = (l.next + 1) % maxLengthSamples
	}
	l.newSamples++
	if l.newSamples >= reestimateInterval || l.estimate == 0 {
		l.estimate = e.computeEstimate(l.samples)
		l.newSamples = 0
	}
}

// Estimate returns the expected output length of a class, in tokens, capped at limit if that
// is positive.
func (e *LengthEstimator) Estimate(class string, limit int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := int64(defaultEstimate)
	if l, ok := e.classes[class]; ok {
		n = l.estimate
	}
	if limit > 0 {
		n = min(n, int64(limit))
	}
	return n
}

func (e *LengthEstimator) computeEstimate(samples []int) int64 {
	if e.quantile == 0 {
		sum := 0
		for _, n := range samples {
			sum += n
		}
		return int64(sum/len(samples)) + 1
	}
	sorted := slices.Sorted(slices.Values(samples))
	return int64(sorted[int(e.quantile*float64(len(sorted)-1))])
}
