// Package exchange sends one request to an upstream and reads its answer, over
// kept connections.
//
// It stands in the place of net/http's client transport because that one sends
// a request again by itself when a kept connection turns out to be closed, for
// any GET, and pairs whatever bytes come next with the request in progress. Here
// a request is written once, an error says whether any of it left this host, and
// an answer to an earlier request is recognized and passed over.
package exchange
