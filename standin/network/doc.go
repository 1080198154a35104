// Package network stands in for the network: connections in memory, so that
// tests of many hosts run on the paused clock and can cut what they like.
package network
