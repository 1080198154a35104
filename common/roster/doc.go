// Package roster reads the platform's list of live and leaving hosts, which
// lags and may differ from one reader to the next.
package roster
