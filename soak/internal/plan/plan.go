package plan

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// A Kind is a kind of fault, or of an operator's change, that a run injects.
type Kind string

// The kinds; the values are those of the flag --only.
const (
	// PauseHost stops a host with SIGSTOP for the duration.
	PauseHost Kind = "pause-host"
	// KillHost kills a host, and StopHost stops it gracefully; the platform restarts both.
	KillHost Kind = "kill-host"
	StopHost Kind = "stop-host"
	// HangUp makes a host reload its settings with SIGHUP.
	HangUp Kind = "hang-up"
	// StoreFails answers 503, StoreLimits 429, StoreSilent nothing, StoreTorn half a body.
	StoreFails  Kind = "store-fails"
	StoreLimits Kind = "store-limits"
	StoreSilent Kind = "store-silent"
	StoreTorn   Kind = "store-torn"
	// StoreSlow delays the responses of the store.
	StoreSlow Kind = "store-slow"
	// StoreForgets drops the history of the store.
	StoreForgets Kind = "store-forgets"
	// CutStore blocks the connections of a host to the store, CutOneWay only the responses.
	CutStore  Kind = "cut-store"
	CutOneWay Kind = "cut-store-one-way"
	// ResetStore resets the connections of a host to the store.
	ResetStore Kind = "reset-store"
	// DelayUpstream, CutUpstream and ResetUpstream delay, block and reset the connections of an
	// upstream.
	DelayUpstream Kind = "delay-upstream"
	CutUpstream   Kind = "cut-upstream"
	ResetUpstream Kind = "reset-upstream"
	// CrashUpstream, DrainUpstream and ShedUpstream crash, drain and overload an upstream.
	CrashUpstream Kind = "crash-upstream"
	DrainUpstream Kind = "drain-upstream"
	ShedUpstream  Kind = "shed-upstream"
	// Garble makes an upstream send truncated and duplicate responses, HangUpstream none.
	Garble       Kind = "garble-upstream"
	HangUpstream Kind = "hang-upstream"
	// AddRoute and RevokeKey change the configuration.
	AddRoute  Kind = "add-route"
	RevokeKey Kind = "revoke-key"
	// LoseUpstream and LoseStore delay some data as packet loss does.
	LoseUpstream Kind = "lose-upstream"
	LoseStore    Kind = "lose-store"
	// FlapUpstream crashes and restarts an upstream several times.
	FlapUpstream Kind = "flap-upstream"
	// DropIdle resets idle connections of an upstream when they are used again.
	DropIdle Kind = "drop-idle"
	// RestoreStore restores the store from an older snapshot.
	RestoreStore Kind = "restore-store"
	// EvacuateDomain evacuates a failure domain, whose upstreams are cold afterwards.
	EvacuateDomain Kind = "evacuate-domain"
	// SilenceUpstream makes an upstream silent for a second, again and again.
	SilenceUpstream Kind = "silence-upstream"
	// TurnBrittle makes the upstreams of a service brittle.
	TurnBrittle Kind = "turn-brittle"
	// CrashOnPart makes engines crash under prompts with a part, which come to all hosts meanwhile.
	CrashOnPart Kind = "crash-on-part"
	// SkewCallers makes most callers use one host.
	SkewCallers Kind = "skew-callers"
	// UnframeUpstream makes an upstream send responses that end with their connections.
	UnframeUpstream Kind = "unframe-upstream"
	// SurgeWorkspace makes one workspace send far more than the engines can serve, UnevenEngines makes engines work at
	// changing paces.
	SurgeWorkspace Kind = "surge-workspace"
	UnevenEngines  Kind = "uneven-engines"
	// SilenceSeveral makes a share of the upstreams, up to all, silent at once, ChangeConfiguration changes limits, routes
	// and keys in series.
	SilenceSeveral      Kind = "silence-several"
	ChangeConfiguration Kind = "change-configuration"
	// UseUpDescriptors leaves a host without a free descriptor.
	UseUpDescriptors Kind = "use-up-descriptors"
)

// trafficKinds are kinds of faults that have a random stream together.
var trafficKinds = []Kind{CrashOnPart, SkewCallers, UnframeUpstream}

// overloadKinds are kinds of faults that all plans from firstOverloadSeed on have.
var overloadKinds = []Kind{SurgeWorkspace, UnevenEngines}

// upstreamStateKinds are kinds of faults that have a random stream together.
var upstreamStateKinds = []Kind{SilenceUpstream, TurnBrittle}

