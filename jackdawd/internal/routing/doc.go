// Package routing decides which upstream a request goes to and which entry
// host, its owner, counts that upstream's load. Views are immutable; boards
// hold what changes between two views.
package routing
