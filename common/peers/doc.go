// Package peers is the control plane's RPC transport: it carries control messages between entry
// hosts, and from the command line to them, by net/rpc over TCP, and counts their bytes. It defines
// the messages of entry hosts. A client authenticates each connection by the hash of the fleet's
// shared secret. The services behind the calls are registered by the daemon's packages node
// and fleet.
package peers
