package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/plan"
	"jackdawhinge/soak/internal/verdict"
)

const (
	// readyWithin is how long the hosts may take to start.
	readyWithin = 15 * time.Second
	readyEvery  = 20 * time.Millisecond
	// startTime is how long a host that was killed counts as disturbed.
	startTime = 2 * time.Second
	// graceTime is how long a stop may take.
	graceTime = 8 * time.Second
	// leaveTime is how long a draining upstream still serves.
	leaveTime = 4 * time.Second
	// calmTime is how long the run goes on after its last fault: until the system must
	// serve again, and then long enough to see it.
	calmTime = verdict.Recover + 4*time.Second
	slowness = 300 * time.Millisecond
	// flaps is how often an upstream that flaps goes down.
	flaps = 3
)

// Options say what a run consists of.
type Options struct {
	Seed uint64
	// Program is the daemon's binary, Dir where settings and logs go.
	Program   string
	Dir       string
	Hosts     int
	Upstreams int
	Callers   int
	Faults    time.Duration
	// Only are the kinds of faults that are played of a seed's plan; all if none are named.
	Only []string
}

// Plan returns the faults that are played.
func (o Options) Plan() []plan.Fault {
	return slices.DeleteFunc(plan.Draw(o.Seed, o.Faults), func(f plan.Fault) bool {
		return len(o.Only) > 0 && !slices.Contains(o.Only, string(f.Kind))
	})
}

// A Fleet is everything that takes part in a run.
type Fleet struct {
	seed     uint64
	store    *standin.Store
	restores atomic.Int64
	server   *http.Server
	operator *operator
	hosts    []*Host
	services []*Upstream
	busy     []sync.Mutex
	record   *verdict.Record
	dir      string
}

// Run plays a run and returns what was seen.
func Run(o Options) (*verdict.Record, error) {
	f := &Fleet{seed: o.Seed, store: standin.NewStore(), record: &verdict.Record{Hosts: o.Hosts, PoolUpstreams: o.Upstreams / 2}, dir: o.Dir}
	defer f.close()
	if err := f.begin(o); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { f.play(ctx, n) })
	}
	f.inject(o.Plan(), o.Faults)
	f.record.FaultEnd = time.Now()
	time.Sleep(calmTime)
	f.record.Era = f.restores.Load()
	f.awaitAgreement()
	cancel()
	callers.Wait()
	f.record.End = time.Now()
	if outOfDescriptors.Load() {
		return nil, errors.New("the soak ran out of file descriptors: fewer hosts, upstreams or callers are needed")
	}
	for _, u := range f.services {
		f.record.Runs = append(f.record.Runs, u.Runs()...)
	}
	return f.record, nil
}

// awaitAgreement asks all hosts what they know until they agree, or have had the time to.
func (f *Fleet) awaitAgreement() {
	for {
		f.record.Known = nil
		for _, h := range f.hosts {
			f.record.Known = append(f.record.Known, h.known())
		}
		if f.record.Agree() || time.Since(f.record.FaultEnd) > verdict.Acquaint {
			return
		}
		time.Sleep(readyEvery)
	}
}

func (f *Fleet) begin(o Options) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.server = &http.Server{Handler: f.store}
	go func() {
		// It ends with an error when the run does.
		_ = f.server.Serve(l)
	}()
	f.operator = newOperator(f.store)
	for n := range o.Upstreams {
		u, err := NewUpstream(f.store, []string{"reader", "mailbox"}[n%2], n)
		if err != nil {
			return err
		}
		f.services = append(f.services, u)
	}
	f.busy = make([]sync.Mutex, len(f.services))
	for n := range o.Hosts {
		proxy, err := NewProxy(l.Addr().String())
		if err != nil {
			return err
		}
		h, err := NewHost(o.Program, o.Dir, n, proxy)
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, h)
	}
	return f.await()
}

// await waits until each host answers a request.
func (f *Fleet) await() error {
	deadline := time.Now().Add(readyWithin)
	for n, h := range f.hosts {
		for {
			caller := standin.Caller{Address: h.callers, Host: callersHost, Key: "key-7", Waits: time.Second}
			req, err := caller.Request(context.Background(), http.MethodGet, "/scan/x", fmt.Sprintf("ready-%d", n), "")
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("host %d does not serve", n)
			}
			time.Sleep(readyEvery)
		}
	}
	return nil
}

// inject plays the plan and returns when its last fault is over.
func (f *Fleet) inject(faults []plan.Fault, length time.Duration) {
	begin := time.Now()
	var running sync.WaitGroup
	for _, fault := range faults {
		time.Sleep(time.Until(begin.Add(fault.At)))
		running.Go(func() { f.apply(fault) })
	}
	time.Sleep(time.Until(begin.Add(length)))
	running.Wait()
}

