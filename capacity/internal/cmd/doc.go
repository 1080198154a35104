// Package cmd is the command line of capacity: it writes the tables of packages plan and days into
// pages and plots the fits of benchmarks.
package cmd
