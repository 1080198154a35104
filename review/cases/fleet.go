package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Topics of the platform.
const (
	operatorTopic = "keyed.op"
	runnersTopic  = "keyed.servers"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	// readyTimeout is how long hosts may take to be ready.
	readyTimeout = 10 * time.Second
	// exitTimeout is how long a host may take to exit after SIGTERM: its grace period and a margin.
	exitTimeout = 10 * time.Second
)

// errSetup means that a case could not run.
var errSetup = errors.New("the case could not run")

// A fleet is a store, runners and hosts on loopback addresses.
type fleet struct {
	record  *record
	folder  string
	store   *store
	address string
	servers []*http.Server
	hosts   []*host
	stop    chan struct{}
	beats   sync.WaitGroup
}

// A host is one process of the system.
type host struct {
	name, front, ready string
	settings           string
	cmd                *exec.Cmd
	exited             chan struct{}
}

func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, store: newStore(), stop: make(chan struct{})}
	f.address, err = f.serve(f.store)
	return f, err
}

// serve serves a handler on a free port and returns its address.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// addRunner serves a runner and writes its entry until the fleet closes.
func (f *fleet) addRunner(id, service, zone string, slots int, h http.Handler) error {
	address, err := f.serve(h)
	if err != nil {
		return err
	}
	write := func(sequence int) {
		f.store.putJSON(runnersTopic, id, map[string]any{
			"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0, "seq": sequence,
		})
	}
	write(1)
	f.beats.Go(func() {
		ticker := time.NewTicker(heartbeatInterval)
		defer ticker.Stop()
		for sequence := 2; ; sequence++ {
			select {
			case <-f.stop:
				return
			case <-ticker.C:
				write(sequence)
			}
		}
	})
	f.record.add("runner %s of %s at %s", id, service, address)
	return nil
}

// freePorts returns n consecutive ports that are free now.
func freePorts(n int) (int, error) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		listeners := []net.Listener{l}
		for port := first + 1; port < first+n; port++ {
			next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				break
			}
			listeners = append(listeners, next)
		}
		for _, l := range listeners {
			_ = l.Close()
		}
		if len(listeners) == n {
			return first, nil
		}
	}
	return 0, fmt.Errorf("%w: no free ports", errSetup)
}

// startHost starts a process of the system with the command of the deploy file.
func (f *fleet) startHost(name, zone string) (*host, error) {
	port, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	h := &host{
		name: name, front: fmt.Sprintf("127.0.0.1:%d", port), ready: fmt.Sprintf("127.0.0.1:%d", port+1),
		settings: filepath.Join(f.folder, name+".yaml"), exited: make(chan struct{}),
	}
	settings := fmt.Sprintf(`node: %q
role: "entry"
machineClass: "edge"
serves: ["edge"]
ip: "127.0.0.1"
zone: %q
region: "lodz"
zones: {a: "lodz", b: "lodz"}
listen: {front: %q, ready: %q}
internalPorts: [%d, %d]
firstStart: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0}
heartbeatMs: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"]
bounds: {drainMs: 2000, graceS: 8, stableMs: 3000, lossSlackMs: 200, configMs: 2000, strictRevoke: true, revokeMs: 5000, retryRatio: 0.2, retryWindowS: 10, retrySlack: 58, capFactor: 2}
platform: {address: %q, form: "log"}
`, name, zone, h.front, h.ready, port+2, port+3, f.address)
	if err := os.WriteFile(h.settings, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	logFile, err := os.Create(filepath.Join(f.folder, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = logFile.Close() }()
	h.cmd = exec.Command("target/jackdawd", "run-platform")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JACKDAWHINGE_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = logFile, logFile
	if err := h.cmd.Start(); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetup, err)
	}
	f.hosts = append(f.hosts, h)
	go func() {
		_ = h.cmd.Wait()
		close(h.exited)
	}()
	f.record.add("host %s at %s", name, h.front)
	return h, nil
}

// awaitReady waits until all hosts are ready.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for _, h := range f.hosts {
		for {
			resp, err := client.Get("http://" + h.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: host %s is not ready", errSetup, h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (h *host) signal(s syscall.Signal) error { return h.cmd.Process.Signal(s) }

// close ends all processes that the fleet started and removes its folder.
func (f *fleet) close() {
	for _, h := range f.hosts {
		_ = h.signal(syscall.SIGTERM)
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	for _, h := range f.hosts {
		select {
		case <-h.exited:
		case <-ctx.Done():
			_ = h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	close(f.stop)
	f.beats.Wait()
	for _, s := range f.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}
