package delivery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"jackdawhinge/common/upstream"
	"jackdawhinge/common/wire"
)

// A Client sends HTTP requests to upstreams and other entry hosts. It is safe for concurrent use.
type Client struct {
	pooled      *http.Client
	noKeepAlive *http.Client
}

const (
	dialTimeout         = time.Second
	maxIdleConnsPerHost = 4
	idleConnTimeout     = 90 * time.Second
)

// An Option changes the transport of a Client.
type Option func(*http.Transport)

// WithDial returns an Option that sets the function by which a Client connects.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(t *http.Transport) { t.DialContext = dial }
}

// NewClient returns a Client that keeps a few idle connections to each address.
func NewClient(options ...Option) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        idleConnTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: wire.MaxHeaderBytes,
	}
	for _, option := range options {
		option(transport)
	}
	noKeepAlive := transport.Clone()
	noKeepAlive.DisableKeepAlives = true
	return &Client{
		pooled:      &http.Client{Transport: transport, CheckRedirect: keepRedirect},
		noKeepAlive: &http.Client{Transport: noKeepAlive, CheckRedirect: keepRedirect},
	}
}

// keepRedirect makes a redirect a response like any other. Following it would execute a request
// elsewhere that the caller did not send, and after some redirects as another method.
func keepRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
}

// Do sends a request on a pooled connection. A request that has a body is never retried.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	// http.Transport retries idempotent requests on connections that broke while idle. It never
	// retries a body that has no GetBody, so that an upstream does not execute a request twice
	// without the router's knowledge.
	req.GetBody = nil
	return c.pooled.Do(req)
}

// DoOnNewConn sends a request on a new connection. The peer may close an idle connection just as a
// request is sent on it, which leaves open whether the request arrived; a refused new connection
// proves that it did not.
func (c *Client) DoOnNewConn(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	return c.noKeepAlive.Do(req)
}

// DoByIdempotency sends an idempotent request on a pooled connection and any other on a new one.
func (c *Client) DoByIdempotency(req *http.Request, idempotent bool) (*http.Response, error) {
	if idempotent {
		return c.Do(req)
	}
	return c.DoOnNewConn(req)
}

// Cancel asks an upstream to cancel a request, and waits at most dialTimeout for its response.
func (c *Client) Cancel(address, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+address+upstream.RequestsPath+id, http.NoBody)
	if err != nil {
		return fmt.Errorf("cancel request at %s: %w", address, err)
	}
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("cancel request at %s: %w", address, err)
	}
	return resp.Body.Close()
}
