package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// sameCrashWindow is how far apart hosts may see the crash of one upstream.
const sameCrashWindow = 500 * time.Millisecond

// explainedCrashes holds when upstreams crashed because of a known cause, by instance.
type explainedCrashes map[uint32][]time.Time

// contains reports whether a crash has a known cause.
func (e explainedCrashes) contains(c crash) bool {
	return slices.ContainsFunc(e[c.instance], func(at time.Time) bool { return c.crashedAt.Sub(at).Abs() <= sameCrashWindow })
}

// attribute attributes crashes to as few suspects as possible, and returns those that are causes. The
// suspect with the most crashes comes first; the others keep only the crashes that it does not
// explain. So what was often at the same upstreams as the cause is not taken for one, and is released
// if it was. All hosts with the same records come to the same result.
func attribute(suspects map[Fingerprint]*suspect) (causes []*suspect) {
	var candidates []*suspect
	for _, s := range suspects {
		s.causeSince = time.Time{}
		if len(s.crashes) >= s.threshold() {
			candidates = append(candidates, s)
		}
	}
	slices.SortFunc(candidates, compareCandidates)
	explained := explainedCrashes{}
	for _, s := range candidates {
		left := slices.DeleteFunc(slices.Clone(s.crashes), explained.contains)
		sequence := s.sequence(left)
		if len(sequence) < s.threshold() {
			continue
		}
		s.causeSince = sequence[s.threshold()-1].crashedAt
		causes = append(causes, s)
		for _, c := range s.crashes {
			explained[c.instance] = append(explained[c.instance], c.crashedAt)
		}
	}
	return causes
}

// answeredRank returns 1 if an upstream has ever responded to a request of the suspect, else 0.
func answeredRank(s *suspect) int {
	if s.answeredAt.IsZero() {
		return 0
	}
	return 1
}

// compareCandidates orders suspects by how likely they are causes. Of those with the same number of
// crashes come first those that no upstream has ever responded to, and then those that concern the
// fewest requests.
func compareCandidates(a, b *suspect) int {
	return cmp.Or(
		-cmp.Compare(len(a.crashes), len(b.crashes)),
		cmp.Compare(answeredRank(a), answeredRank(b)),
		cmp.Compare(a.subject.Kind.breadth(), b.subject.Kind.breadth()),
		-cmp.Compare(a.subject.Depth, b.subject.Depth),
		cmp.Compare(a.subject.Fingerprint, b.subject.Fingerprint),
	)
}
