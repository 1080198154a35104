package overload

// An allocation divides a budget of slots over the demand of a pool.
//
// Demand is served by rank, and what a surging workspace asks for beyond its usual rate after all else. Each rank
// gets a minimum first, so that none starves: what it needs up to minShareRatio of the budget, and minAdmissionRatio
// of the ratio admitted in total. A minimum never gives a rank a higher ratio than a more urgent one has.
type allocation struct {
	ranks [NumRanks]rankAllocation
	// budget and demand are the totals, in slots.
	budget, demand float64
}

// rankAllocation holds the slots that one rank needs and those that it gets, by kind of demand.
type rankAllocation struct {
	needs, gets [numKinds]float64
}

// The kinds of demand, in the order in which a rank is served.
const (
	newDemand = iota
	lateDemand
	excessDemand
	numKinds
)

// newAllocation returns an allocation for the rates of all ranks; excess is the ratio of all requests that surging
// workspaces send beyond their usual rates, and slowdown how much longer requests will take than they did.
func newAllocation(ranks *[NumRanks]rankState, excess, slowdown float64) *allocation {
	a := &allocation{}
	for r := range ranks {
		s := slowdown * ranks[r].slotTime().Seconds()
		a.ranks[r].needs = [numKinds]float64{newDemand: ranks[r].newRate * (1 - excess) * s, lateDemand: ranks[r].lateRate * (1 - excess) * s, excessDemand: (ranks[r].newRate + ranks[r].lateRate) * excess * s}
		for _, n := range a.ranks[r].needs {
			a.demand += n
		}
	}
	return a
}

// fill divides a budget.
func (a *allocation) fill(budget float64) {
	a.budget = max(budget, 0)
	if a.demand <= a.budget {
		for r := range a.ranks {
			a.ranks[r].gets = a.ranks[r].needs
		}
		return
	}
	minimums := a.minimums(newDemand, a.budget, a.overallRatio())
	for range fixedPointSteps {
		a.fillRanks(minimums)
		if !a.lowerMinimums(newDemand, &minimums) {
			break
		}
	}
	a.fillExcess()
}

// minimums returns the slots of a budget that one kind of demand of each rank gets before more urgent ranks; overall is
// the ratio at which all demand could be admitted.
func (a *allocation) minimums(kind int, budget, overall float64) [NumRanks]float64 {
	var minimums, extra [NumRanks]float64
	for r := range a.ranks {
		needs := a.ranks[r].needs[kind]
		minimums[r] = minAdmissionRatio * overall * needs
		extra[r] = max(min(needs, minShareRatio*budget)-minimums[r], 0)
	}
	// Many ranks must not take all of what urgency decides about.
	scale := min(maxExtraRatio*budget/max(sum(extra), minChange), 1)
	for r := range minimums {
		minimums[r] += scale * extra[r]
	}
	return minimums
}

// maxExtraRatio is the part of the budget that ranks get at most beyond minAdmissionRatio before more urgent ones.
const maxExtraRatio = 0.25

// fillRanks gives each rank what it needs, as far as the minimums of less urgent ones leave room.
func (a *allocation) fillRanks(minimums [NumRanks]float64) {
	reserved := sum(minimums)
	room := a.budget
	for r := range a.ranks {
		reserved -= minimums[r]
		rank := &a.ranks[r]
		rank.gets[newDemand] = min(rank.needs[newDemand], max(room-reserved, minimums[r]))
		room -= rank.gets[newDemand]
		rank.gets[lateDemand] = min(rank.needs[lateDemand], max(room-reserved, 0))
		room -= rank.gets[lateDemand]
	}
}

// lowerMinimums lowers the minimums that give a rank a higher ratio than a more urgent one has, and reports whether
// it changed any.
func (a *allocation) lowerMinimums(kind int, minimums *[NumRanks]float64) bool {
	changed, lowest := false, 1.0
	for r := range a.ranks {
		needs := a.ranks[r].needs[kind]
		if needs == 0 {
			continue
		}
		if bound := lowest * needs; minimums[r] > bound+minChange {
			minimums[r], changed = bound, true
		}
		lowest = min(lowest, a.ratio(kind, r))
	}
	return changed
}

// minChange is the least change of a minimum, in slots.
const minChange = 0.01

// fillExcess gives what is left to the excess of surging workspaces, by rank and with the same minimums.
func (a *allocation) fillExcess() {
	room, demand := a.budget, 0.0
	for r := range a.ranks {
		room -= a.ranks[r].gets[newDemand] + a.ranks[r].gets[lateDemand]
		demand += a.ranks[r].needs[excessDemand]
	}
	room = max(room, 0)
	minimums := a.minimums(excessDemand, room, min(room/max(demand, minChange), 1))
	for range fixedPointSteps {
		left, reserved := room, sum(minimums)
		for r := range a.ranks {
			reserved -= minimums[r]
			rank := &a.ranks[r]
			rank.gets[excessDemand] = min(rank.needs[excessDemand], max(left-reserved, minimums[r]))
			left -= rank.gets[excessDemand]
		}
		if !a.lowerMinimums(excessDemand, &minimums) {
			break
		}
	}
}

func sum(values [NumRanks]float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// ratio returns the part of one kind of demand of a rank that is admitted.
func (a *allocation) ratio(kind, rank int) float64 {
	needs := a.ranks[rank].needs[kind]
	if needs <= 0 {
		return a.ratioWithoutDemand(kind, rank)
	}
	return a.ranks[rank].gets[kind] / needs
}

// ratioWithoutDemand returns the ratio for a kind of demand that nobody asked for when the levels were computed: 1 if
// there is room.
func (a *allocation) ratioWithoutDemand(kind, rank int) float64 {
	for k := range kind {
		if a.ranks[rank].gets[k] < a.ranks[rank].needs[k]-minChange {
			return 0
		}
	}
	return 1
}

// isRankLimited reports whether not all of a rank is admitted.
func (a *allocation) isRankLimited(rank int) bool {
	for kind := range numKinds {
		if a.ratio(kind, rank) < 1 {
			return true
		}
	}
	return false
}

// isLimited reports whether not all is admitted.
func (a *allocation) isLimited() bool { return a.demand > a.budget }

// overallRatio returns the part of the whole demand that is admitted.
func (a *allocation) overallRatio() float64 { return min(a.budget/max(a.demand, minChange), 1) }

// highestRatio returns the ratio of the rank of which most is admitted.
func (a *allocation) highestRatio() float64 {
	highest := 0.0
	for r := range a.ranks {
		if a.ranks[r].needs[newDemand] > 0 {
			highest = max(highest, a.ratio(newDemand, r))
		}
	}
	return highest
}
