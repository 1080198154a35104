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

// TestPlatformScripts plays scenarios of callers and on-call engineers on the
// users' platform, against the real programs.
func TestPlatformScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   filepath.Join("..", "..", "..", "platform", "testdata", "scripts"),
		Setup: setUpPlatform,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"await":        await,
			"await-line":   awaitLine,
			"await-status": awaitStatus,
			"call":         callOnce,
			"call-until":   callUntil,
			"stream":       streamOnce,
			"crowd":        crowd,
			"order":        order,
			"begin":        begin,
			"end-stream":   endStream,
			"occupy":       occupy,
			"release":      release,
			"refused":      refused,
			"find":         find,
		},
	})
}

// hostPorts is how many ports a host has: for callers, readiness, queries and other hosts.
const hostPorts = 4

// setUpPlatform writes the settings of two hosts and replaces addresses in the fleet's file.
func setUpPlatform(env *testscript.Env) error {
	ports := addresses(16)
	for i, p := range ports {
		env.Setenv(fmt.Sprintf("P%d", i), p)
	}
	ip, _, _ := strings.Cut(ports[0], ":")
	for i, host := range []string{"entry-1", "entry-2"} {
		at := 1 + hostPorts*i
		_, inner, _ := strings.Cut(ports[at+2], ":")
		number, err := strconv.Atoi(inner)
		if err != nil {
			return err
		}
		text := standin.Settings(standin.HostSpec{
			Host: host, FailureDomain: "ab"[i : i+1], IP: ip, Callers: ports[at], Readiness: ports[at+1], Inner: number,
			Store: ports[0], Revoke: 2 * time.Second,
		})
		if err := os.WriteFile(filepath.Join(env.WorkDir, host+".yaml"), text, 0o600); err != nil {
			return err
		}
		status := fmt.Sprintf(`{"host":%q}`, ports[at+2])
		if err := os.WriteFile(filepath.Join(env.WorkDir, host+"-query.json"), []byte(status), 0o600); err != nil {
			return err
		}
	}
	programs, _, _ := strings.Cut(env.Getenv("PATH"), string(filepath.ListSeparator))
	env.Setenv("BIN", programs)
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

func platformCaller(address string) standin.Caller {
	return standin.Caller{Address: address, Host: "letters.example", Key: "try-me", Waits: 10 * time.Second}
}

// result sends a request and returns its status, Retry-After and body.
func result(ts *testscript.TestScript, req *http.Request, onFirst func()) string {
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer func() { _ = resp.Body.Close() }()
	var b bytes.Buffer
	fmt.Fprintf(&b, "status %d retry %t\n", resp.StatusCode, resp.Header.Get("Retry-After") != "")
	reader := bufio.NewReader(resp.Body)
	line, err := reader.ReadString('\n')
	b.WriteString(line)
	if err == nil {
		onFirst()
		_, err = io.Copy(&b, reader)
	}
	if err != nil && !errors.Is(err, io.EOF) {
		b.WriteString("broken off\n")
	}
	return b.String()
}

// call ADDRESS FILE METHOD PATH ID sends a request and writes the answer to FILE.
func callOnce(ts *testscript.TestScript, _ bool, args []string) {
	req, err := platformCaller(args[0]).Request(context.Background(), args[2], args[3], args[4], "")
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(result(ts, req, func() {})), 0o600))
}

// call-until STATUS ADDRESS FILE METHOD PATH ID sends a request again until it has
// the status; ID is numbered.
func callUntil(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(awaitEvery)
	defer ticker.Stop()
	for n := range awaitTimeout / awaitEvery {
		req, err := platformCaller(args[1]).Request(context.Background(), args[3], args[4], fmt.Sprintf("%s-%d", args[5], n), "")
		ts.Check(err)
		text := result(ts, req, func() {})
		ts.Check(os.WriteFile(ts.MkAbs(args[2]), []byte(text), 0o600))
		if strings.HasPrefix(text, "status "+args[0]) {
			ts.Setenv("LAST", fmt.Sprintf("%s-%d", args[5], n))
			return
		}
		<-ticker.C
	}
	ts.Fatalf("the status never was %s", args[0])
}

// stream ADDRESS FILE PATH ID EVENTS [ORDER] requests a stream and writes it to
// FILE; the order is given after the first line has come.
func streamOnce(ts *testscript.TestScript, _ bool, args []string) {
	events, err := strconv.Atoi(args[4])
	ts.Check(err)
	req, err := platformCaller(args[0]).Stream(context.Background(), args[2], args[3], "bb", events)
	ts.Check(err)
	text := result(ts, req, func() {
		if len(args) > 5 {
			order(ts, false, args[5:])
		}
	})
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(text), 0o600))
}

