// Package work defines a caller's request as entry hosts pass it on to each other, and the refusal that
// the caller gets when there is no response. A refusal states its reason and whether the request may
// have run, from which the caller decides whether a retry is safe. The packages that accept, route and
// run requests use it.
package work
