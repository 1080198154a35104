package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A Kind is a kind of fault, or of work that is done while the system runs.
type Kind string

// The kinds.
const (
	PauseHost     Kind = "pause-host"
	KillHost      Kind = "kill-host"
	StopHost      Kind = "stop-host"
	HangUp        Kind = "hang-up"
	StoreFails    Kind = "store-fails"
	StoreLimits   Kind = "store-limits"
	StoreSilent   Kind = "store-silent"
	StoreTorn     Kind = "store-torn"
	StoreSlow     Kind = "store-slow"
	StoreForgets  Kind = "store-forgets"
	CutStore      Kind = "cut-store"
	CutOneWay     Kind = "cut-store-one-way"
	ResetStore    Kind = "reset-store"
	DelayUpstream Kind = "delay-upstream"
	CutUpstream   Kind = "cut-upstream"
	ResetUpstream Kind = "reset-upstream"
	CrashUpstream Kind = "crash-upstream"
	DrainUpstream Kind = "drain-upstream"
	ShedUpstream  Kind = "shed-upstream"
	Garble        Kind = "garble-upstream"
	HangUpstream  Kind = "hang-upstream"
	AddRoute      Kind = "add-route"
	RevokeKey     Kind = "revoke-key"
	LoseUpstream  Kind = "lose-upstream"
	LoseStore     Kind = "lose-store"
	FlapUpstream  Kind = "flap-upstream"
	DropIdle      Kind = "drop-idle"
	RestoreStore  Kind = "restore-store"
)

// kinds are all of them, in the order in which they are drawn.
var kinds = []Kind{
	PauseHost, KillHost, StopHost, HangUp, StoreFails, StoreLimits, StoreSilent, StoreTorn, StoreSlow, StoreForgets,
	CutStore, CutOneWay, ResetStore, DelayUpstream, CutUpstream, ResetUpstream, CrashUpstream, DrainUpstream, ShedUpstream, Garble,
	HangUpstream, AddRoute, RevokeKey, LoseUpstream, LoseStore, FlapUpstream, DropIdle,
}

// A Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Target picks the host or upstream, modulo how many there are.
	Target int
}

// End returns when the fault is over.
func (f Fault) End() time.Duration { return f.At + f.For }

// String returns the fault as one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-18s target %d for %s", f.At.Seconds(), f.Kind, f.Target, f.For)
}

const (
	// firstFault leaves the hosts time to read the configuration.
	firstFault = time.Second
	// every is the mean time between faults: a few are always in force at once.
	every = 600 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 300 * time.Millisecond
	longest  = 3 * time.Second
	// seriesShare is how many faults in a hundred come twice, one right after the other.
	seriesShare = 25
	targets     = 64
	// restoredShare is how many plans in a hundred have the store come back from an older copy.
	restoredShare = 50
	// restoreStream is the random stream of these restores, which leaves the other faults of a seed as they were.
	restoreStream = 1
)

// Draw returns the plan of a seed for a run of faults of a length.
func Draw(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var faults []Fault
	at := firstFault
	for at < length {
		f := Fault{
			Kind: kinds[random.IntN(len(kinds))], At: at, Target: random.IntN(targets),
			For: shortest + time.Duration(random.Int64N(int64(longest-shortest))),
		}
		f.For = min(f.For, length-at)
		faults = append(faults, f)
		if random.IntN(100) < seriesShare {
			f.At = f.End() + shortest
			f.For = min(f.For, max(length-f.At, 0))
			faults = append(faults, f)
		}
		at += time.Duration(random.Int64N(int64(2 * every)))
	}
	faults = append(faults, drawRestores(seed, length)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.At >= length })
}

// drawRestores returns the restores of the store in the plan of a seed: none, one, or one right after the other.
func drawRestores(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, restoreStream))
	if length <= firstFault || random.IntN(100) >= restoredShare {
		return nil
	}
	f := Fault{Kind: RestoreStore, At: firstFault + time.Duration(random.Int64N(int64(length-firstFault))), For: shortest}
	faults := []Fault{f}
	if random.IntN(100) < seriesShare {
		f.At = f.End() + time.Duration(random.Int64N(int64(longest)))
		faults = append(faults, f)
	}
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.End() > length })
}