// begin ADDRESS PATH ID EVENTS requests a stream and waits for its first byte; end-stream FILE writes the rest.
func begin(ts *testscript.TestScript, _ bool, args []string) {
	events, err := strconv.Atoi(args[3])
	ts.Check(err)
	req, err := platformCaller(args[0]).Stream(context.Background(), args[1], args[2], "bb", events)
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	_, err = io.ReadFull(resp.Body, make([]byte, 1))
	ts.Check(err)
	streams.Store(ts.Name(), resp.Body)
}

// crowd ADDRESS COUNT PATH EVENTS requests streams at once, writes how many had which
// status to the file crowd, and sets REFUSED to one that was refused.
func crowd(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	events, err := strconv.Atoi(args[3])
	ts.Check(err)
	texts := make([]string, count)
	var wait sync.WaitGroup
	for i := range count {
		req, err := platformCaller(args[0]).Stream(context.Background(), args[2], fmt.Sprintf("c-%d", i), "bb", events)
		ts.Check(err)
		wait.Go(func() { texts[i] = result(ts, req, func() {}) })
	}
	wait.Wait()
	statuses := map[string]int{}
	for i, text := range texts {
		status, _, _ := strings.Cut(text, "\n")
		statuses[status]++
		if strings.HasPrefix(status, "status 503") {
			ts.Setenv("REFUSED", fmt.Sprintf("c-%d", i))
		}
	}
	ts.Check(os.WriteFile(ts.MkAbs("crowd"), []byte(fmt.Sprint(statuses)), 0o600))
}

// order URL gives the stand-ins an order.
func order(ts *testscript.TestScript, _ bool, args []string) {
	resp, err := http.Post(args[0], "application/json", http.NoBody)
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode != http.StatusOK {
		ts.Fatalf("order %s: status %d", args[0], resp.StatusCode)
	}
}

// await-line FILE TEXT waits until a program that runs has written the text to the file.
func awaitLine(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(awaitEvery)
	defer ticker.Stop()
	for range awaitTimeout / awaitEvery {
		data, err := os.ReadFile(ts.MkAbs(args[0]))
		if err == nil && strings.Contains(string(data), args[1]) {
			return
		}
		<-ticker.C
	}
	ts.Fatalf("%s never held %q", args[0], args[1])
}

// await-status SETTINGS TEXT waits until a host's status holds the text.
func awaitStatus(ts *testscript.TestScript, _ bool, args []string) {
	ticker := time.NewTicker(awaitEvery)
	defer ticker.Stop()
	var last string
	for range awaitTimeout / awaitEvery {
		var out bytes.Buffer
		cmd := newStatusCmd(&config{path: ts.MkAbs(args[0])})
		cmd.SetArgs([]string{})
		cmd.SetOut(&out)
		if cmd.Execute() == nil && strings.Contains(out.String(), args[1]) {
			return
		}
		last = out.String()
		<-ticker.C
	}
	ts.Fatalf("the status never held %q: %s", args[1], last)
}

// find VARIABLE FILE PATTERN sets a variable to what the pattern's group matches in a file.
func find(ts *testscript.TestScript, _ bool, args []string) {
	m := regexp.MustCompile(args[2]).FindStringSubmatch(ts.ReadFile(args[1]))
	if len(m) < 2 {
		ts.Fatalf("%s holds no %s", args[1], args[2])
	}
	ts.Setenv(args[0], m[1])
}

// occupied are the listeners of occupy.
var occupied sync.Map

// occupy ADDRESS takes an address until release ADDRESS.
func occupy(ts *testscript.TestScript, _ bool, args []string) {
	l, err := net.Listen("tcp", args[0])
	ts.Check(err)
	occupied.Store(args[0], l)
}

func release(ts *testscript.TestScript, _ bool, args []string) {
	l, ok := occupied.LoadAndDelete(args[0])
	if !ok {
		ts.Fatalf("%s is not occupied", args[0])
	}
	ts.Check(l.(net.Listener).Close())
}

// refused ADDRESS checks that nothing listens at an address.
func refused(ts *testscript.TestScript, _ bool, args []string) {
	c, err := net.Dial("tcp", args[0])
	if err == nil {
		ts.Check(c.Close())
		ts.Fatalf("something listens on %s", args[0])
	}
}
