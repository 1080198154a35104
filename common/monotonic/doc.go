// Package monotonic keeps intervals independent of the time of day, which may jump: it holds times with the monotonic
// reading that numbers of nanoseconds and decoded times lack.
package monotonic
