package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// planInterval is how often the root of the region computes a plan: shortly before a follower's
	// long poll would time out, so that distributing plans costs no extra calls.
	planInterval = 500 * time.Millisecond
	// planAgeTolerance is the minimum age difference between two distinct plans. The computed age
	// of one plan varies by less between calls.
	planAgeTolerance = 50 * time.Millisecond
	// planBytesPerSecond is a host's budget for sending plans to all its followers. With two
	// followers, whose other traffic takes 1.4 KB/s each, a host stays below 5 KB/s. A plan of
	// placement.MaxPlanBytes fits for each follower every planInterval.
	planBytesPerSecond = 700
	// planBurstWindow is how far ahead a host may spend the plan budget. A plan triggered by a
	// sudden rise in requests for one prompt follows the previous one sooner than the budget alone
	// allows.
	planBurstWindow = planInterval
	// gatherTimeoutPerLevel is how long, per level of the tree below it, a host waits for its
	// children to report before it reports to its own parent. All hosts call again within
	// milliseconds of an update, so reports of the leaves reach the root within milliseconds per
	// level instead of one long poll per level.
	gatherTimeoutPerLevel = 40 * time.Millisecond
	// maxDepth bounds the levels that are counted. No fleet is deeper.
	maxDepth = 10
	// exchangeTimeout is how long an exchange may take beyond the time it is held open.
	exchangeTimeout = 300 * time.Millisecond
	// childTimeout is how long after its last call a host still counts as a child: one long poll,
	// plus the time that the host waits for its own children before the next one. When half the
	// hosts lost power, the remaining children of dead hosts reported to another parent after
	// 1.1 s; with a timeout of 2.4 s their requests were counted twice, 690 instead of 300.
	childTimeout = followPollWait + maxDepth*gatherTimeoutPerLevel
	// childStateTTL is how long reported state remains valid: three calls. A host that has not
	// called for longer reports everything again, otherwise only changes; its state is therefore
	// kept for twice as long.
	childStateTTL = 3 * followPollWait
)

// FailureScores provides failure scores of upstreams, keyed by the short hashes of their
// identifiers.
type FailureScores interface {
	// Scores returns this host's own scores.
	Scores() map[uint32]float64
	// SetPeerScores sets the sum of all other hosts' scores.
	SetPeerScores(others map[uint32]float64)
}

// Plans holds the plan that spreads prompts over engines, and the requests it is computed from.
type Plans interface {
	// InProgress returns the requests in progress at this host.
	InProgress() placement.InProgress
	// Plan returns the current plan, or nil, and when it was computed.
	Plan(now time.Time) (*placement.Plan, time.Time)
	// ApplyPlan adopts a plan that another host computed at the given time.
	ApplyPlan(p *placement.Plan, at time.Time)
	// ComputePlan computes a plan from the requests in progress at all hosts.
	ComputePlan(now time.Time, all placement.InProgress)
	// HasRisingPrompt reports whether requests for some prompt far exceed what the plan provides for, and
	// HasDemandJump whether much more is asked for in total.
	HasRisingPrompt(all placement.InProgress) bool
	HasDemandJump(all placement.InProgress) bool
}

// runExchange computes plans while this host is the root of the region, and exchanges with the root
// while this host reads the store and no parent answers its calls, which contain the same report.
// It runs until the context ends.
func (s *Source) runExchange(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		root, hasParent := s.directory.ExchangeParent(now)
		switch {
		case !hasParent:
			s.computePlan(now)
			s.awaitChildren(ctx, now)
			if all := s.inProgress(time.Now()); s.options.Plans.HasRisingPrompt(all) || s.options.Plans.HasDemandJump(all) {
				s.computePlan(time.Now())
			}
			pause.For(ctx, planInterval-time.Since(now))
		case s.following.Load() == nil && !s.isAnswered(now):
			s.exchangeWith(ctx, root)
		default:
			pause.For(ctx, planInterval)
		}
	}
}

