// Package telemetry sets up a host's logs and traces and keeps its metrics. Other packages record
// counters, durations and gauges in a Meter, which serves them in Prometheus's format. A LogWriter
// writes log lines in the background and decides which are dropped when nobody reads them. The
// command line sets both up when the daemon starts.
package telemetry
