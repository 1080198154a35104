package fleet

import (
	"context"
	"iter"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// planEvery is how often the region's first host draws a plan: shortly before a
	// follower's call would end without news, so that plans cost no calls of their own.
	planEvery = 500 * time.Millisecond
	// planStep is how much newer a plan must be to be another one: two calls on the way from one
	// drawing differ by less.
	planStep = 50 * time.Millisecond
	// planBudget is what a host may tell of plans to all its followers, in bytes a second. With
	// two of them, whose calls take 1.4 KB a second each with what they tell, a host keeps below
	// 5 KB a second. Each plan of placement.MostPlanBytes goes to each follower.
	planBudget = 700
	// planCredit is for how long ahead a host may spend that: a plan that is drawn for a prompt which
	// many ask for all at once follows another one sooner than the budget alone allows.
	planCredit = planEvery
	// gatherStep is how long a host waits for the hosts below to tell it what is new before it
	// tells the host above, for each step that there is below it. All of them call again
	// when they hear news, within some milliseconds; so what the lowest know is with the region's
	// first host within a few of them, and not a call later for each step.
	gatherStep = 40 * time.Millisecond
	// mostSteps bounds the steps that count: more than any fleet has.
	mostSteps = 10
	// exchangeTimeout is how long beyond its waiting an exchange may take.
	exchangeTimeout = 300 * time.Millisecond
	// presentFor is for how long after its last call a host counts as being below: a call is
	// held for followWait, and the next one follows when the hosts below that one have called.
	// When half of the hosts lost power, those that had followed them told others after 1.1 s;
	// counted for 2.4 s at the dead ones' own neighbors too, 300 requests were taken for 690.
	presentFor = followWait + mostSteps*gatherStep
	// neighborLifetime is how long what hosts told of each other holds: three calls. A host that did
	// not call for longer tells everything again, else only what has changed; so what it told
	// is kept for twice as long.
	neighborLifetime = 3 * followWait
)

// Evidence is what speaks against upstreams, by the short hash of their identifiers.
type Evidence interface {
	// Scores returns this host's own, TakeScores takes in those of all others, added up.
	Scores() map[uint32]float64
	TakeScores(others map[uint32]float64)
}

// Plans holds how prompts are spread over engines.
type Plans interface {
	// InProgress returns what is in progress here.
	InProgress() placement.InProgress
	// Plan returns the plan in force, nil if there is none, and when it was drawn.
	Plan(now time.Time) (*placement.Plan, time.Time)
	// Take takes over a plan that was drawn elsewhere at a moment.
	Take(p *placement.Plan, at time.Time)
	// Draw draws a plan from what is in progress at all hosts.
	Draw(now time.Time, all placement.InProgress)
	// Rising reports whether many more ask for a prompt than the plan says.
	Rising(all placement.InProgress) bool
}

// neighbors are the hosts below that exchange with this one, and what all hosts of the
// region have told.
type neighbors struct {
	mu    sync.Mutex
	below map[string]neighbor
	// region is what speaks against upstreams at all hosts, as it was told at a moment.
	region   map[uint32]float64
	regionAt time.Time
	// heard is raised when a host below has told something.
	heard *signal
}

// neighbor is what a host below has told last.
type neighbor struct {
	at         time.Time
	scores     map[uint32]float64
	inProgress placement.InProgress
	// steps is how many steps there are below it.
	steps int
	// paidUntil is until when the plans that it was told use its part of the budget up.
	paidUntil time.Time
}

func newNeighbors() *neighbors { return &neighbors{below: map[string]neighbor{}, heard: newSignal()} }

// met takes in what a host below has told.
func (n *neighbors) met(now time.Time, args *ExchangeArgs) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.below[args.Host]
	if args.First || b.inProgress.Engines == nil {
		b.inProgress.Engines = map[uint32]int{}
	}
	args.Engines.each(func(engine uint32, requests int) {
		b.inProgress.Engines[engine] = requests
		if requests == 0 {
			delete(b.inProgress.Engines, engine)
		}
	})
	b.inProgress.Prompts = map[uint32]int{}
	args.Prompts.each(func(prompt uint32, requests int) { b.inProgress.Prompts[prompt] = requests })
	b.at, b.scores, b.steps = now, args.Scores.unpack(), min(max(args.Steps, 0), mostSteps)
	n.below[args.Host] = b
	n.heard.raise()
}

// allMet reports whether all hosts below have told something since a moment.
func (n *neighbors) allMet(since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, b := range n.present(since) {
		if b.at.Before(since) {
			return false
		}
	}
	return true
}

// steps returns how many steps there are below this host, as far as hosts were heard of of late.
func (n *neighbors) steps(now time.Time) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	steps := 0
	for _, b := range n.present(now) {
		steps = max(steps, b.steps+1)
	}
	return steps
}

