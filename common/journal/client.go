package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jackdawhinge/common/wire"
)

// responseTimeout limits the wait for a response, for reads in addition to the time that the
// service may hold them for new records.
const responseTimeout = 5 * time.Second

// maxResponseBytes bounds the body of a response, which holds many records.
const maxResponseBytes = 64 << 20

// A Client calls the log service over HTTP.
type Client struct {
	baseURL    string
	httpClient *http.Client
	bytes      wire.Counter
}

// NewClient returns a client of the log service at baseURL, such as http://127.0.0.1:8470.
func NewClient(baseURL string) *Client {
	c := &Client{baseURL: baseURL}
	c.httpClient = c.bytes.NewHTTPClient()
	return c
}

// Bytes returns the number of bytes sent and received on the client's connections.
func (c *Client) Bytes() int64 {
	return c.bytes.Bytes()
}

// Append appends records to a stream atomically and returns the offset of the first. After
// ErrUnavailable the records may or may not have been appended.
func (c *Client) Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	body, err := json.Marshal(records)
	if err != nil {
		return 0, fmt.Errorf("encode records for stream %s: %w", stream, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, nil), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	var response struct {
		Offset int64 `json:"offset"`
	}
	if err := c.do(req, stream, 0, &response); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	return response.Offset, nil
}

// Read returns the records of a stream from the offset from on. If there are none, the service
// holds the request for up to wait until one is appended. If retention has removed the offset, it
// returns a TrimmedError.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+responseTimeout)
	defer cancel()
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "wait": {wait.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), http.NoBody)
	if err != nil {
		return Batch{}, fmt.Errorf("read stream %s: %w", stream, err)
	}
	var batch Batch
	if err := c.do(req, stream, from, &batch); err != nil {
		return Batch{}, fmt.Errorf("read stream %s from %d: %w", stream, from, err)
	}
	return batch, nil
}

func (c *Client) url(stream string, query url.Values) string {
	return c.baseURL + "/streams/" + url.PathEscape(stream) + "?" + query.Encode()
}

func (c *Client) do(req *http.Request, stream string, from int64, result any) error {
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := wire.ReadBody(resp.Body, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(body, result)
	case http.StatusGone:
		var batch Batch
		if err := json.Unmarshal(body, &batch); err != nil {
			return fmt.Errorf("%w: %w", ErrUnavailable, err)
		}
		return &TrimmedError{Stream: stream, From: from, Earliest: batch.Earliest}
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, resp.StatusCode)
	}
}
