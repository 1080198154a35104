package queue

import (
	"slices"
	"sync"
)

const (
	// lengthSamples is how many answers of a class the estimate rests on.
	lengthSamples = 256
	// firstEstimate is the output length expected of a class without answers so far.
	firstEstimate = 128
	reEstimate    = 16
)

// Lengths estimates the output length of each class from its latest answers.
type Lengths struct {
	mu       sync.Mutex
	quantile float64
	classes  map[string]*lengths
}

type lengths struct {
	samples  []int
	at       int
	sinceEst int
	estimate int64
}

// NewLengths returns an estimator of a quantile of the output length, or of the mean if it is 0.
func NewLengths(quantile float64) *Lengths {
	return &Lengths{quantile: quantile, classes: map[string]*lengths{}}
}

// Observe takes in the output length of an answer.
func (e *Lengths) Observe(class string, tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.classes[class]
	if !ok {
		l = &lengths{}
		e.classes[class] = l
	}
	if len(l.samples) < lengthSamples {
		l.samples = append(l.samples, tokens)
	} else {
		l.samples[l.at] = tokens
		l.at = (l.at + 1) % lengthSamples
	}
	l.sinceEst++
	if l.sinceEst >= reEstimate || l.estimate == 0 {
		l.estimate = e.compute(l.samples)
		l.sinceEst = 0
	}
}

// Expect returns the tokens that an answer of a class is expected to take, at most limit if that is over 0.
func (e *Lengths) Expect(class string, limit int) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := int64(firstEstimate)
	if l, ok := e.classes[class]; ok {
		n = l.estimate
	}
	if limit > 0 {
		n = min(n, int64(limit))
	}
	return n
}

func (e *Lengths) compute(samples []int) int64 {
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
