// Package wire counts the bytes sent and received on connections. The clients and servers of the
// control plane and of the platform's services use it to report their traffic.
package wire