// isAnswered reports whether this host has a parent that answers its calls, although it may not follow
// it yet.
func (s *Source) isAnswered(now time.Time) bool {
	_, hasParent := s.directory.Parent(now)
	return hasParent && s.options.Uptime()-time.Duration(s.answeredAt.Load()) <= maxCallTimeout
}

// exchangeArgs returns the report of this host and its children to its parent, and records what it
// contains as reported.
func (s *Source) exchangeArgs(now time.Time, parent Peer) ExchangeArgs {
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	if parent.Name != s.reportedTo || now.Sub(s.reportedAt) > childStateTTL {
		// The parent has no state of this host, or it has expired.
		s.reportedTo, s.reported, s.parentKeepsDemand = parent.Name, reportedCounts{}, false
	}
	s.setCountingParent(parent)
	// The parent's own report is excluded: while two hosts each take the other for their parent it
	// would come back to the parent and be added again with each call.
	sum := s.subtree.sumInProgress(now, s.options.Plans.InProgress(), parent.Name)
	if _, hasParent := s.directory.ExchangeParent(now); !hasParent {
		// The root's requests would come back to it from the host it reports to and be added again.
		sum = placement.InProgress{}
	}
	args := ExchangeArgs{
		Host:    s.options.Name,
		First:   len(s.reported) == 0,
		Engines: encodeCounts(sum.Engines, s.reported.takeChanged(sum.Engines)),
		Prompts: encodeCounts(sum.Prompts, topCounts(sum.Prompts, maxReportedPrompts)),
		Scores:  encodeScores(s.subtree.sumScores(now, s.state.Scores(), parent.Name)),
		PlanAge: unknownAge,
		Steps:   s.subtree.depth(now),
	}
	plan, computedAt := s.options.Plans.Plan(now)
	if plan != nil {
		args.PlanAge = now.Sub(computedAt)
	}
	switch {
	case sum.Demand == nil:
	case s.parentKeepsDemand && s.demandPlanAt.Equal(computedAt) && now.Sub(s.demandSentAt) < planInterval:
		// Levels are computed with plans, so a demand is sent once per plan.
		args.DemandKept = true
	default:
		args.Demand, s.demandSentAt, s.demandPlanAt = sum.Demand.Encode(), now, computedAt
	}
	s.reportedAt = now
	return args
}

// setCountingParent sets the host that counts the requests reported by this host, and tells the
// previous one to stop counting them. Parents change whenever a host joins or leaves; without this,
// requests would be counted at both hosts for childTimeout. reportMu must be held.
func (s *Source) setCountingParent(parent Peer) {
	previous := s.countingParent
	s.countingParent = parent
	if previous.Name == "" || previous.Name == parent.Name {
		return
	}
	go s.detachFrom(previous)
}

// detachFrom tells a previous parent to stop counting this host's reports.
func (s *Source) detachFrom(previous Peer) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	// The client that was used to follow the host may be closed by now.
	client := s.newClient(previous.Secret)
	defer client.Close()
	var reply ExchangeReply
	if err := client.Call(ctx, previous.Address, exchangeCall, &ExchangeArgs{Host: s.options.Name, Leaves: true}, &reply); err != nil {
		logrus.WithError(err).WithField("peer", previous.Name).Debug("fleet: Detaching from the previous parent host failed.")
	}
}

// forgetReported discards the record of what was reported, so that the next report is complete.
func (s *Source) forgetReported() {
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	s.reportedTo = ""
}

// computePlan applies, at the root of the region, the reports of all hosts and computes a plan.
func (s *Source) computePlan(now time.Time) {
	own := s.state.Scores()
	s.subtree.setRegionScores(now, s.subtree.sumScores(now, own, ""))
	s.state.SetPeerScores(subtract(s.subtree.scores(now), own))
	s.options.Plans.ComputePlan(now, s.inProgress(now))
	s.logPlan(now)
	s.planUpdated.raise()
}