// drawnKinds are all kinds but those that have their own random streams.
// Their order and number decide the plan of a seed.
var drawnKinds = []Kind{
	PauseHost, KillHost, StopHost, HangUp, StoreFails, StoreLimits, StoreSilent, StoreTorn, StoreSlow, StoreForgets,
	CutStore, CutOneWay, ResetStore, DelayUpstream, CutUpstream, ResetUpstream, CrashUpstream, DrainUpstream, ShedUpstream, Garble,
	HangUpstream, AddRoute, RevokeKey, LoseUpstream, LoseStore, FlapUpstream, DropIdle,
}

// A Fault is one fault of a plan; Start is relative to the start of the plan.
type Fault struct {
	Kind     Kind
	Start    time.Duration
	Duration time.Duration
	// Target is the index of the host or upstream, modulo their number.
	Target int
}

// End returns when the fault is over, relative to the start of the plan.
func (f Fault) End() time.Duration { return f.Start + f.Duration }

// String returns the fault as one line of text.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-18s target %d for %s", f.Start.Seconds(), f.Kind, f.Target, f.Duration)
}

const (
	// firstFaultStart gives the hosts time to read the configuration.
	firstFaultStart = time.Second
	// meanFaultInterval is the mean time between the starts of faults; it is short enough that a
	// few overlap.
	meanFaultInterval = 600 * time.Millisecond
	// minFaultDuration and maxFaultDuration bound the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	// repeatPercent is the percentage of faults that are repeated soon after they end.
	repeatPercent = 25
	targetRange   = 64
	// restorePercent is the percentage of plans that restore the store from an older snapshot.
	restorePercent = 50
	// restoreStream is a separate random stream for restores, so that they do not change the other
	// faults of a seed.
	restoreStream = 1
	// evacuationPercent is the percentage of plans that evacuate failure domains,
	// evacuationStream their random stream.
	evacuationPercent = 60
	evacuationStream  = 2
	// upstreamStatePercent is the percentage of plans with faults of upstreamStateKinds,
	// upstreamStateStream their random stream.
	upstreamStatePercent = 75
	upstreamStateStream  = 3
	// upstreamStateDuration is longer than hosts may take to learn that upstreams are brittle.
	upstreamStateDuration = 5 * time.Second
	// firstTrafficSeed is the first seed whose plan has faults of trafficKinds. Smaller seeds keep the
	// plans with which they were recorded.
	firstTrafficSeed = 8000
	trafficStream    = 4
	// firstOverloadSeed is the first seed whose plan has faults of overloadKinds.
	firstOverloadSeed = 20000
	// firstSilenceSeed is the first seed whose plan has silences of several upstreams beside changes of the
	// configuration; those from firstOverloadSeed on keep the plans with which they were recorded.
	firstSilenceSeed = 12000
	silenceStream    = 5
	// firstDescriptorSeed is the first seed whose plan uses up the descriptors of hosts.
	firstDescriptorSeed = 15000
	descriptorStream    = 6
	descriptorDuration  = 2 * time.Second
	// minSilence and maxSilence bound how long sound upstreams are silent.
	minSilence = time.Second
	maxSilence = 1900 * time.Millisecond
	// meanSilenceInterval is short enough that silences overlap.
	meanSilenceInterval = 1200 * time.Millisecond
	// trafficDuration is longer than hosts may take to recognize a part that crashes engines.
	trafficDuration = 8 * time.Second
	// evacuationDuration is longer than hosts may take to learn of an evacuation.
	evacuationDuration = 6 * time.Second
)

// Generate returns the plan of a seed, sorted by start, for a fault phase of the given length.
func Generate(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, seed))
	var faults []Fault
	at := firstFaultStart
	for at < length {
		f := Fault{
			Kind: drawnKinds[random.IntN(len(drawnKinds))], Start: at, Target: random.IntN(targetRange),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
		}
		f.Duration = min(f.Duration, length-at)
		faults = append(faults, f)
		if random.IntN(100) < repeatPercent {
			f.Start = f.End() + minFaultDuration
			f.Duration = min(f.Duration, max(length-f.Start, 0))
			faults = append(faults, f)
		}
		at += time.Duration(random.Int64N(int64(2 * meanFaultInterval)))
	}
	faults = append(faults, generateRestores(seed, length)...)
	faults = append(faults, generateEvacuations(seed, length)...)
	faults = append(faults, generateUpstreamStates(seed, length)...)
	faults = append(faults, generateTraffic(seed, length)...)
	faults = append(faults, generateSilences(seed, length)...)
	faults = append(faults, generateDescriptorFaults(seed, length)...)
	if seed >= firstOverloadSeed {
		for _, kind := range overloadKinds {
			faults = append(faults, Fault{Kind: kind, Start: firstFaultStart, Duration: max(length-firstFaultStart, 0)})
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Start, b.Start) })
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.Start >= length })
}

