// Package rig is the testbed of one soak run: entry hosts as processes, stand-ins for the store and
// the upstreams, fault-injecting proxies between them, and callers. Run injects the faults of a
// seed's plan and returns a record, which package verdict checks; the soak command calls it.
package rig
