// Package platform has in-memory stand-ins for the platform's log service and host list. Tests
// inject the faults of the log service: outages, lost responses and trimmed streams. Tests use it
// in-process, and the standin command serves it over HTTP.
package platform
