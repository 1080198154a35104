package telemetry

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/wire"
)

// acceptLogInterval is the minimum time between two log lines on failures of one listener.
const acceptLogInterval = time.Second

// Listen returns a TCP listener at an address. It goes on after errors that pass, such as used up descriptors, which it
// counts and logs under its name.
func (m *Meter) Listen(name, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", name, err)
	}
	return m.RetryAccept(name, listener), nil
}

// RetryAccept makes a listener go on as those of Listen do.
func (m *Meter) RetryAccept(name string, listener net.Listener) net.Listener {
	failures := &acceptFailures{meter: m, name: name, address: listener.Addr().String()}
	return wire.RetryAccept(listener, failures.record)
}

// acceptFailures records the failures of one listener.
type acceptFailures struct {
	meter         *Meter
	name, address string
	mu            sync.Mutex
	// loggedAt is when the last line was logged, unlogged counts the failures since then.
	loggedAt time.Time
	unlogged int
}

func (f *acceptFailures) record(err error) {
	f.meter.Count("accepts_failed", "listener", f.name)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unlogged++
	if now := time.Now(); f.loggedAt.IsZero() || now.Sub(f.loggedAt) >= acceptLogInterval {
		logrus.WithError(err).WithFields(logrus.Fields{"listener": f.name, "address": f.address, "failures": f.unlogged}).Warn("telemetry: Accepting a connection failed. Trying again.")
		f.loggedAt, f.unlogged = now, 0
	}
}
