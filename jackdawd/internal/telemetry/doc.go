// Package telemetry sets up logs and traces, and counts what operators watch.
package telemetry
