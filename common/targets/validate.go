package targets

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	maxNameBytes        = 64
	maxShareSum         = 1.0001 // above 1 to tolerate rounding errors
	tokenHashLength     = 64
	maxFirstTokenTarget = 24 * time.Hour
	minLoadMultiple     = 1.05
	maxLoadMultiple     = 4
	maxEntriesPerKind   = 10_000
)

// A FieldError is a validation error of one field of a configuration or of settings.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns the field and its problem, separated by a colon.
func (e *FieldError) Error() string {
	return e.Field + ": " + e.Problem
}

// Validate returns a FieldError for the first invalid field: classes first, then workspaces, then
// models, each by name.
func (d Document) Validate() error {
	if err := d.validateClasses(); err != nil {
		return err
	}
	if err := d.validateWorkspaces(); err != nil {
		return err
	}
	return d.validateModels()
}

func (d Document) validateClasses() error {
	shareSum := 0.0
	for _, name := range slices.Sorted(maps.Keys(d.Classes)) {
		field := "classes." + name
		if err := validateName(field, name, len(d.Classes)); err != nil {
			return err
		}
		c := d.Classes[name]
		if err := c.validate(field); err != nil {
			return err
		}
		shareSum += c.Share
	}
	if shareSum > maxShareSum {
		return &FieldError{Field: "classes", Problem: fmt.Sprintf("the shares add up to %.3f, more than 1", shareSum)}
	}
	return nil
}

func (c Class) validate(field string) error {
	if c.FirstTokenWithin <= 0 || time.Duration(c.FirstTokenWithin) > maxFirstTokenTarget {
		return &FieldError{Field: field + ".first-token-within", Problem: "must be over 0 and at most 24h"}
	}
	if c.Share < 0 || c.Share > 1 {
		return &FieldError{Field: field + ".share", Problem: "must be from 0 to 1"}
	}
	if c.Worth < 0 {
		return &FieldError{Field: field + ".worth", Problem: "must not be negative"}
	}
	if c.Urgency != Urgent && c.Urgency != Normal && c.Urgency != Batch {
		return &FieldError{Field: field + ".urgency", Problem: fmt.Sprintf("%q is none of urgent, normal, batch", c.Urgency)}
	}
	return nil
}

func (d Document) validateWorkspaces() error {
	for _, name := range slices.Sorted(maps.Keys(d.Workspaces)) {
		field := "workspaces." + name
		if err := validateName(field, name, len(d.Workspaces)); err != nil {
			return err
		}
		w := d.Workspaces[name]
		if len(w.TokenSHA256) != tokenHashLength {
			return &FieldError{Field: field + ".token-sha256", Problem: "must be the 64 hexadecimal characters of a SHA-256 sum"}
		}
		for _, class := range w.Classes {
			if _, ok := d.Classes[class]; !ok {
				return &FieldError{Field: field + ".classes", Problem: fmt.Sprintf("there is no class %q", class)}
			}
		}
	}
	return nil
}

func (d Document) validateModels() error {
	for _, name := range slices.Sorted(maps.Keys(d.Models)) {
		field := "models." + name
		if err := validateName(field, name, len(d.Models)); err != nil {
			return err
		}
		m := d.Models[name]
		if m.Kind != Engine && m.Kind != Service {
			return &FieldError{Field: field + ".kind", Problem: fmt.Sprintf("%q is neither engine nor service", m.Kind)}
		}
		if m.LoadMultiple != 0 && (m.LoadMultiple < minLoadMultiple || m.LoadMultiple > maxLoadMultiple) {
			return &FieldError{Field: field + ".load-multiple", Problem: "must be from 1.05 to 4"}
		}
	}
	return nil
}

func validateName(field, name string, entries int) error {
	if name == "" || len(name) > maxNameBytes {
		return &FieldError{Field: field, Problem: "the name must have 1 to 64 bytes"}
	}
	if entries > maxEntriesPerKind {
		return &FieldError{Field: field, Problem: "there are too many entries of this kind"}
	}
	return nil
}
