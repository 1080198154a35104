package cmd

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
)

// TestPlatformScripts runs the scripts on client requests and on-call operations on the users'
// platform against the real programs.
func TestPlatformScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("..", "..", "..", "platform", "testdata", "scripts"),
		Setup: setUpPlatform,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"await":        awaitStatusCode,
			"await-line":   awaitLine,
			"await-status": awaitStatus,
			"call":         sendAndSave,
			"call-until":   sendUntilStatus,
			"stream":       streamAndSave,
			"crowd":        streamConcurrently,
			"order":        sendStandinOrder,
			"begin":        beginPlatformStream,
			"end-stream":   endStream,
			"occupy":       occupyAddress,
			"release":      releaseAddress,
			"refused":      checkConnectionRefused,
			"find":         extractVariable,
		},
	})
}

// hostPorts is the number of ports of a host: for clients, readiness, admin queries and other
// hosts.
const hostPorts = 4

// setUpPlatform writes the settings files of two hosts and expands the addresses in fleet.json.
func setUpPlatform(env *testscript.Env) error {
	ports := newAddresses(16)
	for i, p := range ports {
		env.Setenv(fmt.Sprintf("P%d", i), p)
	}
	ip, _, _ := strings.Cut(ports[0], ":")
	for i, host := range []string{"entry-1", "entry-2"} {
		firstIndex := 1 + hostPorts*i
		_, adminPortText, _ := strings.Cut(ports[firstIndex+2], ":")
		adminPort, err := strconv.Atoi(adminPortText)
		if err != nil {
			return err
		}
		text := standin.Settings(standin.HostSpec{
			Host: host, FailureDomain: "ab"[i : i+1], IP: ip, CallerAddress: ports[firstIndex], ReadinessAddress: ports[firstIndex+1], FirstInternalPort: adminPort,
			StoreAddress: ports[0], MaxRevocationDelay: 2 * time.Second,
		})
		if err := os.WriteFile(filepath.Join(env.WorkDir, host+".yaml"), text, 0o600); err != nil {
			return err
		}
		querySettings := fmt.Sprintf(`{"host":%q}`, ports[firstIndex+2])
		if err := os.WriteFile(filepath.Join(env.WorkDir, host+"-query.json"), []byte(querySettings), 0o600); err != nil {
			return err
		}
	}
	binDir, _, _ := strings.Cut(env.Getenv("PATH"), string(filepath.ListSeparator))
	env.Setenv("BIN", binDir)
	repo, err := filepath.Abs(filepath.Join("..", "..", ".."))
	if err != nil {
		return err
	}
	env.Setenv("REPO", repo)
	env.Setenv("SETTINGS", platform.SettingsVariable)
	path := filepath.Join(env.WorkDir, "fleet.json")
	fleet, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(os.Expand(string(fleet), env.Getenv)), 0o600)
}

func newPlatformCaller(address string) standin.Caller {
	return standin.Caller{Address: address, Host: "letters.example", Key: "try-me", Timeout: 10 * time.Second}
}

// sendRequest sends a request and returns the status, whether Retry-After is set, and the body of
// the response. It calls onFirstLine after the first line of the body.
func sendRequest(ts *testscript.TestScript, req *http.Request, onFirstLine func()) string {
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	fmt.Fprintf(&b, "status %d retry %t\n", resp.StatusCode, resp.Header.Get("Retry-After") != "")
	reader := bufio.NewReader(resp.Body)
	line, err := reader.ReadString('\n')
	b.WriteString(line)
	if err == nil {
		onFirstLine()
		_, err = io.Copy(&b, reader)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.WriteString("broken off\n")
	}
	return b.String()
}

// call ADDRESS FILE METHOD PATH ID sends a request and writes the response to FILE.
func sendAndSave(ts *testscript.TestScript, _ bool, args []string) {
	req, err := newPlatformCaller(args[0]).Request(context.Background(), args[2], args[3], args[4], "")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(sendRequest(ts, req, func() {})), 0o600))
}

// call-until STATUS ADDRESS FILE METHOD PATH ID repeats a request until the response has the
// status. Each attempt's ID is ID with a number; LAST is set to that of the last one.
func sendUntilStatus(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for attempt := range awaitTimeout / pollInterval {
		req, err := newPlatformCaller(args[1]).Request(context.Background(), args[3], args[4], fmt.Sprintf("%s-%d", args[5], attempt), "")
		ts.Check(err)
		text := sendRequest(ts, req, func() {})
		ts.Check(os.WriteFile(ts.MkAbs(args[2]), []byte(text), 0o600))
		if strings.HasPrefix(text, "status "+args[0]) {
			ts.Setenv("LAST", fmt.Sprintf("%s-%d", args[5], attempt))
			return
		}
		<-ticker.C
	}
	ts.Fatalf("no response had status %s", args[0])
}

