package rig

import (
	"cmp"
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
	// startTimeout is how long all hosts may take to start serving.
	startTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
	// restartWindow is how long a killed host counts as disturbed.
	restartWindow = 2 * time.Second
	// gracePeriod is how long a graceful stop may take.
	gracePeriod = 8 * time.Second
	// drainPeriod is how long a draining upstream goes on serving.
	drainPeriod = 4 * time.Second
	// recoveryPeriod is how long the run goes on after its last fault: the time allowed for
	// recovery, and some more in which requests show that the system serves again.
	recoveryPeriod = verdict.MaxRecoveryTime + 4*time.Second
	storeDelay     = 300 * time.Millisecond
	// flapCount is how often a flapping upstream crashes.
	flapCount = 3
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Program is the path of the daemon's binary, Dir the directory of settings and logs.
	Program       string
	Dir           string
	Hosts         int
	Upstreams     int
	Callers       int
	FaultDuration time.Duration
	// FaultKinds are the kinds of faults injected from the seed's plan; empty means all.
	FaultKinds []string
}

// Plan returns the faults that the run injects.
func (o Options) Plan() []plan.Fault {
	return slices.DeleteFunc(plan.Generate(o.Seed, o.FaultDuration), func(f plan.Fault) bool {
		return len(o.FaultKinds) > 0 && !slices.Contains(o.FaultKinds, string(f.Kind))
	})
}

// A Fleet holds all the parts of a run and its record.
type Fleet struct {
	seed  uint64
	store *standin.Store
	// restores counts the restores of the store.
	restores    atomic.Int64
	storeServer *http.Server
	operator    *operator
	hosts       []*Host
	upstreams   []*Upstream
	// skewedTo is the index of the host that most callers use, -1 for none.
	skewedTo atomic.Int64
	// upstreamFaultMu has a mutex for each upstream, held while a fault is injected into it.
	upstreamFaultMu []sync.Mutex
	record          *verdict.Record
	dir             string
}

// Run runs the fleet under the faults of its plan and returns the record. It fails if the fleet
// does not start or this process runs out of file descriptors.
func Run(o Options) (*verdict.Record, error) {
	f := &Fleet{seed: o.Seed, store: standin.NewStore(), record: &verdict.Record{Hosts: o.Hosts, PoolUpstreams: o.Upstreams / 2}, dir: o.Dir}
	f.skewedTo.Store(-1)
	defer f.close()
	if err := f.start(o); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for n := range o.Callers {
		callers.Go(func() { f.runCaller(ctx, n) })
	}
	f.injectFaults(o.Plan(), o.FaultDuration)
	f.record.FaultEnd = time.Now()
	time.Sleep(recoveryPeriod)
	f.record.StoreRestores = f.restores.Load()
	f.waitConverged()
	cancel()
	callers.Wait()
	f.record.End = time.Now()
	if outOfDescriptors.Load() {
		return nil, errors.New("the soak ran out of file descriptors: use fewer hosts, upstreams or callers")
	}
	for _, u := range f.upstreams {
		f.record.Executions = append(f.record.Executions, u.Executions()...)
		f.record.ColdCrashes = append(f.record.ColdCrashes, u.ColdCrashes()...)
	}
	return f.record, nil
}

// waitConverged queries all hosts until their views agree or MaxConvergenceTime has passed since
// the last fault.
func (f *Fleet) waitConverged() {
	for {
		f.record.HostViews = nil
		for _, h := range f.hosts {
			f.record.HostViews = append(f.record.HostViews, h.queryView())
		}
		if f.record.Converged() || time.Since(f.record.FaultEnd) > verdict.MaxConvergenceTime {
			return
		}
		time.Sleep(pollInterval)
	}
}

func (f *Fleet) start(o Options) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.storeServer = &http.Server{Handler: f.store}
	go func() {
		// Serve returns an error once the server is closed at the end of the run.
		_ = f.storeServer.Serve(l)
	}()
	f.operator = newOperator(f.store)
	for n := range o.Upstreams {
		u, err := NewUpstream(f.store, services[n%len(services)], n)
		if err != nil {
			return err
		}
		f.upstreams = append(f.upstreams, u)
	}
	f.upstreamFaultMu = make([]sync.Mutex, len(f.upstreams))
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
	return f.waitReady()
}

