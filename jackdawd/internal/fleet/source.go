package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/peers"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/quarantine"
	"jackdawhinge/jackdawd/internal/resumption"
)

const (
	// firstStartWait is how long a host waits, when all hosts start for the first time, for the
	// others to register before it reads the host list. They start within 0.3 s of each other and
	// register at once, so one read finds them all.
	firstStartWait = 800 * time.Millisecond
	// connectTimeout is the timeout of a connection to another host of the region. A host that is
	// not powered up yet does not answer, and the kernel retransmits only after a second.
	connectTimeout = 150 * time.Millisecond
	// maxSilence ends a connection to another host that acknowledges nothing.
	maxSilence = 3 * time.Second
	// deregisterTimeout is how long a stopping host tries to remove its registration.
	deregisterTimeout = 300 * time.Millisecond
	secretBytes       = 16
	maxQueuedChanges  = 64
	// unknownTime is the time of a list that was never received.
	unknownTime = -unknownAge
)

// A HostRegistry stores the registrations of hosts.
type HostRegistry interface {
	// Put stores the registration of a host, or removes it if registration is nil.
	Put(ctx context.Context, host string, registration []byte) error
	// Next returns the registrations changed since the last call, with nil for a removed one, and
	// the position they are valid at; whole is set if they are all existing registrations.
	Next(ctx context.Context) (registrations map[string][]byte, whole bool, until traffic.LogPosition, err error)
}

// StoreConfigurations reads the configuration from the store.
type StoreConfigurations interface {
	Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, error)
	// RecentEnds returns the positions after the latest records that ended evacuations, by failure
	// domain, as of the last call of Next.
	RecentEnds(ctx context.Context) (map[string]traffic.LogPosition, error)
}

// StoreUpstreams reads the upstreams from the store.
type StoreUpstreams interface {
	Next(ctx context.Context) (traffic.UpstreamChange, error)
}

// Options configure a Source.
type Options struct {
	Name          string
	FailureDomain string
	Region        string
	// Strength is this host's capacity relative to other hosts.
	Strength float64
	// FirstStart is set while the whole system starts for the first time: there are no callers yet,
	// and hosts are still registering.
	FirstStart bool
	// Address is where other hosts reach this one; empty if they cannot.
	Address        string
	HostRegistry   HostRegistry
	Configurations StoreConfigurations
	Upstreams      StoreUpstreams
	Plans          Plans
	// Quarantine holds the requests that crash upstreams; their notices are kept in the store.
	Quarantine      Quarantine
	QuarantineStore QuarantineStore
	// History holds which software versions upstreams have had; nil means one of this process alone.
	// HistoryStore keeps it for hosts that start; nil means that nothing does.
	History      *resumption.History
	HistoryStore HistoryStore
	// Uptime is a monotonic clock that also advances while the host is suspended.
	Uptime func() time.Duration
	// MaxConfigurationAge returns the operators' in-force bound: how long an old configuration may be acted on.
	MaxConfigurationAge func() time.Duration
	// DecodeConfiguration parses a configuration received from another host.
	DecodeConfiguration func(document []byte) (*traffic.Configuration, error)
	// Streams serve the streams that other hosts open to this one, by name.
	Streams map[string]peers.StreamHandler
	// Listen and Dial create connections between hosts, over TCP if nil.
	Listen func(address string) (net.Listener, error)
	// OnServerFailure is called if the server for other hosts ends with an error; nil for nothing to call.
	OnServerFailure func(err error)
	Dial            peers.DialFunc
}

