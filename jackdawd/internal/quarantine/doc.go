// Package quarantine keeps requests from upstreams that crash under them.
//
// The load pattern is one caller who sends the same request again and again, to any host. Each
// upstream that begins to run it ends, and breaks off what it does for everybody else. Each copy
// looks new, and each host sees few of the crashes, so that nothing but the sum over copies and
// hosts tells such a request from its many victims, which were at the same upstreams.
//
// A Registry holds one case for each request under which an upstream ended. Copies of a request
// share a Fingerprint. A case in which enough upstreams ended, one after the other, and in which
// none has answered since bars the request: it is refused without being run. Cases of several
// hosts merge in any order and any number of times.
package quarantine
