package register

import (
	"fmt"
	"maps"
	"slices"

	"jackdawhinge/common/targets"
)

// keptVerdicts is how many verdicts on changes a state remembers for operators who ask again.
const keptVerdicts = 256

// A Verdict is what the fold decided on a change.
type Verdict string

// The verdicts on a change.
const (
	Accepted Verdict = "accepted"
	Conflict Verdict = "conflict"
	Invalid  Verdict = "invalid"
)

// A Decision is the verdict on one change; its revision is one more than the offset of the change's first record, so that 0 is before any.
type Decision struct {
	ID       string  `json:"id"`
	Revision int64   `json:"revision"`
	Operator string  `json:"operator,omitempty"`
	Verdict  Verdict `json:"verdict"`
	Reason   string  `json:"reason,omitempty"`
}

// A State is the configuration in force and what is needed to decide on the next change.
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

// Decision returns the decision on a change that is still remembered.
func (s State) Decision(id string) (Decision, bool) {
	for _, d := range s.Decisions {
		if d.ID == id {
			return d, true
		}
	}
	return Decision{}, false
}

// Apply returns the state after a change at an offset; the receiver is left as it was.
func (s State) Apply(offset int64, c Change) State {
	if _, ok := s.Decision(c.ID); ok {
		// A change whose append answer was lost may stand in the log twice.
		// The first record decides; counting the second would undo what came between.
		return s
	}
	revision := offset + 1
	d := Decision{ID: c.ID, Revision: revision, Operator: c.Operator, Verdict: Accepted}
	next, err := s.patched(revision, c)
	switch {
	case s.conflict(c) != "":
		d.Verdict, d.Reason = Conflict, s.conflict(c)
	case err != nil:
		d.Verdict, d.Reason = Invalid, err.Error()
	}
	if d.Verdict != Accepted {
		next = s
	}
	next.Decisions = appendBounded(s.Decisions, d)
	return next
}

// conflict returns which entry was changed after the change's base, or "" for none.
func (s State) conflict(c Change) string {
	for _, entry := range c.Patch.Entries() {
		if at := s.Entries[entry]; at > c.Base {
			return fmt.Sprintf("%s was changed at revision %d, after base %d", entry, at, c.Base)
		}
	}
	return ""
}

func (s State) patched(revision int64, c Change) (State, error) {
	next := State{
		Revision: revision,
		Document: targets.Document{
			Classes:    merge(s.Document.Classes, c.Patch.Classes),
			Workspaces: merge(s.Document.Workspaces, c.Patch.Workspaces),
			Models:     merge(s.Document.Models, c.Patch.Models),
		},
		Entries: maps.Clone(s.Entries),
	}
	for _, entry := range c.Patch.Entries() {
		// A deleted entry keeps its revision, so that a change made before the
		// deletion cannot bring the entry back.
		next.Entries[entry] = revision
	}
	return next, next.Document.Validate()
}

// Entries returns the names of the entries that the patch touches, such as classes.portal, in order.
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
	// Hosts must give the same reason for the same refusal.
	slices.Sort(names)
	return names
}

func merge[T any](old map[string]T, patch map[string]*T) map[string]T {
	out := maps.Clone(old)
	if out == nil {
		out = map[string]T{}
	}
	for name, v := range patch {
		if v == nil {
			delete(out, name)
			continue
		}
		out[name] = *v
	}
	return out
}

func appendBounded(old []Decision, d Decision) []Decision {
	kept := old
	if len(kept) >= keptVerdicts {
		kept = kept[len(kept)-keptVerdicts+1:]
	}
	out := make([]Decision, 0, len(kept)+1)
	out = append(out, kept...)
	return append(out, d)
}
