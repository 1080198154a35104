package plan

// A Regression is a seed whose run failed in the past.
type Regression struct {
	Seed uint64
	// Cause is the fault of the system that was found and fixed then.
	Cause string
}

// Regressions returns the seeds of all runs that failed in the past.
func Regressions() []Regression {
	return []Regression{
		{Seed: 403, Cause: "a stream whose engine crashed between two events was taken for whole"},
		{Seed: 435, Cause: "the same, of four callers"},
	}
}
