package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulation's engines and requests are those of a day of work on 18 engines.
const (
	simulatedEngines  = 18
	simulatedDuration = 40 * time.Second
	simulatedStep     = 10 * time.Millisecond
	engineDowntime    = 3 * time.Second
	prefillTime       = 120 * time.Millisecond
	// crashDelay is how long after the first event a request crashes its engine.
	crashDelay = 60 * time.Millisecond
	// lastingStreamTime is how long a response must last to clear its parts.
	lastingStreamTime = 500 * time.Millisecond
	maxAttempts       = 2
)

// simulatedKind is one kind of requests: how many come in a second, how long they write a response, and
// how many first and second parts their prompts share.
type simulatedKind struct {
	perSecond             float64
	writes                time.Duration
	firstParts, nextParts int
}

// simulatedRequest is a request at an engine.
type simulatedRequest struct {
	subjects []Subject
	bad      bool
	writes   time.Duration
	sentAt   time.Time
	attempts int
	cleared  bool
}

// simulatedEngine is an engine that is up from a time on, and its requests.
type simulatedEngine struct {
	instance uint32
	upFrom   time.Time
	requests []*simulatedRequest
}

// simulation plays requests against engines of which some crash.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	registry *Registry
	kinds    []simulatedKind
	engines  []*simulatedEngine
	starts   uint32
	requests int
	// badPart is the second part of the kind badKind whose requests crash engines; they come from badFrom
	// on, at badPerSecond.
	badKind      int
	badPerSecond float64
	// crashesPerSecond is how many engines crash in a second for other reasons, until crashesUntil.
	crashesPerSecond float64
	crashesUntil     time.Time
	// crashedAt is when engines crashed, badCrashedAt when they did because of the part, and badArrivals when
	// requests with it reached engines.
	crashedAt, badCrashedAt, badArrivals []time.Time
	// sent and refused count the sound requests, with a bad part only those that arrive countDelay after
	// the fifth crash because of it.
	sent, refused int
}

const (
	badFrom    = 5 * time.Second
	badPart    = "bad"
	countDelay = 6 * time.Second
)

func newSimulation(seed uint64) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: at(0), registry: NewRegistry(), kinds: []simulatedKind{
		{28, 1600 * time.Millisecond, 1, 64}, {42, time.Second, 8, 94}, {55, 100 * time.Millisecond, 40, 83}, {1, time.Second, 1, 20},
	}}
	for range simulatedEngines {
		s.starts++
		s.engines = append(s.engines, &simulatedEngine{instance: s.starts})
	}
	return s
}

// run plays the whole simulation.
func (s *simulation) run() {
	for s.now.Before(at(simulatedDuration.Seconds())) {
		for kind, k := range s.kinds {
			for s.happens(k.perSecond) {
				s.arrive(kind, false)
			}
		}
		if !s.now.Before(at(badFrom.Seconds())) && s.happens(s.badPerSecond) {
			s.arrive(s.badKind, true)
		}
		if s.now.Before(s.crashesUntil) && s.happens(s.crashesPerSecond) {
			s.crash(s.engines[s.random.IntN(len(s.engines))])
		}
		for _, e := range s.engines {
			s.step(e)
		}
		s.now = s.now.Add(simulatedStep)
	}
}

// happens reports whether an event of a rate happens in this step.
func (s *simulation) happens(perSecond float64) bool {
	return s.random.Float64() < perSecond*simulatedStep.Seconds()
}

// arrive sends a new request to an engine, unless it is refused.
func (s *simulation) arrive(kind int, bad bool) {
	k := s.kinds[kind]
	s.requests++
	parts := []string{fmt.Sprintf("first-%d-%d", kind, s.random.IntN(k.firstParts)), fmt.Sprintf("next-%d-%d", kind, s.random.IntN(k.nextParts))}
	if bad {
		parts[1] = badPart
	}
	workspace := fmt.Sprintf("workspace-%d", s.random.IntN(10))
	r := &simulatedRequest{bad: bad, writes: k.writes, subjects: append(copiesOf(Fingerprint(s.requests)), PartSubjects(workspace, parts)...)}
	counts := !bad && (s.badPerSecond == 0 || len(s.badCrashedAt) > 0 && s.now.After(s.badCrashedAt[min(len(s.badCrashedAt), 5)-1].Add(countDelay)))
	if counts {
		s.sent++
	}
	if _, refused := s.registry.Find(s.now, r.subjects); refused {
		if counts {
			s.refused++
		}
		return
	}
	s.send(r)
}

