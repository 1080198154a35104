// Package verdict checks the system's promises against what callers and upstreams
// saw. It knows nothing of how they came to see it.
package verdict
