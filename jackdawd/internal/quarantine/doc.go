// Package quarantine decides which requests are no longer sent to upstreams because upstreams crash
// while they run them.
//
// It guards against requests that crash each upstream that starts to run them, and so cut off all
// other requests there. They arrive at any host, and what they have in common may be all of their
// content, as in copies that a caller keeps sending, or a single part of their prompts.
//
// A Subject is what requests may have in common. A Registry holds a suspect for each subject of the
// requests that were at an upstream when it crashed. Each crash has one cause, and most suspects were
// there by chance. A subject is cleared when an upstream ran a request with it and lived on, and crashes
// are attributed to as few subjects as possible. A subject to which enough crashes are attributed is
// quarantined: requests with it are refused without being run, but for a probe now and then.
//
// The relay reports crashes and responses, and asks before it sends; the fleet package exchanges Records
// between hosts and stores those of quarantined subjects. Records merge in any order and any number
// of times.
package quarantine