// mayTell reports whether a host below may be told a plan by what this host may spend on that.
func (n *neighbors) mayTell(now time.Time, host string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.below[host].paidUntil.After(now.Add(planCredit))
}

// told takes in that a host below was told a plan of so many bytes.
func (n *neighbors) told(now time.Time, host string, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	b := n.below[host]
	if b.paidUntil.Before(now) {
		b.paidUntil = now
	}
	// Only readers have more than fanOut, who get many times as much from the store.
	followers := min(len(n.below), fanOut)
	b.paidUntil = b.paidUntil.Add(time.Duration(bytes*followers) * time.Second / planBudget)
	n.below[host] = b
}

// sum returns this host's own scores and those of the hosts below except one, added up.
func (n *neighbors) sum(now time.Time, own map[uint32]float64, except string) map[uint32]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := map[uint32]float64{}
	maps.Copy(sum, own)
	for host, b := range n.present(now) {
		if host == except {
			continue
		}
		for upstream, score := range b.scores {
			sum[upstream] += score
		}
	}
	return sum
}

// sumInProgress returns what is in progress at this host and the hosts below except one, added up.
func (n *neighbors) sumInProgress(now time.Time, own placement.InProgress, except string) placement.InProgress {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := placement.InProgress{Engines: map[uint32]int{}, Prompts: map[uint32]int{}}
	add(sum, own)
	for host, b := range n.present(now) {
		if host != except {
			add(sum, b.inProgress)
		}
	}
	return sum
}

// setRegion takes in the scores of all hosts of the region.
func (n *neighbors) setRegion(now time.Time, scores map[uint32]float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.region, n.regionAt = scores, now
}

// all returns the scores of all hosts of the region; none if they are not told any more.
func (n *neighbors) all(now time.Time) map[uint32]float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.regionAt) > neighborLifetime {
		return nil
	}
	return n.region
}

// present returns the hosts that are below, and forgets those that were not heard of for long;
// the lock must be held.
func (n *neighbors) present(now time.Time) iter.Seq2[string, neighbor] {
	maps.DeleteFunc(n.below, func(_ string, b neighbor) bool { return now.Sub(b.at) > 2*neighborLifetime })
	return func(yield func(string, neighbor) bool) {
		for host, b := range n.below {
			if now.Sub(b.at) <= presentFor && !yield(host, b) {
				return
			}
		}
	}
}

// left takes in that a host tells another one from now on.
func (n *neighbors) left(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.below, host)
}

// exchangeAll draws plans while this host is the region's first one, and exchanges with that
// one while this host reads the store as well and follows none; until the context ends.
func (s *Source) exchangeAll(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		first, other := s.directory.LoadParent(now)
		switch {
		case !other:
			s.gather(now)
			s.gatherBelow(ctx, now)
			if s.options.Plans.Rising(s.inProgress(time.Now())) {
				s.gather(time.Now())
			}
			pause.For(ctx, planEvery-time.Since(now))
		case s.following.Load() == nil:
			s.exchange(ctx, first)
		default:
			pause.For(ctx, planEvery)
		}
	}
}

// tell returns what this host and those below it tell the host above.
func (s *Source) tell(now time.Time, parent Peer) ExchangeArgs {
	s.telling.Lock()
	defer s.telling.Unlock()
	if parent.Name != s.toldTo || now.Sub(s.toldAt) > neighborLifetime {
		// It knows nothing, or no longer.
		s.toldTo, s.told = parent.Name, account{}
	}
	s.setCountedBy(parent)
	// What the host above has told itself, while each takes the other for the one above, would
	// come back to it, and be added again with each call.
	sum := s.neighbors.sumInProgress(now, s.options.Plans.InProgress(), parent.Name)
	if _, ok := s.directory.LoadParent(now); !ok {
		// All comes together here. What went on would come back, and be added again.
		sum = placement.InProgress{}
	}
	args := ExchangeArgs{
		Host:    s.options.Name,
		First:   len(s.told) == 0,
		Engines: packCounts(sum.Engines, s.told.changed(sum.Engines)),
		Prompts: packCounts(sum.Prompts, most(sum.Prompts, mostPromptsTold)),
		Scores:  packScores(s.neighbors.sum(now, s.beliefs.Scores(), parent.Name)),
		PlanAge: neverListed,
		Steps:   s.neighbors.steps(now),
	}
	if plan, drawn := s.options.Plans.Plan(now); plan != nil {
		args.PlanAge = now.Sub(drawn)
	}
	s.toldAt = now
	return args
}

// setCountedBy takes in which host counts the requests that this one tells of, and has the one that did so
// before count them no longer; telling must be locked. Ranks change whenever a host comes or goes, and
// with them whom the others follow; requests would else be counted at both hosts for presentFor.
func (s *Source) setCountedBy(parent Peer) {
	before := s.countedBy
	s.countedBy = parent
	if before.Name == "" || before.Name == parent.Name {
		return
	}
	go s.unfollow(before)
}

