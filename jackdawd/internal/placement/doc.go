// Package placement decides which upstream a request goes to. It answers a load
// in which few prompts are asked for very often while engines come and go: requests
// that share a prompt meet where it is cached, unless that engine is well above
// the mean of its pool.
package placement
