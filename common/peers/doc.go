// Package peers carries control messages between the system's own processes,
// by net/rpc over TCP, and counts their bytes.
package peers