// stream ADDRESS FILE PATH ID EVENTS [ORDER] requests an event stream and writes it to FILE. It
// sends the order to the stand-ins after the first line of the stream.
func streamAndSave(ts *testscript.TestScript, _ bool, args []string) {
	events, err := strconv.Atoi(args[4])
	ts.Check(err)
	req, err := newPlatformCaller(args[0]).Stream(context.Background(), args[2], args[3], "bb", events)
	ts.Check(err)
	text := sendRequest(ts, req, func() {
		if len(args) > 5 {
			sendStandinOrder(ts, false, args[5:])
		}
	})
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// begin ADDRESS PATH ID EVENTS requests an event stream and waits for its first byte; end-stream
// FILE writes the rest.
func beginPlatformStream(ts *testscript.TestScript, _ bool, args []string) {
	events, err := strconv.Atoi(args[3])
	ts.Check(err)
	req, err := newPlatformCaller(args[0]).Stream(context.Background(), args[1], args[2], "bb", events)
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	ts.Check(err)
	openStreams.Store(ts.Name(), resp.Body)
}

// crowd ADDRESS COUNT PATH EVENTS requests COUNT event streams concurrently, writes the number of
// responses with each status to the file crowd, and sets REFUSED to the ID of a request rejected
// with 503.
func streamConcurrently(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	events, err := strconv.Atoi(args[3])
	ts.Check(err)
	texts := make([]string, count)
	var wg sync.WaitGroup
	for i := range count {
		req, err := newPlatformCaller(args[0]).Stream(context.Background(), args[2], fmt.Sprintf("c-%d", i), "bb", events)
		ts.Check(err)
		wg.Go(func() { texts[i] = sendRequest(ts, req, func() {}) })
	}
	wg.Wait()
	statusCounts := map[string]int{}
	for i, text := range texts {
		status, _, _ := strings.Cut(text, "\n")
		statusCounts[status]++
		if strings.HasPrefix(status, "status 503") {
			ts.Setenv("REFUSED", fmt.Sprintf("c-%d", i))
		}
	}
	ts.Check(os.WriteFile(ts.MkAbs("crowd"), []byte(fmt.Sprint(statusCounts)), 0o600))
}

// order URL sends an order to the stand-ins, such as to take the store down.
func sendStandinOrder(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post(args[0], "application/json", http.NoBody)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("order %s: status %d", args[0], resp.StatusCode)
	}
}

// await-line FILE TEXT waits until a running program has written TEXT to FILE.
func awaitLine(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for range awaitTimeout / pollInterval {
		data, err := os.ReadFile(ts.MkAbs(args[0]))
		if err == nil && strings.Contains(string(data), args[1]) {
			return
		}
		<-ticker.C
	}
	ts.Fatalf("%s does not contain %q", args[0], args[1])
}

// await-status SETTINGS TEXT waits until the output of the status command contains TEXT.
func awaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	var lastOutput string
	for range awaitTimeout / pollInterval {
		var out bytes.Buffer
		cmd := newStatusCmd(&globalFlags{settingsPath: ts.MkAbs(args[0])})
		cmd.SetArgs([]string{})
		cmd.SetOut(&out)
		if cmd.Execute() == nil && strings.Contains(out.String(), args[1]) {
			return
		}
		lastOutput = out.String()
		<-ticker.C
	}
	ts.Fatalf("the status does not contain %q: %s", args[1], lastOutput)
}

// find VARIABLE FILE PATTERN sets VARIABLE to the match of the first group of PATTERN in FILE.
func extractVariable(ts *testscript.TestScript, _ bool, args []string) {
	match := regexp.MustCompile(args[2]).FindStringSubmatch(ts.ReadFile(args[1]))
	if len(match) < 2 {
		ts.Fatalf("%s has no match of %s", args[1], args[2])
	}
	ts.Setenv(args[0], match[1])
}

// occupiedListeners holds the listeners of occupy by address.
var occupiedListeners sync.Map

// occupy ADDRESS listens on an address until release ADDRESS.
func occupyAddress(ts *testscript.TestScript, _ bool, args []string) {
	listener, err := net.Listen("tcp", args[0])
	ts.Check(err)
	occupiedListeners.Store(args[0], listener)
}

func releaseAddress(ts *testscript.TestScript, _ bool, args []string) {
	listener, ok := occupiedListeners.LoadAndDelete(args[0])
	if !ok {
		ts.Fatalf("%s is not occupied", args[0])
	}
	ts.Check(listener.(net.Listener).Close())
}

// refused ADDRESS checks that no program listens on an address.
func checkConnectionRefused(ts *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", args[0])
	if err == nil {
		ts.Check(conn.Close())
		ts.Fatalf("something listens on %s", args[0])
	}
}