// generateRestores returns the store restores in the plan of a seed: none, one, or two with a short
// time between.
func generateRestores(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, restoreStream))
	if length <= firstFaultStart || random.IntN(100) >= restorePercent {
		return nil
	}
	f := Fault{Kind: RestoreStore, Start: firstFaultStart + time.Duration(random.Int64N(int64(length-firstFaultStart))), Duration: minFaultDuration}
	faults := []Fault{f}
	if random.IntN(100) < repeatPercent {
		f.Start = f.End() + time.Duration(random.Int64N(int64(maxFaultDuration)))
		faults = append(faults, f)
	}
	return slices.DeleteFunc(faults, func(f Fault) bool { return f.End() > length })
}

// generateEvacuations returns the evacuations in the plan of a seed: none, one, or two that overlap.
func generateEvacuations(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, evacuationStream))
	if length <= firstFaultStart || random.IntN(100) >= evacuationPercent {
		return nil
	}
	latestStart := max(length-evacuationDuration, firstFaultStart+minFaultDuration)
	f := Fault{Kind: EvacuateDomain, Start: firstFaultStart + time.Duration(random.Int64N(int64(latestStart-firstFaultStart))), Target: random.IntN(targetRange)}
	faults := []Fault{f}
	if random.IntN(100) < repeatPercent {
		f.Start += time.Duration(random.Int64N(int64(evacuationDuration)))
		f.Target++
		faults = append(faults, f)
	}
	for i := range faults {
		faults[i].Duration = min(evacuationDuration, max(length-faults[i].Start, 0))
	}
	return faults
}

// generateUpstreamStates returns the faults of upstreamStateKinds in the plan of a seed: none, or up to three that
// may overlap.
func generateUpstreamStates(seed uint64, length time.Duration) []Fault {
	random := rand.New(rand.NewPCG(seed, upstreamStateStream))
	if length <= firstFaultStart || random.IntN(100) >= upstreamStatePercent {
		return nil
	}
	var faults []Fault
	for range 1 + random.IntN(3) {
		f := Fault{Kind: upstreamStateKinds[random.IntN(len(upstreamStateKinds))], Target: random.IntN(targetRange)}
		f.Start = firstFaultStart + time.Duration(random.Int64N(int64(length-firstFaultStart)))
		f.Duration = min(upstreamStateDuration, max(length-f.Start, 0))
		faults = append(faults, f)
	}
	return faults
}

// generateTraffic returns the faults of trafficKinds in the plan of a seed: one or two, which overlap.
func generateTraffic(seed uint64, length time.Duration) []Fault {
	if seed < firstTrafficSeed || length <= firstFaultStart {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, trafficStream))
	latestStart := max(length-trafficDuration, firstFaultStart+minFaultDuration)
	var faults []Fault
	for range 1 + random.IntN(2) {
		f := Fault{Kind: trafficKinds[random.IntN(len(trafficKinds))], Target: random.IntN(targetRange)}
		f.Start = firstFaultStart + time.Duration(random.Int64N(int64(latestStart-firstFaultStart)))
		f.Duration = min(trafficDuration, length-f.Start)
		faults = append(faults, f)
	}
	return faults
}

// generateSilences returns the silences of several upstreams in the plan of a seed, and the changes of the
// configuration beside them.
func generateSilences(seed uint64, length time.Duration) []Fault {
	if seed < firstSilenceSeed || seed >= firstOverloadSeed || length <= firstFaultStart {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, silenceStream))
	faults := []Fault{{Kind: ChangeConfiguration, Start: firstFaultStart, Duration: length - firstFaultStart, Target: random.IntN(targetRange)}}
	for at := firstFaultStart; at+maxSilence < length; at += time.Duration(random.Int64N(int64(2 * meanSilenceInterval))) {
		d := minSilence + time.Duration(random.Int64N(int64(maxSilence-minSilence)))
		faults = append(faults, Fault{Kind: SilenceSeveral, Start: at, Duration: d, Target: random.IntN(targetRange)})
	}
	return faults
}

// generateDescriptorFaults returns the times in the plan of a seed at which two hosts have no free descriptor; they may
// overlap.
func generateDescriptorFaults(seed uint64, length time.Duration) []Fault {
	if seed < firstDescriptorSeed || seed >= firstOverloadSeed || length <= firstFaultStart+descriptorDuration {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, descriptorStream))
	var faults []Fault
	for range 2 {
		start := firstFaultStart + time.Duration(random.Int64N(int64(length-firstFaultStart-descriptorDuration)))
		faults = append(faults, Fault{Kind: UseUpDescriptors, Start: start, Duration: descriptorDuration, Target: random.IntN(targetRange)})
	}
	return faults
}
