// Package relay forwards a caller's request to an upstream and returns the complete response, in
// order, to that caller.
//
// A Handler reads each request from the host's listener and checks it against the configuration. A
// job then selects upstreams from the membership snapshot, their loads and the cached prompts, and
// tries them one after the other as far as the route and the retry budget allow. It ends with an
// upstream's response, or with a refusal that says whether the request may have been executed.
// Package entry builds the Handler and serves it.
package relay
