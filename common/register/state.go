package register

import (
	"fmt"
	"maps"
	"slices"

	"jackdawhinge/common/targets"
)

// maxDecisions is the number of latest decisions that a state keeps, for operators who retry a
// change or list the history.
const maxDecisions = 256

// A Verdict is the outcome of a change.
type Verdict string

// The outcomes of a change.
const (
	// Accepted means that the change was applied.
	Accepted Verdict = "accepted"
	// Conflict means that another change to an entry came after the change's base revision.
	Conflict Verdict = "conflict"
	// Invalid means that the resulting configuration would not be valid.
	Invalid Verdict = "invalid"
)

// A Decision is the outcome of one change. Its revision is the offset of the change's first record
// plus one, so that revision 0 precedes every change.
type Decision struct {
	ID       string  `json:"id"`
	Revision int64   `json:"revision"`
	Operator string  `json:"operator,omitempty"`
	Verdict  Verdict `json:"verdict"`
	Reason   string  `json:"reason,omitempty"`
}

// A State is the configuration in force, with the revision of each entry and the latest decisions,
// which decide on the next change.
type State struct {
	Revision  int64            `json:"revision"`
	Document  targets.Document `json:"document"`
	Entries   map[string]int64 `json:"entries"`
	Decisions []Decision       `json:"decisions"`
}

// NewState returns the state before the first record.
func NewState() State {
	return State{
		Document: targets.Document{
			Classes:    map[string]targets.Class{},
			Workspaces: map[string]targets.Workspace{},
			Models:     map[string]targets.Model{},
		},
		Entries: map[string]int64{},
	}
}

// Decision returns the decision on a change, and false if none is kept.
func (s State) Decision(id string) (Decision, bool) {
	for _, d := range s.Decisions {
		if d.ID == id {
			return d, true
		}
	}
	return Decision{}, false
}

// Apply returns the state after the change recorded at an offset; it does not modify the receiver.
func (s State) Apply(offset int64, c Change) State {
	if _, ok := s.Decision(c.ID); ok {
		// An append is retried when its response was lost, so a change may be in the log twice. The
		// first record decides; applying the second would undo the changes between them.
		return s
	}
	revision := offset + 1
	d := Decision{ID: c.ID, Revision: revision, Operator: c.Operator, Verdict: Accepted}
	next, err := s.withPatch(revision, c)
	switch {
	case s.conflictReason(c) != "":
		d.Verdict, d.Reason = Conflict, s.conflictReason(c)
	case err != nil:
		d.Verdict, d.Reason = Invalid, err.Error()
	}
	if d.Verdict != Accepted {
		next = s
	}
	next.Decisions = appendDecision(s.Decisions, d)
	return next
}

// conflictReason describes the first entry of c that was changed after the base revision, or is
// empty.
func (s State) conflictReason(c Change) string {
	for _, entry := range c.Patch.Entries() {
		if changed := s.Entries[entry]; changed > c.BaseRevision {
			return fmt.Sprintf("%s was changed at revision %d, after base %d", entry, changed, c.BaseRevision)
		}
	}
	return ""
}

// withPatch returns the state with the patch applied, and an error if its configuration is invalid.
func (s State) withPatch(revision int64, c Change) (State, error) {
	next := State{
		Revision: revision,
		Document: targets.Document{
			Classes:    mergePatch(s.Document.Classes, c.Patch.Classes),
			Workspaces: mergePatch(s.Document.Workspaces, c.Patch.Workspaces),
			Models:     mergePatch(s.Document.Models, c.Patch.Models),
		},
		Entries: maps.Clone(s.Entries),
	}
	for _, entry := range c.Patch.Entries() {
		// A deleted entry keeps its revision, so that a change based on an earlier revision cannot
		// restore it.
		next.Entries[entry] = revision
	}
	return next, next.Document.Validate()
}

// Entries returns the names of the entries that the patch sets or deletes, such as classes.portal,
// sorted.
func (p Patch) Entries() []string {
	names := make([]string, 0, len(p.Classes)+len(p.Workspaces)+len(p.Models))
	for n := range p.Classes {
		names = append(names, "classes."+n)
	}
	for n := range p.Workspaces {
		names = append(names, "workspaces."+n)
	}
	for n := range p.Models {
		names = append(names, "models."+n)
	}
	// Sorted, so that every host gives the same reason for a rejected change.
	slices.Sort(names)
	return names
}

func mergePatch[T any](current map[string]T, patch map[string]*T) map[string]T {
	merged := maps.Clone(current)
	if merged == nil {
		merged = map[string]T{}
	}
	for name, v := range patch {
		if v == nil {
			delete(merged, name)
			continue
		}
		merged[name] = *v
	}
	return merged
}

// appendDecision returns a copy of decisions with d appended that keeps the latest maxDecisions.
func appendDecision(decisions []Decision, d Decision) []Decision {
	kept := decisions
	if len(kept) >= maxDecisions {
		kept = kept[len(kept)-maxDecisions+1:]
	}
	out := make([]Decision, 0, len(kept)+1)
	out = append(out, kept...)
	return append(out, d)
}
