// Package engine stands in for a model engine that batches continuously,
// caches prompt prefixes in limited memory, and resumes and cancels streams,
// and for a plain service beside it.
package engine
