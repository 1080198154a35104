// Package work holds what passes through an entry host: an item of work, and
// the refusal that a caller gets when there is no answer.
package work
