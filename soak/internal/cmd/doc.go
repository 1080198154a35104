// Package cmd is the command line of soak: it runs the plans of seeds against real entry hosts with
// package rig, checks the records with package verdict and prints the violations.
package cmd
