// Package exchange is the HTTP/1.1 client for requests to upstreams. It sends one request over a
// pooled connection and reads its response. The relay calls it for each attempt of a request.
//
// It is used instead of http.Transport, which by itself sends any GET again when a pooled
// connection turns out to be closed, and takes whatever bytes come next as the response to the
// current request. This client writes a request once, its errors say whether any of the request
// left this host, and it recognizes and skips responses to earlier requests.
package exchange
