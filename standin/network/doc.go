// Package network is an in-memory network for tests: many hosts run in one synctest bubble, with
// its fake clock, and tests can kill, freeze and partition the processes behind addresses.
package network
