package rig

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"jackdawhinge/platform"
	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/verdict"
)

// A Host runs the process of one entry host and restarts it whenever it exits.
type Host struct {
	name            string
	program         string
	dir             string
	settings        string
	publicAddress   string
	internalAddress string
	storeProxy      *Proxy
	mu              sync.Mutex
	process         *os.Process
	incarnation     int
	closing         bool
	done            chan struct{}
}

// basePort is the first of the ports that a host listens on: callers, readiness, and internal
// (metrics and other hosts).
const basePort = 20000

// loopbackIP returns a loopback address for one host of this process, so that no other process
// binds its ports.
func loopbackIP(index int) string {
	const perBlock = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", (pid>>8+index/perBlock)%128+1, pid%256, index%perBlock+1)
}

// NewHost starts a host that runs program, writes its settings and log to dir and reaches the store
// through the proxy. It returns an error if the settings cannot be written or the process does not
// start.
func NewHost(program, dir string, index int, store *Proxy) (*Host, error) {
	ip := loopbackIP(index)
	address := func(offset int) string { return fmt.Sprintf("%s:%d", ip, basePort+offset) }
	h := &Host{
		name: fmt.Sprintf("entry-%d", index), program: program, dir: dir, publicAddress: address(0), internalAddress: address(2), storeProxy: store, done: make(chan struct{}),
		settings: filepath.Join(dir, fmt.Sprintf("entry-%d.yaml", index)),
	}
	text := standin.Settings(standin.HostSpec{
		Host: h.name, FailureDomain: failureDomains[index%len(failureDomains)], IP: ip, CallerAddress: address(0), ReadinessAddress: address(1), FirstInternalPort: basePort + 2,
		StoreAddress: store.Address(), MaxRevocationDelay: verdict.MaxRevocationDelay, Contracts: []string{"pressure"},
	})
	if err := os.WriteFile(h.settings, text, 0o600); err != nil {
		return nil, err
	}
	if err := h.start(); err != nil {
		return nil, err
	}
	go func() { h.supervise() }()
	return h, nil
}

// start starts a new process, whose output is appended to the log file of the host.
func (h *Host) start() error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p, err := os.StartProcess(h.program, []string{h.program, "run-platform"}, &os.ProcAttr{
		Env: append(os.Environ(), platform.SettingsVariable+"="+h.settings), Files: []*os.File{nil, log, log},
	})
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.process, h.incarnation = p, h.incarnation+1
	return nil
}

// restartDelay is how long the platform takes to restart a process.
const restartDelay = 300 * time.Millisecond

// supervise restarts the process whenever it exits, until the host is closed.
func (h *Host) supervise() {
	defer close(h.done)
	for {
		h.mu.Lock()
		p := h.process
		h.mu.Unlock()
		// The reason of the exit is in the log file.
		_, _ = p.Wait()
		time.Sleep(restartDelay)
		h.mu.Lock()
		closing := h.closing
		h.mu.Unlock()
		if closing || h.start() != nil {
			return
		}
	}
}

// Signal sends a signal to the process if it is running.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// An error means that the process has just exited; it will be restarted.
	_ = h.process.Signal(s)
}

// UseUpDescriptors leaves the process no descriptor more than it has open, until restore is called.
func (h *Host) UseUpDescriptors() (restore func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pid, before := h.process.Pid, unix.Rlimit{}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	// An error means that the process has just exited; it will be restarted.
	if err != nil || unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before) != nil {
		return func() {}
	}
	_ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: uint64(len(open)), Max: before.Max}, nil)
	return func() { _ = unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil) }
}

// Incarnation returns how many processes the host has started, the current one included.
func (h *Host) Incarnation() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation
}

// Close kills the process without a restart and closes the proxy to the store.
func (h *Host) Close() {
	h.mu.Lock()
	h.closing = true
	_ = h.process.Signal(syscall.SIGCONT)
	_ = h.process.Kill()
	h.mu.Unlock()
	<-h.done
	h.storeProxy.Close()
}

// queryView reads the host's view of the fleet and the store from its metrics; it is zero if the
// host does not answer.
func (h *Host) queryView() verdict.HostView {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + h.internalAddress + "/metrics")
	if err != nil {
		return verdict.HostView{}
	}
	defer func() { _ = resp.Body.Close() }()
	var view verdict.HostView
	for scanner := bufio.NewScanner(resp.Body); scanner.Scan(); {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		n, err := strconv.ParseFloat(value, 64)
		switch {
		case err != nil:
		case name == "jackdawd_fleet_hosts":
			view.Hosts = int(n)
		case name == "jackdawd_caller_connections_refused":
			view.RefusedConnections = int(n)
		case name == "jackdawd_store_era":
			view.StoreRestores = int64(n)
		}
	}
	return view
}
