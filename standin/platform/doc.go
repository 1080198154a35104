// Package platform stands in for the platform's log service and host list,
// with the failures that tests ask for: outages, lost answers and trimming.
package platform
