package cmd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	daemon "jackdawhinge/jackdawd/command"
	standin "jackdawhinge/standin/command"
)

const (
	awaitTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"jackdaw":  func() { os.Exit(Main()) },
		"jackdawd": func() { os.Exit(daemon.Main()) },
		"standin":  func() { os.Exit(standin.Main()) },
	})
}

// TestScripts runs the scripts on operators' commands and client requests against the real
// programs.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("testdata", "scripts"),
		Setup: setUp,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"post":         post,
			"post-until":   postUntil,
			"await":        awaitStatusCode,
			"begin-stream": beginStream,
			"end-stream":   endStream,
		},
	})
}

// setUp writes the settings files of the stand-ins, two entry hosts and the command line.
func setUp(env *testscript.Env) error {
	ports := newAddresses(12)
	for i, p := range ports {
		env.Setenv(fmt.Sprintf("P%d", i), p)
	}
	host := func(name, domain string, at int) string {
		return fmt.Sprintf(`{"name":%q,"failure-domain":%q,"listen":{"callers":%q,"peers":%q,"control":%q,"admin":%q},
			"log-service":"http://%s","host-list":"http://%s/hosts","fleet-secret":"secret-of-the-fleet","stop-within":"20s","unready-for":"2s"}`,
			name, domain, ports[at], ports[at+1], ports[at+2], ports[at+3], ports[0], ports[0])
	}
	files := map[string]string{
		"entry-1.json": host("entry-1", "r/a", 1),
		"entry-2.json": host("entry-2", "r/b", 5),
		"jackdaw.json": fmt.Sprintf(`{"log-service":"http://%s","host-list":"http://%s/hosts","fleet-secret":"secret-of-the-fleet","host":%q}`, ports[0], ports[0], ports[4]),
		"standin.json": fmt.Sprintf(`{"platform":%q,"step":"5ms","entry-hosts":[
			{"name":"entry-1","role":"entry","state":"live","failure-domain":"r/a","address":%q,"control":%q},
			{"name":"entry-2","role":"entry","state":"live","failure-domain":"r/b","address":%q,"control":%q}],
			"upstreams":[
			{"name":"engine-1","role":"upstream","state":"live","failure-domain":"r/a","address":%q,"models":["reader"],"capacity-tokens":100000},
			{"name":"engine-2","role":"upstream","state":"live","failure-domain":"r/b","address":%q,"models":["reader"],"capacity-tokens":100000},
			{"name":"mailbox-1","role":"upstream","state":"live","failure-domain":"r/b","address":%q,"models":["mailbox"]}]}`,
			ports[0], ports[2], ports[3], ports[6], ports[7], ports[9], ports[10], ports[11]),
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// scriptCount numbers the scripts, each of which gets its own loopback address.
var scriptCount atomic.Int32

// firstPort is below the range of ephemeral ports.
const firstPort = 20_000

// newAddresses returns n addresses that no other script uses. The programs must know each other's
// addresses before they start, which rules out port 0, and a port that was found free may be taken
// by an outgoing connection before it is used. So each script of each run has its own loopback IP
// address, with ports below the ephemeral range.
func newAddresses(n int) []string {
	ip := fmt.Sprintf("127.%d.%d.%d", os.Getpid()>>8%128+1, os.Getpid()%256, scriptCount.Add(1))
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = fmt.Sprintf("%s:%d", ip, firstPort+i)
	}
	return addresses
}

// openStreams holds the body of the unfinished response of each script, by the script's name.
var openStreams sync.Map

// begin-stream URL BODY [HEADER...] sends a request and waits for the first byte of the response
// body.
func beginStream(ts *testscript.TestScript, _ bool, args []string) {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, args[0], strings.NewReader(args[1]))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer try-me")
	req.Header.Set("X-Workspace", "mailroom")
	req.Header.Set("X-Class", "portal")
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	first := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, first)
	ts.Check(err)
	openStreams.Store(ts.Name(), resp.Body)
}

// end-stream FILE writes the rest of the response body to FILE.
func endStream(ts *testscript.TestScript, _ bool, args []string) {
	body, _ := openStreams.LoadAndDelete(ts.Name())
	reader := body.(io.ReadCloser)
	defer func() { _ = reader.Close() }()
	rest, err := io.ReadAll(reader)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), rest, 0o600))
}

// await URL waits until the response to a GET request has status 200; ! await URL, status 503.
func awaitStatusCode(ts *testscript.TestScript, neg bool, args []string) {
	want := http.StatusOK
	if neg {
		want = http.StatusServiceUnavailable
	}
	ctx, cancel := context.WithTimeout(context.Background(), awaitTimeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, args[0], http.NoBody)
		ts.Check(err)
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == want {
				return
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			ts.Fatalf("%s did not return the expected status: %v", args[0], err)
		}
	}
}

// post URL FILE BODY [HEADER...] sends a request and writes the status line and body of the
// response to FILE.
func post(ts *testscript.TestScript, _ bool, args []string) {
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), postOnce(ts, args), 0o600))
}

// post-until STATUS URL FILE BODY [HEADER...] repeats a request, as a client that honors
// Retry-After does, until the response has the status.
func postUntil(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range awaitTimeout / pollInterval {
		response := postOnce(ts, args[1:])
		ts.Check(os.WriteFile(ts.MkAbs(args[2]), response, 0o600))
		if bytes.HasPrefix(response, []byte("status "+args[0])) {
			return
		}
		<-ticker.C
	}
	ts.Fatalf("no response had status %s", args[0])
}

func postOnce(ts *testscript.TestScript, args []string) []byte {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, args[0], strings.NewReader(args[2]))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer try-me")
	req.Header.Set("X-Workspace", "mailroom")
	for _, h := range args[3:] {
		name, value, _ := strings.Cut(h, "=")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	fmt.Fprintf(&b, "status %d retry %t\n", resp.StatusCode, resp.Header.Get("Retry-After") != "")
	_, err = io.Copy(&b, resp.Body)
	ts.Check(err)
	return b.Bytes()
}
