package verdict

import (
	"fmt"
	"slices"
	"time"
)

// loadWindow is the sliding window in which requests over the load limit are counted.
const loadWindow = 5 * time.Second

// checkLoadBound checks that in each window without faults few requests reach an upstream whose
// load is over the limit, a multiple of the mean of its pool.
func checkLoadBound(r *Record) (out []Violation) {
	executions := slices.SortedFunc(slices.Values(r.Executions), func(a, b Execution) int { return a.Started.Compare(b.Started) })
	isOver := overLimit(executions, max(r.PoolUpstreams, 1))
	first, overCount := 0, 0
	for last, e := range executions {
		if isOver[last] {
			overCount++
		}
		for e.Started.Sub(executions[first].Started) >= loadWindow {
			if isOver[first] {
				overCount--
			}
			first++
		}
		total := last - first + 1
		if overCount >= minOverLimit && float64(overCount) > maxOverLimitRatio*float64(total) && r.upstreamsUndisturbed(executions[first].Started, e.Started) {
			return []Violation{{"load bound", fmt.Sprintf("%d of %d requests in five seconds up to %s reached upstreams that had more than they should", overCount, total, e.Started.Format(time.TimeOnly))}}
		}
	}
	return nil
}

// upstreamsUndisturbed reports whether no fault of an upstream or of all hosts falls into a window
// or into the recovery time before it.
func (r *Record) upstreamsUndisturbed(from, to time.Time) bool {
	// FaultEnd counts as a fault of its own, as the last fault may be in neither list.
	faultEnd := Interval{From: r.FaultEnd, To: r.FaultEnd, Host: -1}
	for _, s := range append(slices.Concat(r.UpstreamFaults, r.HostFaults), faultEnd) {
		if s.Host < 0 && s.From.Before(to) && s.To.Add(MaxRecoveryTime).After(from) {
			return false
		}
	}
	return true
}

// overLimit reports for each execution, in order of start, whether its upstream was over the load
// limit when it started.
func overLimit(executions []Execution, upstreams int) []bool {
	ends := slices.SortedFunc(slices.Values(executions), func(a, b Execution) int { return a.Ended.Compare(b.Ended) })
	// Executions that did not end normally are not counted as load.
	ends = slices.DeleteFunc(ends, func(e Execution) bool { return e.Ended.IsZero() })
	poolLoads, loads := map[string]int{}, map[string]int{}
	isOver := make([]bool, len(executions))
	for i, e := range executions {
		for len(ends) > 0 && !ends[0].Ended.After(e.Started) {
			poolLoads[ends[0].Pool]--
			loads[ends[0].Upstream]--
			ends = ends[1:]
		}
		mean := float64(poolLoads[e.Pool]) / float64(upstreams)
		isOver[i] = float64(loads[e.Upstream]) > LoadMultiple*mean+loadAllowance
		if !e.Ended.IsZero() {
			poolLoads[e.Pool]++
			loads[e.Upstream]++
		}
	}
	return isOver
}
