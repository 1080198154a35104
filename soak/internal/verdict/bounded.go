package verdict

import (
	"fmt"
	"slices"
	"time"
)

// calmWindow is the time over which requests at upstreams with too many are counted.
const calmWindow = 5 * time.Second

// bounded: in any calm time few requests find an upstream that has well over the mean of its pool.
func bounded(r *Record) (out []Violation) {
	runs := slices.SortedFunc(slices.Values(r.Runs), func(a, b Run) int { return a.At.Compare(b.At) })
	over := overBound(runs, max(r.PoolUpstreams, 1))
	from, sum := 0, 0
	for to, run := range runs {
		if over[to] {
			sum++
		}
		for run.At.Sub(runs[from].At) >= calmWindow {
			if over[from] {
				sum--
			}
			from++
		}
		all := to - from + 1
		if sum >= mostOver && float64(sum) > overShare*float64(all) && r.upstreamsCalm(runs[from].At, run.At) {
			return []Violation{{"load bound", fmt.Sprintf("%d of %d requests in five seconds up to %s reached upstreams that had more than they should", sum, all, run.At.Format(time.TimeOnly))}}
		}
	}
	return nil
}

// upstreamsCalm reports whether from a moment to another one no upstream and not all hosts were disturbed, nor shortly before.
func (r *Record) upstreamsCalm(from, to time.Time) bool {
	// The last fault may be of a kind that disturbs none of them.
	last := Span{From: r.FaultEnd, To: r.FaultEnd, Host: -1}
	for _, s := range append(slices.Concat(r.Upset, r.Disturbed), last) {
		if s.Host < 0 && s.From.Before(to) && s.To.Add(Recover).After(from) {
			return false
		}
	}
	return true
}

// overBound tells of each of the runs, which are in order, whether its upstream had more than it should as it came.
func overBound(runs []Run, upstreams int) []bool {
	ends := slices.SortedFunc(slices.Values(runs), func(a, b Run) int { return a.Ended.Compare(b.Ended) })
	// Runs that did not end as they should do not count.
	ends = slices.DeleteFunc(ends, func(run Run) bool { return run.Ended.IsZero() })
	pools, at := map[string]int{}, map[string]int{}
	over := make([]bool, len(runs))
	for i, run := range runs {
		for len(ends) > 0 && !ends[0].Ended.After(run.At) {
			pools[ends[0].Pool]--
			at[ends[0].Upstream]--
			ends = ends[1:]
		}
		mean := float64(pools[run.Pool]) / float64(upstreams)
		over[i] = float64(at[run.Upstream]) > LoadMultiple*mean+loadSlack
		if !run.Ended.IsZero() {
			pools[run.Pool]++
			at[run.Upstream]++
		}
	}
	return over
}