// send sends a request to an engine that is up.
func (s *simulation) send(r *simulatedRequest) {
	up := slices.DeleteFunc(slices.Clone(s.engines), func(e *simulatedEngine) bool { return s.now.Before(e.upFrom) })
	if len(up) == 0 {
		return
	}
	r.sentAt, r.cleared = s.now, false
	r.attempts++
	if r.bad {
		s.badArrivals = append(s.badArrivals, s.now)
	}
	e := up[s.random.IntN(len(up))]
	e.requests = append(e.requests, r)
}

// step advances the requests of an engine.
func (s *simulation) step(e *simulatedEngine) {
	for _, r := range slices.Clone(e.requests) {
		written := s.now.Sub(r.sentAt) - prefillTime
		switch {
		case r.bad && written >= crashDelay:
			s.badCrashedAt = append(s.badCrashedAt, s.now)
			s.crash(e)
			return
		case written >= r.writes:
			s.registry.RecordResponse(s.now, r.subjects)
			e.requests = slices.DeleteFunc(e.requests, func(other *simulatedRequest) bool { return other == r })
		case !r.cleared && written >= lastingStreamTime:
			r.cleared = true
			s.registry.RecordResponse(s.now, r.subjects[1:])
		}
	}
}

// crash ends an engine with all its requests, which are sent to others.
func (s *simulation) crash(e *simulatedEngine) {
	if s.now.Before(e.upFrom) {
		return
	}
	s.crashedAt = append(s.crashedAt, s.now)
	cut := e.requests
	for _, r := range cut {
		subjects := r.subjects
		if r.cleared {
			subjects = subjects[:1]
		}
		s.registry.RecordCrash(s.now, subjects, CrashRecord{Start: e.instance, Ran: s.now.Sub(r.sentAt)})
	}
	s.starts++
	e.instance, e.upFrom, e.requests = s.starts, s.now.Add(engineDowntime), nil
	for _, r := range cut {
		if _, refused := s.registry.Find(s.now, r.subjects); !refused && r.attempts < maxAttempts {
			s.send(r)
		}
	}
}

// lateArrivals returns how many requests with the bad part reached engines more than three seconds after
// the fifth crash.
func (s *simulation) lateArrivals() int {
	if len(s.badCrashedAt) < 5 {
		return 0
	}
	n := 0
	for _, t := range s.badArrivals {
		if t.After(s.badCrashedAt[4].Add(3 * time.Second)) {
			n++
		}
	}
	return n
}

// Guards against sound requests that are refused because they were at engines that crashed, under a part
// that crashes each engine and without one.
func TestSoundPartsStayServed(t *testing.T) {
	const seeds = 10
	tests := map[string]struct {
		set func(s *simulation)
		// maxRefusedRatio bounds the part of the sound requests that are refused.
		maxRefusedRatio float64
	}{
		"bad part of a frequent kind":   {set: func(s *simulation) { s.badKind, s.badPerSecond = 2, 2.5 }},
		"bad part of a rare kind":       {set: func(s *simulation) { s.badKind, s.badPerSecond = 3, 1 }},
		"bad part, ten a second":        {set: func(s *simulation) { s.badKind, s.badPerSecond = 1, 10 }},
		"bad part and other crashes":    {set: func(s *simulation) { s.badKind, s.badPerSecond, s.crashesPerSecond, s.crashesUntil = 1, 2, 1, at(40) }},
		"60 in 100 engines crash twice": {set: func(s *simulation) { s.crashesPerSecond, s.crashesUntil = 2.2, at(10) }, maxRefusedRatio: 0.01},
		"engines crash to the end":      {set: func(s *simulation) { s.crashesPerSecond, s.crashesUntil = 2.2, at(40) }, maxRefusedRatio: 0.01},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sent, refused, crashes := 0, 0, 0
			for seed := range uint64(seeds) {
				s := newSimulation(seed)
				test.set(s)
				s.run()
				require.LessOrEqual(t, s.lateArrivals(), 3, "seed %d", seed)
				sent, refused, crashes = sent+s.sent, refused+s.refused, crashes+len(s.crashedAt)
			}
			t.Logf("%d of %d sound requests refused, %.1f engines crashed a seed", refused, sent, float64(crashes)/seeds)
			require.LessOrEqual(t, float64(refused), test.maxRefusedRatio*float64(sent), "sound requests refused")
		})
	}
}
