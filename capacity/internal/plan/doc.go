// Package plan fits slopes to benchmark output and works out tables from them.
package plan
