// Package plan draws the faults of a run from a seed: one seed gives one plan.
package plan