// A Source provides configuration and upstreams, from the store or from a host that reads or
// follows it.
type Source struct {
	options   Options
	directory *Directory
	subtree   *subtree
	mu        sync.Mutex
	server    *peers.Server
	clients   map[Peer]*peers.Client
	// quarantineClient is the client for calls about requests that crash upstreams, to
	// quarantinePeer.
	quarantineClient *peers.Client
	quarantinePeer   Peer
	// slots holds the slots of brittle upstreams that this host owns, probes the probes of quarantined
	// subjects that it has granted, and streams which software began which stream.
	slots     slotTable
	probes    probeTable
	streams   *resumption.Table
	sideCalls sideCalls
	startedAt time.Time
	// unsavedHistory holds the pools whose histories of software versions are not stored yet;
	// historyChanged is raised when there may be another. historyMu guards it.
	historyMu      sync.Mutex
	unsavedHistory map[string]bool
	historyChanged *signal
	// closedClientBytes counts the bytes of clients that were closed.
	closedClientBytes int64

	// joined is closed when the host list has been read, sourceChosen when the host has started to
	// follow another one or to read the store.
	joined, sourceChosen chan struct{}
	sourceChosenOnce     sync.Once
	startWaitUntil       time.Time
	// following is the host that is followed, nil while the store is read.
	following atomic.Pointer[Peer]
	// answeredAt is when the parent last answered, on the clock of Uptime.
	answeredAt atomic.Int64

	// The next fields belong to the goroutine that reads configurations. askedHost is the host
	// called last; needsFullList is set until its complete list of upstreams has been accepted.
	askedHost     string
	needsFullList bool
	// lastReplyPlanOnly is set if the last reply, applied at appliedAt, contained a plan and
	// nothing else, so that the children have just been sent that plan.
	lastReplyPlanOnly bool
	appliedAt         time.Time
	position          membership.Position
	version           int64
	// evacuations is the position of the evacuations that this host has.
	evacuations    traffic.LogPosition
	parentListTime time.Duration
	// storeFailing is set while reads of the configuration from the store fail; storeRecovered is
	// raised when they succeed again.
	storeFailing   atomic.Bool
	storeRecovered *signal
	// lastDirectRead is the last read of the configuration made because other hosts had not sent it
	// in time.
	lastDirectRead directRead

	// reportMu guards the fields up to countingParent. reportedTo, reported and reportedAt are the
	// host that the requests in progress were last reported to, what was reported, and when.
	reportMu   sync.Mutex
	reportedTo string
	reported   reportedCounts
	reportedAt time.Time
	// demandSentAt is when the parent was last sent the demand, demandPlanAt when the plan that this host
	// had then was computed. parentKeepsDemand is set if the parent keeps the demand for calls that leave
	// it out.
	demandSentAt, demandPlanAt time.Time
	parentKeepsDemand          bool
	// countingParent is the host that counts the reported requests.
	countingParent Peer
	// state is the configuration and the upstreams that this host has.
	state State
	// knownNotices are the quarantine notices known to be in the store.
	knownNotices knownNotices

	// listGuard orders lists read from the store and lists received from other hosts.
	listGuard listGuard

	changes chan upstreamUpdate
	// lossReported is set once an outage of the parent was returned as an error; pendingListTime is
	// the time at which the list is valid once the last returned change has been applied. Both
	// belong to the goroutine that reads upstreams.
	lossReported    bool
	pendingListTime time.Duration
	// listReadFailed is set if the last read of the list from the store failed.
	listReadFailed bool
	// parentLeft holds a token when a parent was left, so that the upstreams are read at once.
	parentLeft chan struct{}
	// listTime is the time at which the list of upstreams is valid, upstreamInterval how often it
	// is to be read; refreshed is raised when listTime advances.
	listTime  atomic.Int64
	refreshed *signal
	// planUpdated is raised when this host has computed a plan, or has received one while it reads
	// the store.
	planUpdated *signal
	// planUpdatedAt is when planUpdated was last raised; it belongs to the goroutine that runs the
	// exchange.
	planUpdatedAt    time.Time
	upstreamInterval atomic.Int64
	listReadAt       time.Time
	// directoryRead holds an element while the host list is read: each read goes on where the one before it ended.
	directoryRead chan struct{}
	// rereadDirectory is set when the host list should be read soon, registrationMissing when this
	// host is not on it.
	rereadDirectory      atomic.Bool
	registrationMissing  atomic.Bool
	registrationSchedule registrationSchedule
	// restores counts the restores of the store after which this host registered again.
	restores atomic.Int64
	// storeRestored holds a token when the store was restored from an older backup.
	storeRestored chan struct{}
	cancel        context.CancelFunc
	done          sync.WaitGroup
}

