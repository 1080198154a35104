// Package rig holds what a run consists of: hosts as processes, stand-ins for the
// store and the upstreams, proxies between them, and callers.
package rig
