// Package plan generates the faults of a soak run from a seed, always the same ones for the same
// seed, and lists the seeds of past failures. The soak command prints plans, and package rig
// injects them.
package plan
