// Package entry puts one entry host together that serves callers on a platform
// which an adapter stands for.
package entry
