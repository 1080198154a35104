// Package plan fits linear cost models to benchmark output and computes the tables of the capacity
// page from them: the costs of each mechanism in each deployment, and whether a host stays within
// its budgets. The capacity command calls it.
package plan
