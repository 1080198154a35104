package main

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	routeHost = "letters.example"
	key       = "n2ctnfzs989anu6wsjnb"
)

// ownTokens is the length of the part of a prompt that only its request has, in tokens.
const ownTokens = 100

// promptID returns the identifier of that part, which is a hexadecimal number.
func promptID(id string) string { return fmt.Sprintf("%x", id) }

// A call is one request of a client.
type call struct {
	id, path string
	// part is the part of the prompt that requests share, shared its length in tokens; events is how many events are
	// asked for.
	part   string
	shared int
	events int
	// after is the last event that the client has.
	after string
}

// An outcome is what a client saw of a call.
type outcome struct {
	status int
	sealed bool
	events []string
	// err is set if the response is not complete.
	err      error
	duration time.Duration
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8}}
}

// stream sends a request for a stream and reads it; onEvent is called with each event, nil for nothing.
func stream(client *http.Client, address string, c call, onEvent func(n int)) outcome {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, "http://"+address+c.path, strings.NewReader("prompt"))
	if err != nil {
		return outcome{err: err}
	}
	req.Host = routeHost
	for name, value := range map[string]string{
		"X-Attempt-Id": c.id, "X-Model": "m", "X-Deadline-Ms": "15000", "Authorization": "Bearer " + key,
		"X-Token-Usage": fmt.Sprintf("%d,%d", c.shared+ownTokens, c.events), "X-Prompt-Prefix": fmt.Sprintf("%s:%d,%s:%d", c.part, c.shared, promptID(c.id), ownTokens),
	} {
		req.Header.Set(name, value)
	}
	if c.after != "" {
		req.Header.Set("Last-Event-Id", c.after)
	}
	resp, err := client.Do(req)
	if err != nil {
		return outcome{err: err, duration: time.Since(start)}
	}
	defer func() { _ = resp.Body.Close() }()
	o := outcome{status: resp.StatusCode, sealed: resp.Header.Get("X-Response-Seal") != ""}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			o.events = append(o.events, event)
			if onEvent != nil {
				onEvent(len(o.events))
			}
		}
	}
	o.err, o.duration = lines.Err(), time.Since(start)
	return o
}
