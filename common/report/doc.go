// Package report holds what an entry host tells operators of itself.
package report