// apply plays one fault.
func (f *Fleet) apply(fault plan.Fault) {
	from, to := time.Now(), time.Now().Add(fault.For)
	number := fault.Target % len(f.hosts)
	host := f.hosts[number]
	switch fault.Kind {
	case plan.PauseHost:
		f.record.Disturb(number, from, to)
		host.Signal(syscall.SIGSTOP)
		time.Sleep(fault.For)
		host.Signal(syscall.SIGCONT)
	case plan.KillHost:
		f.record.Disturb(number, from, from.Add(startTime))
		host.Signal(syscall.SIGKILL)
	case plan.StopHost:
		f.record.Disturb(number, from, from.Add(graceTime))
		f.record.Stop(number, from, from.Add(graceTime))
		host.Signal(syscall.SIGTERM)
	case plan.HangUp:
		f.touch(host)
	case plan.StoreForgets:
		f.record.Disturb(-1, from, from)
		f.store.ForgetAll()
	case plan.RestoreStore:
		f.restoreStore(fault.For)
	case plan.StoreSlow:
		f.record.Disturb(-1, from, to)
		f.store.SetDelay(slowness)
		time.Sleep(fault.For)
		f.store.SetDelay(0)
	case plan.StoreFails, plan.StoreLimits, plan.StoreSilent, plan.StoreTorn:
		f.record.Disturb(-1, from, to)
		f.store.SetFault(storeFaults[fault.Kind])
		time.Sleep(fault.For)
		f.store.SetFault(standin.Sound)
	case plan.CutStore, plan.CutOneWay, plan.LoseStore:
		f.record.Disturb(number, from, to)
		host.store.Set(map[plan.Kind]Mode{plan.CutStore: Hold, plan.CutOneWay: HoldBack, plan.LoseStore: Lossy}[fault.Kind])
		time.Sleep(fault.For)
		host.store.Set(Pass)
	case plan.ResetStore:
		f.record.Disturb(number, from, from)
		host.store.Reset()
	case plan.AddRoute:
		f.record.Change(f.operator.addRoute())
	case plan.RevokeKey:
		f.record.Change(f.operator.revoke())
	default:
		f.upset(fault)
	}
}

const (
	// copyAge is how old the copy is that the store comes back from.
	copyAge = 2 * time.Second
	// lapse is after which time the platform removes the entry of an upstream that writes nothing.
	lapse = 3 * beatEvery
)

// restoreStore takes the store away and brings it back from an older copy; operators and upstreams write theirs again.
func (f *Fleet) restoreStore(away time.Duration) {
	from := time.Now()
	f.store.SetFault(standin.Silent)
	time.Sleep(away)
	f.store.Restore(from.Add(-copyAge))
	f.restores.Add(1)
	f.store.SetFault(standin.Sound)
	f.operator.writeAgain()
	for _, u := range f.services {
		u.beat()
	}
	f.record.Disturb(-1, from, time.Now().Add(lapse))
	time.Sleep(lapse)
	for _, u := range f.services {
		u.forgetPast()
	}
}

var storeFaults = map[plan.Kind]standin.Fault{
	plan.StoreFails: standin.Unavailable, plan.StoreLimits: standin.Limited, plan.StoreSilent: standin.Silent, plan.StoreTorn: standin.Torn,
}

// touch writes a host's settings again and tells it.
func (f *Fleet) touch(h *Host) {
	text, err := os.ReadFile(h.settings)
	if err != nil || os.WriteFile(h.settings, append(text, '\n'), 0o600) != nil {
		// Without another file there is nothing to tell.
		return
	}
	h.Signal(syscall.SIGHUP)
}

// upset plays a fault of an upstream, one at a time for each.
func (f *Fleet) upset(fault plan.Fault) {
	n := fault.Target % len(f.services)
	if !f.busy[n].TryLock() {
		return
	}
	defer f.busy[n].Unlock()
	u := f.services[n]
	from := time.Now()
	f.record.Upsets(from, from.Add(max(fault.For, leaveTime)+startTime))
	switch fault.Kind {
	case plan.DelayUpstream, plan.CutUpstream, plan.LoseUpstream, plan.DropIdle:
		proxy := u.Proxy()
		proxy.Set(map[plan.Kind]Mode{plan.DelayUpstream: Delay, plan.CutUpstream: Hold, plan.LoseUpstream: Lossy, plan.DropIdle: DropIdle}[fault.Kind])
		time.Sleep(fault.For)
		proxy.Set(Pass)
	case plan.ResetUpstream:
		u.Proxy().Reset()
	case plan.ShedUpstream:
		u.Behave(shed)
		time.Sleep(fault.For)
		u.Behave(nil)
	case plan.Garble:
		u.Behave(garble)
		time.Sleep(fault.For)
		u.Behave(nil)
	case plan.HangUpstream:
		u.Behave(hang)
		time.Sleep(fault.For)
		u.Behave(nil)
	case plan.DrainUpstream:
		f.record.Change(verdict.Change{Upstream: u.Drain(), At: time.Now()})
		time.Sleep(leaveTime)
		u.Crash()
		f.again(u)
	case plan.FlapUpstream:
		for range flaps {
			u.Crash()
			time.Sleep(fault.For / (2 * flaps))
			f.again(u)
			time.Sleep(fault.For / (2 * flaps))
		}
	case plan.CrashUpstream:
		u.Crash()
		time.Sleep(fault.For)
		f.again(u)
	}
}

func (f *Fleet) again(u *Upstream) {
	if err := u.Begin(); err != nil {
		// Without an upstream the recovery fails, and tells so.
		fmt.Fprintln(os.Stderr, "soak: an upstream was not started again:", err)
	}
}

func (f *Fleet) close() {
	for _, h := range f.hosts {
		h.Close()
	}
	for _, u := range f.services {
		u.Close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
}