// NewSource returns a source. Start makes it known to other hosts.
func NewSource(o Options) *Source {
	secret := make([]byte, secretBytes)
	// Reading from crypto/rand never fails.
	_, _ = rand.Read(secret)
	self := Peer{Name: o.Name, Registration: Registration{
		Address: o.Address, FailureDomain: o.FailureDomain, Region: o.Region, Strength: o.Strength, Secret: hex.EncodeToString(secret),
	}}
	if o.History == nil {
		o.History = resumption.NewHistory(time.Now(), o.FirstStart)
	}
	s := &Source{
		options: o, directory: NewDirectory(self), subtree: newSubtree(), clients: map[Peer]*peers.Client{}, streams: resumption.NewTable(), startedAt: time.Now(), unsavedHistory: map[string]bool{}, historyChanged: newSignal(),
		joined: make(chan struct{}), sourceChosen: make(chan struct{}),
		startWaitUntil: time.Now().Add(minStartWait + mathrand.N(startWaitJitter)),
		changes:        make(chan upstreamUpdate, maxQueuedChanges), parentLeft: make(chan struct{}, 1), storeRestored: make(chan struct{}, 1), directoryRead: make(chan struct{}, 1), refreshed: newSignal(), planUpdated: newSignal(), storeRecovered: newSignal(),
	}
	s.slots.expiry = map[uint32]map[uint64]time.Time{}
	s.probes.grantedUntil, s.probes.askedUntil = map[quarantine.Fingerprint]time.Time{}, map[quarantine.Fingerprint]time.Time{}
	s.sideCalls.clients, s.sideCalls.skippedUntil = map[Peer]*peers.Client{}, map[silentHost]time.Time{}
	s.knownNotices.positions = map[string]traffic.LogPosition{}
	s.listGuard.asOf, s.pendingListTime = unknownTime, unknownTime
	s.listTime.Store(int64(o.Uptime() - unknownAge))
	s.answeredAt.Store(int64(unknownTime))
	s.upstreamInterval.Store(int64(defaultUpstreamInterval))
	return s
}

// Start serves other hosts from the given state and starts to maintain the host list.
func (s *Source) Start(state State) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.state = state
	if err := s.checkBounds(); err != nil {
		logrus.WithError(err).Warn("fleet: A bound is short. Hosts must read the store more often to keep it.")
	}
	s.done.Go(func() { s.followQuarantineNotices(ctx) })
	s.done.Go(func() { s.publishQuarantineNotices(ctx) })
	if s.options.HistoryStore != nil {
		s.done.Go(func() { s.keepHistory(ctx) })
	}
	if s.options.Address == "" {
		close(s.joined)
		return
	}
	s.done.Go(func() {
		s.join(ctx)
		s.serve(ctx, state)
		close(s.joined)
		s.done.Go(func() { s.runExchange(ctx) })
		s.done.Go(func() { s.reportRecords(ctx) })
		s.done.Go(func() { s.followRecords(ctx) })
		s.maintainDirectory(ctx)
	})
}

// join reads the host list and registers this host if it is not on it.
func (s *Source) join(ctx context.Context) {
	if s.options.FirstStart {
		s.register(ctx)
		pause.For(ctx, firstStartWait+mathrand.N(firstStartWait/2))
	}
	registrations, whole, until, err := s.options.HostRegistry.Next(ctx)
	if err != nil {
		// The reads of the configuration fail as well, and log it.
		s.rereadDirectory.Store(true)
		s.registrationSchedule.finishAttempt(time.Now(), err)
		return
	}
	if own := decodeRegistrations(map[string][]byte{s.options.Name: registrations[s.options.Name]})[s.options.Name]; own != nil {
		s.directory.Adopt(*own)
	}
	if s.directory.Update(registrations, whole, until) {
		// The other hosts receive it from the readers.
		s.register(ctx)
	}
}

