// Package fleet lets the hosts of the system learn from each other, so that few of
// them need to call the platform's store: readers read it, all others follow a reader.
//
// Nothing here is agreed upon. Each host decides by its own list of hosts whom it
// takes for a reader; if lists differ, some hosts more read the store. What a follower
// knows is as old as what its reader knew plus the time of the call, and both are
// counted, so that its bounds hold whatever a reader does; a reader that is silent or
// itself behind is left for the next one, and then for the store.
package fleet
