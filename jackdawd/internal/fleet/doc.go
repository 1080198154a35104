// Package fleet lets the hosts of the system learn from each other, so that few of
// them need to call the platform's store: two hosts of a region read it, and the others
// follow in a tree whose branches are the failure domains.
//
// Nothing here is agreed upon. Each host decides by its own list of hosts whom it
// follows; if lists differ, some hosts more read the store. What a follower knows is as
// old as what the host above knew plus the time of the call, and both are counted, so
// that its bounds hold whatever the host above does; one that is silent or itself behind
// is left for the store, and then for another one.
//
// Along the same tree hosts exchange what upstreams told of their loads, and what speaks
// against upstreams. Which requests crash upstreams is told at once in calls of its own, and
// kept on a board in the store.
package fleet