// unfollow has a host no longer count what this one told it.
func (s *Source) unfollow(of Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	// The client that followed it may be closed by now.
	client := s.newClient(of.Secret)
	defer client.Close()
	var reply ExchangeReply
	if err := client.Call(ctx, of.Address, exchangeCall, &ExchangeArgs{Host: s.options.Name, Leaves: true}, &reply); err != nil {
		logrus.WithError(err).WithField("peer", of.Name).Debug("fleet: A host that was followed was not told of that.")
	}
}

// notTold takes in that it is not known whether the host above was told.
func (s *Source) notTold() {
	s.telling.Lock()
	defer s.telling.Unlock()
	s.toldTo = ""
}

// gather takes in, as the region's first host, what all hosts have told, and draws a plan.
func (s *Source) gather(now time.Time) {
	own := s.beliefs.Scores()
	s.neighbors.setRegion(now, s.neighbors.sum(now, own, ""))
	s.beliefs.TakeScores(without(s.neighbors.all(now), own))
	s.options.Plans.Draw(now, s.inProgress(now))
	s.tellOfPlan(now)
	s.planned.raise()
}

// tellOfPlan writes what the plan in force says to the log, twice a second at one host of a region.
func (s *Source) tellOfPlan(now time.Time) {
	plan, _ := s.options.Plans.Plan(now)
	if plan == nil {
		return
	}
	sum := plan.Summary()
	logrus.WithFields(logrus.Fields{
		"named": sum.Named, "limited": sum.Limited, "most": sum.Most, "prompts": sum.Prompts, "bytes": plan.Size(),
	}).Info("fleet: A plan was drawn.")
}

// inProgress returns what is in progress at this host and those below.
func (s *Source) inProgress(now time.Time) placement.InProgress {
	return s.neighbors.sumInProgress(now, s.options.Plans.InProgress(), "")
}

// answer returns what a host below does not know yet that called at a moment.
func (s *Source) answer(now, called time.Time, args *ExchangeArgs) ExchangeReply {
	reply := ExchangeReply{Scores: packScores(s.neighbors.all(now))}
	if s.hasPlanFor(now, called, args) {
		plan, drawn := s.options.Plans.Plan(now)
		reply.Plan, reply.PlanAge = plan, now.Sub(drawn)
		s.neighbors.told(now, args.Host, plan.Size())
	}
	return reply
}

// hasPlanFor reports whether this host knows a newer plan than a host below did when it called
// at a moment, and may tell it now.
func (s *Source) hasPlanFor(now, called time.Time, args *ExchangeArgs) bool {
	plan, drawn := s.options.Plans.Plan(now)
	return plan != nil && drawn.Sub(called.Add(-args.PlanAge)) > planStep && s.neighbors.mayTell(now, args.Host)
}

// learn takes in what the host above has told.
func (s *Source) learn(now time.Time, reply *ExchangeReply) {
	own := s.beliefs.Scores()
	s.neighbors.setRegion(now, reply.Scores.unpack())
	s.beliefs.TakeScores(without(s.neighbors.all(now), own))
	if reply.Plan != nil {
		s.options.Plans.Take(reply.Plan, now.Add(-reply.PlanAge))
	}
}

// without returns the scores of all hosts less this one's own.
func without(all, own map[uint32]float64) map[uint32]float64 {
	others := map[uint32]float64{}
	for upstream, score := range all {
		others[upstream] = max(score-own[upstream], 0)
	}
	return others
}

// exchange makes one exchange with the region's first host, which answers when it has drawn
// a plan. Without an answer this host goes on by what it knows, which fades.
func (s *Source) exchange(ctx context.Context, first Peer) {
	s.gatherBelow(ctx, s.plannedAt)
	calling, cancel := context.WithTimeout(ctx, followWait+exchangeTimeout)
	defer cancel()
	args := s.tell(time.Now(), first)
	var reply ExchangeReply
	if err := s.client(first).Call(calling, first.Address, exchangeCall, &args, &reply); err != nil {
		s.notTold()
		if ctx.Err() == nil {
			s.suspect(ctx, first, err)
		}
		pause.For(ctx, exchangeTimeout)
		return
	}
	s.learn(time.Now(), &reply)
	s.plannedAt = time.Now()
	s.planned.raise()
}

// gatherBelow waits until the hosts below have called since a moment, for a while at most.
func (s *Source) gatherBelow(ctx context.Context, since time.Time) {
	steps := s.neighbors.steps(since)
	timer := time.NewTimer(time.Duration(steps) * gatherStep)
	defer timer.Stop()
	for {
		met := s.neighbors.heard.raised()
		if s.neighbors.allMet(since) {
			return
		}
		select {
		case <-met:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