// logPlan logs a summary of the current plan, twice a second at one host per region.
func (s *Source) logPlan(now time.Time) {
	plan, _ := s.options.Plans.Plan(now)
	if plan == nil {
		return
	}
	summary := plan.Summary()
	logrus.WithFields(logrus.Fields{
		"named": summary.ListedEngines, "limited": summary.LimitedEngines, "most": summary.MaxLoad, "prompts": summary.Prompts, "bytes": plan.Size(),
	}).Info("fleet: Computed a plan.")
}

// inProgress returns the requests in progress at this host and its children.
func (s *Source) inProgress(now time.Time) placement.InProgress {
	return s.subtree.sumInProgress(now, s.options.Plans.InProgress(), "")
}

// exchangeReply returns what a child that called at the given time does not have yet.
func (s *Source) exchangeReply(now, calledAt time.Time, args *ExchangeArgs) ExchangeReply {
	reply := ExchangeReply{Scores: encodeScores(s.subtree.scores(now)), KeepsDemand: args.DemandKept || len(args.Demand) > 0}
	if s.hasPlanFor(now, calledAt, args) {
		plan, computedAt := s.options.Plans.Plan(now)
		reply.Plan, reply.PlanAge = plan, now.Sub(computedAt)
		s.subtree.chargePlan(now, args.Host, plan.Size())
	}
	return reply
}

// hasPlanFor reports whether this host has a newer plan than a child had when it called at the
// given time, and the budget to send it.
func (s *Source) hasPlanFor(now, calledAt time.Time, args *ExchangeArgs) bool {
	plan, computedAt := s.options.Plans.Plan(now)
	return plan != nil && computedAt.Sub(calledAt.Add(-args.PlanAge)) > planAgeTolerance && s.subtree.hasPlanBudget(now, args.Host)
}

// applyExchange applies a reply of the parent.
func (s *Source) applyExchange(now time.Time, reply *ExchangeReply) {
	own := s.state.Scores()
	s.subtree.setRegionScores(now, reply.Scores.decode())
	s.state.SetPeerScores(subtract(s.subtree.scores(now), own))
	if reply.Plan != nil {
		s.options.Plans.ApplyPlan(reply.Plan, now.Add(-reply.PlanAge))
	}
	s.reportMu.Lock()
	defer s.reportMu.Unlock()
	s.parentKeepsDemand = reply.KeepsDemand
}

// exchangeWith makes one exchange with the root of the region, which answers when it has computed a
// plan. Without an answer this host continues with what it has, which expires.
func (s *Source) exchangeWith(ctx context.Context, root Peer) {
	s.awaitChildren(ctx, s.planUpdatedAt)
	callCtx, cancel := context.WithTimeout(ctx, followPollWait+exchangeTimeout)
	defer cancel()
	args := s.exchangeArgs(time.Now(), root)
	var reply ExchangeReply
	if err := s.clientFor(root).Call(callCtx, root.Address, exchangeCall, &args, &reply); err != nil {
		s.forgetReported()
		if ctx.Err() == nil {
			s.suspect(ctx, root, err)
		}
		pause.For(ctx, exchangeTimeout)
		return
	}
	s.applyExchange(time.Now(), &reply)
	s.planUpdatedAt = time.Now()
	s.planUpdated.raise()
}

// awaitChildren waits until all active children have reported since the given time, up to a timeout
// that grows with the depth of the subtree.
func (s *Source) awaitChildren(ctx context.Context, since time.Time) {
	depth := s.subtree.depth(since)
	timer := time.NewTimer(time.Duration(depth) * gatherTimeoutPerLevel)
	defer timer.Stop()
	for {
		reported := s.subtree.reported.raised()
		if s.subtree.allReportedSince(since) {
			return
		}
		select {
		case <-reported:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
