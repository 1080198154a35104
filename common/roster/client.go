package roster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"jackdawhinge/common/wire"
)

// readTimeout limits one read of the host list.
const readTimeout = 5 * time.Second

// maxListBytes bounds the body of a response, a few hundred bytes a host.
const maxListBytes = 16 << 20

// A Client reads the host list over HTTP.
type Client struct {
	url        string
	httpClient *http.Client
	bytes      wire.Counter
}

// NewClient returns a client of the host list at url.
func NewClient(url string) *Client {
	c := &Client{url: url}
	c.httpClient = c.bytes.NewHTTPClient()
	return c
}

// Bytes returns the number of bytes sent and received on the client's connections.
func (c *Client) Bytes() int64 {
	return c.bytes.Bytes()
}

// Read returns the list and its entity tag. It returns changed as false and no list if the list
// still has the entity tag given.
func (c *Client) Read(ctx context.Context, tag string) (list List, newTag string, changed bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, http.NoBody)
	if err != nil {
		return List{}, "", false, fmt.Errorf("read host list: %w", err)
	}
	if tag != "" {
		req.Header.Set("If-None-Match", tag)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return List{}, "", false, fmt.Errorf("read host list: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := wire.ReadBody(resp.Body, maxListBytes)
	if err != nil {
		return List{}, "", false, fmt.Errorf("read host list: %w", err)
	}
	if resp.StatusCode == http.StatusNotModified {
		return List{}, tag, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return List{}, "", false, fmt.Errorf("read host list: status %d", resp.StatusCode)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return List{}, "", false, fmt.Errorf("read host list: %w", err)
	}
	return list, resp.Header.Get("Etag"), true, nil
}
