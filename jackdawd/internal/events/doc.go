// Package events splits a stream of server-sent events at event boundaries. The relay forwards only
// complete events, so that a stream that breaks off inside an event can resume after the last
// complete one without sending a part of an event twice.
package events
