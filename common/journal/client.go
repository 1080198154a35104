package journal

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"jackdawhinge/common/wire"
)

// answerSlack is how long past a read's own wait the client still waits for the answer.
const answerSlack = 5 * time.Second

// A Client is a connection to the log service over HTTP.
type Client struct {
	base string
	http *http.Client
	wire wire.Counter
}

// NewClient returns a client of the log service at base, such as http://127.0.0.1:8470.
func NewClient(base string) *Client {
	c := &Client{base: base}
	c.http = c.wire.Client()
	return c
}

// Bytes returns how many bytes this client's connections have carried, both ways.
func (c *Client) Bytes() int64 {
	return c.wire.Bytes()
}

// Append adds records to a stream in one atomic append and returns the offset of the first; after ErrUnavailable it may have taken effect.
func (c *Client) Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, answerSlack)
	defer cancel()
	body, err := json.Marshal(records)
	if err != nil {
		return 0, fmt.Errorf("encode records for stream %s: %w", stream, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, nil), bytes.NewReader(body))
	if err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	var answer struct {
		Offset int64 `json:"offset"`
	}
	if err := c.do(req, stream, 0, &answer); err != nil {
		return 0, fmt.Errorf("append to stream %s: %w", stream, err)
	}
	return answer.Offset, nil
}

// Read returns the records of a stream from an offset on, waiting up to wait for the first new one.
func (c *Client) Read(ctx context.Context, stream string, from int64, wait time.Duration) (Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+answerSlack)
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
	return c.base + "/streams/" + url.PathEscape(stream) + "?" + query.Encode()
}

func (c *Client) do(req *http.Request, stream string, from int64, answer any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return json.Unmarshal(body, answer)
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
