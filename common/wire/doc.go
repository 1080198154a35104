// Package wire counts the bytes that connections carry.
package wire
