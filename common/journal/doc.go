// Package journal is the client of the platform's append-only log service:
// it appends records to named streams and reads them back by offset.
package journal
