// Package routing decides which upstream a request goes to and which entry
// host, its owner, counts that upstream's load.
//
// A View is immutable: it is made from the configuration and the host list, and
// the same list gives the same first choice and the same owner on every host. A
// Board holds what changes between two views: the loads that this host counts,
// those that other owners told it of, and the chats that were moved.
package routing
