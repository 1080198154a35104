package plan

import "time"

// A Regression is a seed whose run failed in the past.
type Regression struct {
	Seed uint64
	// FaultDuration is how long faults are injected; 0 for as long as usual.
	FaultDuration time.Duration
	// Needed is the kind of fault without which the run would not have failed.
	Needed Kind
	// Cause is the fault of the system that was found and fixed then.
	Cause string
}

// Regressions returns the seeds of all runs that failed in the past.
func Regressions() []Regression {
	return []Regression{
		{Seed: 403, Needed: CrashUpstream, Cause: "a stream whose engine crashed between two events was taken for whole"},
		{Seed: 435, Needed: CrashUpstream, Cause: "the same, of four callers"},
		{Seed: 3015, Needed: EvacuateDomain, Cause: "a cold engine crashed, as hosts that could not read meanwhile did not know of its evacuation"},
		{Seed: 5443, FaultDuration: 10 * time.Second, Needed: EvacuateDomain, Cause: "the same, as a host started after the evacuation"},
	}
}