// waitReady waits until each host answers a request with 200.
func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(startTimeout)
	for n, h := range f.hosts {
		for {
			caller := standin.Caller{Address: h.publicAddress, Host: routeHost, Key: "key-7", Timeout: time.Second}
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
				return fmt.Errorf("host %d did not serve in time", n)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// injectFaults injects the plan and returns when its last fault is over.
func (f *Fleet) injectFaults(faults []plan.Fault, length time.Duration) {
	started := time.Now()
	var running sync.WaitGroup
	for _, fault := range faults {
		time.Sleep(time.Until(started.Add(fault.Start)))
		running.Go(func() { f.injectFault(fault) })
	}
	time.Sleep(time.Until(started.Add(length)))
	running.Wait()
}

// injectFault injects one fault and returns when it is over.
func (f *Fleet) injectFault(fault plan.Fault) {
	start, end := time.Now(), time.Now().Add(fault.Duration)
	hostIndex := fault.Target % len(f.hosts)
	host := f.hosts[hostIndex]
	switch fault.Kind {
	case plan.PauseHost:
		f.record.AddHostFault(hostIndex, start, end)
		host.Signal(syscall.SIGSTOP)
		time.Sleep(fault.Duration)
		host.Signal(syscall.SIGCONT)
	case plan.KillHost:
		f.record.AddHostFault(hostIndex, start, start.Add(restartWindow))
		host.Signal(syscall.SIGKILL)
	case plan.StopHost:
		f.record.AddHostFault(hostIndex, start, start.Add(gracePeriod))
		f.record.AddGracefulStop(hostIndex, start, start.Add(gracePeriod))
		host.Signal(syscall.SIGTERM)
	case plan.UseUpDescriptors:
		f.record.AddHostFault(hostIndex, start, end)
		restore := host.UseUpDescriptors()
		time.Sleep(fault.Duration)
		restore()
	case plan.HangUp:
		f.reloadSettings(host)
	case plan.StoreForgets:
		f.record.AddHostFault(-1, start, start)
		f.store.TrimAll()
	case plan.RestoreStore:
		f.restoreStore(fault.Duration)
	case plan.StoreSlow:
		f.record.AddHostFault(-1, start, end)
		f.store.SetDelay(storeDelay)
		time.Sleep(fault.Duration)
		f.store.SetDelay(0)
	case plan.StoreFails, plan.StoreLimits, plan.StoreSilent, plan.StoreTorn:
		f.record.AddHostFault(-1, start, end)
		f.store.SetFault(storeFaults[fault.Kind])
		time.Sleep(fault.Duration)
		f.store.SetFault(standin.NoFault)
	case plan.CutStore, plan.CutOneWay, plan.LoseStore:
		f.record.AddHostFault(hostIndex, start, end)
		host.storeProxy.SetMode(map[plan.Kind]Mode{plan.CutStore: Blackhole, plan.CutOneWay: BlackholeResponses, plan.LoseStore: Lossy}[fault.Kind])
		time.Sleep(fault.Duration)
		host.storeProxy.SetMode(Pass)
	case plan.ResetStore:
		f.record.AddHostFault(hostIndex, start, start)
		host.storeProxy.Reset()
	case plan.EvacuateDomain:
		f.evacuate(failureDomains[fault.Target%len(failureDomains)], fault.Duration)
	case plan.TurnBrittle:
		f.turnBrittle(services[fault.Target%len(services)], fault.Duration)
	case plan.CrashOnPart:
		f.crashOnPart(fault)
	case plan.SurgeWorkspace:
		f.surge(fault)
	case plan.UnevenEngines:
		f.makeUneven(fault.Duration)
	case plan.SkewCallers:
		f.skewedTo.Store(int64(hostIndex))
		time.Sleep(fault.Duration)
		f.skewedTo.Store(-1)
	case plan.SilenceSeveral:
		f.silenceSeveral(fault)
	case plan.ChangeConfiguration:
		f.changeConfiguration(fault.Target, fault.Duration)
	case plan.AddRoute:
		f.record.AddChange(f.operator.addRoute())
	case plan.RevokeKey:
		f.record.AddChange(f.operator.revokeKey())
	default:
		f.injectUpstreamFault(fault)
	}
}

const (
	// snapshotAge is the age of the snapshot that the store is restored from.
	snapshotAge = 2 * time.Second
	// entryTTL is how long the platform keeps the entry of an upstream without a heartbeat.
	entryTTL = 3 * heartbeatInterval
)

// restoreStore stops the store for a time and restores it from an older snapshot. The operator
// publishes the configuration again, live upstreams write their entries again, and stale entries
// are removed after their TTL.
func (f *Fleet) restoreStore(outage time.Duration) {
	start := time.Now()
	f.store.SetFault(standin.Unresponsive)
	time.Sleep(outage)
	f.store.Restore(start.Add(-snapshotAge))
	f.restores.Add(1)
	f.store.SetFault(standin.NoFault)
	f.operator.republish()
	for _, u := range f.upstreams {
		u.heartbeat()
	}
	f.record.AddHostFault(-1, start, time.Now().Add(entryTTL))
	time.Sleep(entryTTL)
	for _, u := range f.upstreams {
		u.removeStaleEntries()
	}
}

// evacuate evacuates a failure domain for a time; its engines are cold afterwards. It is skipped if
// the domain is evacuated already.
func (f *Fleet) evacuate(domain string, d time.Duration) {
	if !f.operator.setEvacuated(domain, true) {
		return
	}
	start := time.Now()
	f.record.AddUpstreamFault(start, start.Add(d+restartWindow+coldStart), "", verdict.Unaffected)
	time.Sleep(d)
	f.record.AddChange(verdict.Change{At: start, EvacuatedDomain: domain, EvacuatedUntil: time.Now()})
	for _, u := range f.upstreams {
		if u.failureDomain() == domain {
			u.TurnCold()
		}
	}
	f.operator.setEvacuated(domain, false)
}

// maxBrittleRejections is how many requests a brittle upstream may reject within a second.
const maxBrittleRejections = 3

// turnBrittle makes the upstreams of a service brittle for a time.
func (f *Fleet) turnBrittle(service string, d time.Duration) {
	start := time.Now()
	f.record.AddUpstreamFault(start, start.Add(d+restartWindow), service, verdict.Unaffected)
	count, falls := 0, 0
	for _, u := range f.upstreams {
		if u.service == service {
			count++
			falls -= u.SetBrittle(maxBrittleRejections)
		}
	}
	time.Sleep(d)
	for _, u := range f.upstreams {
		if u.service == service {
			falls += u.SetBrittle(0)
		}
	}
	f.record.AddBrittleTime(verdict.BrittleTime{Service: service, Upstreams: count, Falls: falls})
}

// silence is how long a sound upstream may be silent.
const silence = time.Second

// silenceRepeatedly makes the upstream behind a proxy silent again and again for a time.
func silenceRepeatedly(proxy *Proxy, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(silence) {
		proxy.SetMode(Blackhole)
		time.Sleep(silence)
		proxy.SetMode(Pass)
	}
}

// silenceShares is the number of shares of the upstreams of which some are silent at once.
const silenceShares = 4

// silenceSeveral makes one to all shares of the upstreams silent for a time, but those that have a fault. They go on
// with what they run, and what they send arrives afterwards, that of half of them from the middle of a part on.
func (f *Fleet) silenceSeveral(fault plan.Fault) {
	count := (len(f.upstreams)*(1+fault.Target%silenceShares) + silenceShares - 1) / silenceShares
	var running sync.WaitGroup
	for i := range count {
		running.Go(func() {
			f.injectUpstreamFault(plan.Fault{Kind: fault.Kind, Duration: fault.Duration, Target: fault.Target + i})
		})
	}
	running.Wait()
}

// effects are the effects of faults of one upstream that do more than delay.
var effects = map[plan.Kind]verdict.Effect{
	plan.SilenceUpstream: verdict.Silences, plan.SilenceSeveral: verdict.Silences, plan.CrashUpstream: verdict.Breaks, plan.FlapUpstream: verdict.Breaks,
	plan.DrainUpstream: verdict.Breaks, plan.ResetUpstream: verdict.Breaks, plan.Garble: verdict.Breaks, plan.UnframeUpstream: verdict.Breaks, plan.DropIdle: verdict.Breaks,
}

var storeFaults = map[plan.Kind]standin.Fault{
	plan.StoreFails: standin.Unavailable, plan.StoreLimits: standin.RateLimited, plan.StoreSilent: standin.Unresponsive, plan.StoreTorn: standin.TruncatedBody,
}

// reloadSettings rewrites a host's settings file and sends SIGHUP.
func (f *Fleet) reloadSettings(h *Host) {
	text, err := os.ReadFile(h.settings)
	if err != nil || os.WriteFile(h.settings, append(text, '\n'), 0o600) != nil {
		// The file is unchanged, so there is nothing to reload.
		return
	}
	h.Signal(syscall.SIGHUP)
}

// injectUpstreamFault injects a fault into an upstream; it is skipped if the upstream has another
// fault.
func (f *Fleet) injectUpstreamFault(fault plan.Fault) {
	n := fault.Target % len(f.upstreams)
	if !f.upstreamFaultMu[n].TryLock() {
		return
	}
	defer f.upstreamFaultMu[n].Unlock()
	u := f.upstreams[n]
	start := time.Now()
	f.record.AddUpstreamFault(start, start.Add(max(fault.Duration, drainPeriod)+restartWindow), u.idPrefix(), cmp.Or(effects[fault.Kind], verdict.Delays))
	switch fault.Kind {
	case plan.DelayUpstream, plan.CutUpstream, plan.LoseUpstream, plan.DropIdle:
		proxy := u.Proxy()
		proxy.SetMode(map[plan.Kind]Mode{plan.DelayUpstream: Delay, plan.CutUpstream: Blackhole, plan.LoseUpstream: Lossy, plan.DropIdle: DropIdle}[fault.Kind])
		time.Sleep(fault.Duration)
		proxy.SetMode(Pass)
	case plan.SilenceSeveral:
		u.Proxy().SetMode([]Mode{BlackholeResponses, SplitResponses}[fault.Target/len(services)%2])
		time.Sleep(fault.Duration)
		u.Proxy().SetMode(Pass)
	case plan.SilenceUpstream:
		silenceRepeatedly(u.Proxy(), fault.Duration)
	case plan.ResetUpstream:
		u.Proxy().Reset()
	case plan.ShedUpstream:
		u.SetBehavior(shedAll)
		time.Sleep(fault.Duration)
		u.SetBehavior(nil)
	case plan.Garble:
		u.SetBehavior(executeAndGarble)
		time.Sleep(fault.Duration)
		u.SetBehavior(nil)
	case plan.UnframeUpstream:
		u.SetBehavior(executeUnframed)
		time.Sleep(fault.Duration)
		u.SetBehavior(nil)
	case plan.HangUpstream:
		u.SetBehavior(executeAndHang)
		time.Sleep(fault.Duration)
		u.SetBehavior(nil)
	case plan.DrainUpstream:
		f.record.AddChange(verdict.Change{DrainingUpstream: u.Drain(), At: time.Now()})
		time.Sleep(drainPeriod)
		u.Crash()
		f.restartUpstream(u)
	case plan.FlapUpstream:
		for range flapCount {
			u.Crash()
			time.Sleep(fault.Duration / (2 * flapCount))
			f.restartUpstream(u)
			time.Sleep(fault.Duration / (2 * flapCount))
		}
	case plan.CrashUpstream:
		u.Crash()
		time.Sleep(fault.Duration)
		f.restartUpstream(u)
	}
}

func (f *Fleet) restartUpstream(u *Upstream) {
	if err := u.Start(); err != nil {
		// Not fatal: if the upstream is needed, the recovery check fails.
		fmt.Fprintln(os.Stderr, "soak: an upstream was not started again:", err)
	}
}

func (f *Fleet) close() {
	for _, h := range f.hosts {
		h.Close()
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	if f.storeServer != nil {
		_ = f.storeServer.Close()
	}
}