// serve starts the RPC server for other hosts.
func (s *Source) serve(ctx context.Context, state State) {
	svc := &service{source: s, state: state}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	server, err := s.listen(svc)
	if err != nil {
		logrus.WithError(err).Error("fleet: Starting the server for other hosts failed.")
		return
	}
	for name, handler := range s.options.Streams {
		server.HandleStreams(name, handler)
	}
	s.server = server
	s.done.Go(func() {
		if err := server.Start(ctx); err != nil {
			logrus.WithError(err).Error("fleet: The server for other hosts stopped.")
			if s.options.OnServerFailure != nil {
				s.options.OnServerFailure(err)
			}
		}
	})
}

func (s *Source) listen(svc *service) (*peers.Server, error) {
	secrets, services := []string{s.directory.Self().Secret}, map[string]any{serviceName: svc}
	if s.options.Listen == nil {
		return peers.NewServer(s.options.Address, secrets, services)
	}
	listener, err := s.options.Listen(s.options.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	return peers.NewServerWithListener(listener, secrets, services)
}

// Close removes this host's registration and stops. What takes longer than ctx allows is given up.
func (s *Source) Close(ctx context.Context) error {
	s.cancel()
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		s.done.Wait()
		return nil
	}
	// Other hosts still follow this one until its server stops. The call to the store may take longest and comes last.
	err := server.Stop(ctx)
	s.mu.Lock()
	for _, c := range s.clients {
		c.Close()
	}
	s.closeQuarantineClient()
	s.mu.Unlock()
	s.closeSideClients()
	s.deregister(ctx)
	s.done.Wait()
	return err
}

// deregister removes this host's registration.
func (s *Source) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout)
	defer cancel()
	if err := s.options.HostRegistry.Put(ctx, s.options.Name, nil); err != nil {
		// Other hosts detect that this one is gone.
		logrus.WithError(err).Info("fleet: Removing this host's registration failed.")
	}
}

// await waits until a channel is closed or the context ends.
func (s *Source) await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// markSourceChosen records that the host has started to follow another one or to read the store.
func (s *Source) markSourceChosen() { s.sourceChosenOnce.Do(func() { close(s.sourceChosen) }) }

// setListTime sets the time at which the list of upstreams is valid.
func (s *Source) setListTime(at time.Duration) { s.listTime.Store(int64(at)) }

// ListAge returns the maximum age of the list of upstreams.
func (s *Source) ListAge() time.Duration {
	return s.options.Uptime() - time.Duration(s.listTime.Load())
}

// Directory returns the known hosts.
func (s *Source) Directory() *Directory { return s.directory }

// Following returns the name of the followed host, or "" while the store is read.
func (s *Source) Following() string {
	if p := s.following.Load(); p != nil {
		return p.Name
	}
	return ""
}

// leave stops following a parent and skips it for a while.
func (s *Source) leave(ctx context.Context, parent Peer, took time.Duration, err error) {
	logrus.WithError(err).WithFields(logrus.Fields{
		"peer": parent.Name, "took": took.String(), "configuration-age": s.state.Age().String(), "list-age": s.ListAge().String(),
	}).Info("fleet: Stopped following the reader.")
	s.askedHost = ""
	s.dropClient(parent)
	s.suspect(ctx, parent, err)
}

// suspect skips a host for a while, and removes its registration if it is considered gone.
func (s *Source) suspect(ctx context.Context, peer Peer, cause error) {
	var staleErr *StaleError
	if !s.directory.Suspect(time.Now(), peer.Name, errors.As(cause, &staleErr)) {
		return
	}
	if err := s.options.HostRegistry.Put(ctx, peer.Name, nil); err != nil {
		logrus.WithError(err).WithField("peer", peer.Name).Warn("fleet: Removing the registration of an unreachable host failed.")
	}
}

func (s *Source) setFollowing(parent *Peer) {
	previous := s.following.Swap(parent)
	s.markSourceChosen()
	switch {
	case parent == nil && previous != nil:
		select {
		case s.parentLeft <- struct{}{}:
		default:
		}
		logrus.WithField("peer", previous.Name).Info("fleet: This host reads the store itself.")
	case parent != nil && (previous == nil || previous.Name != parent.Name):
		logrus.WithField("peer", parent.Name).Info("fleet: Following a reader.")
	}
}
