package delivery

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"jackdawhinge/common/upstream"
)

// A Client calls upstreams and other entry hosts by HTTP.
type Client struct {
	http  *http.Client
	fresh *http.Client
}

const (
	dialTimeout     = time.Second
	idleConns       = 4
	idleConnTimeout = 90 * time.Second
)

// An Option changes how a client connects.
type Option func(*http.Transport)

// WithDial makes a client connect by the function given.
func WithDial(dial func(ctx context.Context, network, address string) (net.Conn, error)) Option {
	return func(t *http.Transport) { t.DialContext = dial }
}

// NewClient returns a client that keeps a few idle connections to each address.
func NewClient(options ...Option) *Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}
	for _, option := range options {
		option(transport)
	}
	fresh := transport.Clone()
	fresh.DisableKeepAlives = true
	return &Client{http: &http.Client{Transport: transport}, fresh: &http.Client{Transport: fresh}}
}

// Close closes the connections that are idle.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Do sends a request; no redirect is followed and no failure repeated.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	// The transport repeats requests on connections that broke while idle if
	// it holds them for idempotent. A body without GetBody is never repeated,
	// so an upstream cannot be made to execute twice behind the router's back.
	req.GetBody = nil
	return c.http.Do(req)
}

// DoFresh sends a request on a connection of its own. The other side may close an
// idle connection just as a request is sent on it, and then nobody can tell whether
// the request arrived; on a fresh one a refused connection proves that it did not.
func (c *Client) DoFresh(req *http.Request) (*http.Response, error) {
	req.GetBody = nil
	return c.fresh.Do(req)
}

// DoFor sends a request on a fresh connection unless it is idempotent.
func (c *Client) DoFor(req *http.Request, idempotent bool) (*http.Response, error) {
	if idempotent {
		return c.Do(req)
	}
	return c.DoFresh(req)
}

// Cancel asks an upstream to stop working on a request; the answer is not waited for beyond the timeout.
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
