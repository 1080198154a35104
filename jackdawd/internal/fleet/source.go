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
)

const (
	// gatherHosts is how long a host waits, when all start for the first time, for the others
	// to write their notices before it reads the list: they start within 0.3 s of each other and
	// write at once. It then knows all that there are, and need not read again.
	gatherHosts = 800 * time.Millisecond
	// connectTimeout is how long a connection to another host of the region may take. A host that has no power yet
	// does not answer, and the kernel asks again only after a second.
	connectTimeout = 150 * time.Millisecond
	// farewellTimeout is how long a stopping host tries to remove its notice.
	farewellTimeout = 300 * time.Millisecond
	secretBytes     = 16
	queuedChanges   = 64
	// neverHeard stands for the moment of a list that was not heard yet.
	neverHeard = -neverListed
)

// A Board is where hosts write of themselves.
type Board interface {
	Put(ctx context.Context, host string, notice []byte) error
	Next(ctx context.Context) (notices map[string][]byte, whole bool, until traffic.LogPosition, err error)
}

// StoreConfigurations reads the configuration from the store.
type StoreConfigurations interface {
	Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, error)
}

// StoreUpstreams reads the upstreams from the store.
type StoreUpstreams interface {
	Next(ctx context.Context) (traffic.UpstreamChange, error)
}

// Options are the parts that a source is made of.
type Options struct {
	Name          string
	FailureDomain string
	Region        string
	// Strength compares this host with others.
	Strength float64
	// FirstStart is set while the whole system starts for the first time: nobody waits for
	// it yet, and the list of hosts is still being written.
	FirstStart bool
	// Address is where other hosts reach this one; empty if they cannot.
	Address        string
	Board          Board
	Configurations StoreConfigurations
	Upstreams      StoreUpstreams
	Plans          Plans
	// Quarantine holds the requests that end upstreams; QuarantineBoard is where they are written.
	Quarantine      Quarantine
	QuarantineBoard QuarantineBoard
	// Uptime is a steady clock that also counts the time for which the host was suspended.
	Uptime func() time.Duration
	// InForce returns for how long operators let an old configuration be acted on.
	InForce func() time.Duration
	// Decode reads a configuration that another host passes on.
	Decode func(document []byte) (*traffic.Configuration, error)
	// Listen and Dial make connections between hosts, over TCP if they are nil.
	Listen func(address string) (net.Listener, error)
	Dial   peers.Dial
}

// A Source is where a host learns of configuration and upstreams: from the store, or
// from a host that does.
type Source struct {
	options   Options
	directory *Directory
	neighbors *neighbors
	mu        sync.Mutex
	server    *peers.Server
	clients   map[Peer]*peers.Client
	// cases is the client for calls about requests that end upstreams, to the host casesOf.
	cases   *peers.Client
	casesOf Peer
	// bytes counts those of clients that were dropped.
	bytes int64

	// joined is closed when the host knows which others there are, settled when it has
	// begun to follow one of them, or to read the store for good.
	joined, settled chan struct{}
	settleOnce      sync.Once
	patientUntil    time.Time
	// following is the host that is followed; nil while the store is read.
	following atomic.Pointer[Peer]

	// What follows belongs to the goroutine that reads configurations.
	// asked is the host that was asked last, whole is set until its list of upstreams was
	// taken over.
	asked string
	whole bool
	// gathers is set if the hosts below have just been told of a plan alone, at refreshedAt.
	gathers     bool
	refreshedAt time.Time
	position    membership.Position
	version     int64
	parentHeard time.Duration
	// storeLost is set while reads of the configuration from the store fail, storeBack raised when they no longer do.
	storeLost atomic.Bool
	storeBack *signal
	// ownRead is the last read of the configuration that was made because others told nothing in time.
	ownRead ownRead

	// telling guards what follows up to countedBy: toldTo, told and toldAt are which host was told of requests in progress, what and when.
	telling sync.Mutex
	toldTo  string
	told    account
	toldAt  time.Time
	// countedBy is the host that counts what was told.
	countedBy Peer
	// beliefs is what this host knows.
	beliefs Beliefs
	// written are the requests that stand on the board.
	written written

	// intake keeps what is read from the store and what other hosts tell in order.
	intake intake

	changes chan told
	// lost is set while nobody tells of the upstreams, heard is the moment up to which they are
	// known once what was handed on is taken in; they belong to the goroutine that reads upstreams.
	lost  bool
	heard time.Duration
	// listFailed is set if the last read of the list from the store failed.
	listFailed bool
	// left holds a token when a host was left, for the upstreams to be read at once.
	left chan struct{}
	// listHeard is the moment up to which the upstreams are known, pace how often they
	// are to be read; refreshed is raised when they are known up to a later one.
	listHeard atomic.Int64
	refreshed *signal
	// planned is raised when this host has drawn a plan, or has been told one while it reads the store.
	planned *signal
	// plannedAt is when planned was raised last; it belongs to the goroutine that exchanges.
	plannedAt time.Time
	pace      atomic.Int64
	listedAt  time.Time
	// reread is set when the list of hosts should be read soon, missed when this host's
	// notice is not on it.
	reread       atomic.Bool
	missed       atomic.Bool
	announcement announcement
	// restores counts the restores of the store after which this host wrote its notices again.
	restores atomic.Int64
	// restored holds a token when the store has come back from an older copy.
	restored chan struct{}
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

// NewSource returns a source; Start makes it known to other hosts.
func NewSource(o Options) *Source {
	secret := make([]byte, secretBytes)
	// Reading from crypto/rand never fails.
	_, _ = rand.Read(secret)
	self := Peer{Name: o.Name, Notice: Notice{
		Address: o.Address, FailureDomain: o.FailureDomain, Region: o.Region, Strength: o.Strength, Secret: hex.EncodeToString(secret),
	}}
	s := &Source{
		options: o, directory: NewDirectory(self), neighbors: newNeighbors(), clients: map[Peer]*peers.Client{},
		joined: make(chan struct{}), settled: make(chan struct{}),
		patientUntil: time.Now().Add(startPatience + mathrand.N(startSpread)),
		changes:      make(chan told, queuedChanges), left: make(chan struct{}, 1), restored: make(chan struct{}, 1), refreshed: newSignal(), planned: newSignal(), storeBack: newSignal(),
	}
	s.written.requests = map[string]traffic.LogPosition{}
	s.intake.until, s.heard = neverHeard, neverHeard
	s.listHeard.Store(int64(o.Uptime() - neverListed))
	s.pace.Store(int64(usualPace))
	return s
}

// Start answers other hosts by what the beliefs hold, and begins to follow the list of hosts.
func (s *Source) Start(beliefs Beliefs) {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.beliefs = beliefs
	if err := s.checkBounds(); err != nil {
		logrus.WithError(err).Warn("fleet: Hosts must ask the store more often to keep a bound.")
	}
	s.done.Go(func() { s.readBoard(ctx) })
	s.done.Go(func() { s.writeBoard(ctx) })
	if s.options.Address == "" {
		close(s.joined)
		return
	}
	s.done.Go(func() {
		s.join(ctx)
		s.serve(ctx, beliefs)
		close(s.joined)
		s.done.Go(func() { s.exchangeAll(ctx) })
		s.done.Go(func() { s.reportCases(ctx) })
		s.done.Go(func() { s.followCases(ctx) })
		s.followDirectory(ctx)
	})
}

// join reads which hosts there are and writes this one's notice if there is none.
func (s *Source) join(ctx context.Context) {
	if s.options.FirstStart {
		s.announce(ctx)
		pause.For(ctx, gatherHosts+mathrand.N(gatherHosts/2))
	}
	notices, whole, until, err := s.options.Board.Next(ctx)
	if err != nil {
		// A failure shows in the reads of the configuration, and there it is told.
		s.reread.Store(true)
		s.announcement.ended(time.Now(), err)
		return
	}
	if own := decodeNotices(map[string][]byte{s.options.Name: notices[s.options.Name]})[s.options.Name]; own != nil {
		s.directory.Adopt(*own)
	}
	if s.directory.Take(notices, whole, until) {
		// The others learn of it from those who read the list.
		s.announce(ctx)
	}
}

// serve begins to answer other hosts.
func (s *Source) serve(ctx context.Context, beliefs Beliefs) {
	answering := &service{source: s, beliefs: beliefs}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	server, err := s.listen(answering)
	if err != nil {
		logrus.WithError(err).Error("fleet: Other hosts cannot be answered.")
		return
	}
	s.server = server
	s.done.Go(func() {
		if err := server.Start(ctx); err != nil {
			logrus.WithError(err).Error("fleet: Other hosts are no longer answered.")
		}
	})
}

func (s *Source) listen(answering *service) (*peers.Server, error) {
	secrets, services := []string{s.directory.Self().Secret}, map[string]any{serviceName: answering}
	if s.options.Listen == nil {
		return peers.NewServer(s.options.Address, secrets, services)
	}
	listener, err := s.options.Listen(s.options.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	return peers.NewServerOn(listener, secrets, services)
}

// Close removes this host's notice and stops.
func (s *Source) Close() error {
	s.cancel()
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	if server == nil {
		s.done.Wait()
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), farewellTimeout)
	defer cancel()
	if err := s.options.Board.Put(ctx, s.options.Name, nil); err != nil {
		// Others find out by themselves that this host is gone.
		logrus.WithError(err).Info("fleet: This host's notice was not removed.")
	}
	err := server.Stop(ctx)
	s.mu.Lock()
	for _, c := range s.clients {
		c.Close()
	}
	s.closeCases()
	s.mu.Unlock()
	s.done.Wait()
	return err
}

// await waits until a channel is closed, unless the context ends.
func (s *Source) await(ctx context.Context, done <-chan struct{}) error {
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// settle says that the host has begun to follow another one or to read the store.
func (s *Source) settle() { s.settleOnce.Do(func() { close(s.settled) }) }

// heardList takes in the moment up to which the upstreams are known.
func (s *Source) heardList(at time.Duration) { s.listHeard.Store(int64(at)) }

// ListAge returns how old the list of upstreams may be.
func (s *Source) ListAge() time.Duration {
	return s.options.Uptime() - time.Duration(s.listHeard.Load())
}

// Directory returns the hosts that are known.
func (s *Source) Directory() *Directory { return s.directory }

// Following returns the reader that is followed, or "" while the store is read.
func (s *Source) Following() string {
	if p := s.following.Load(); p != nil {
		return p.Name
	}
	return ""
}

// leave gives the host that was followed up for a while.
func (s *Source) leave(ctx context.Context, parent Peer, took time.Duration, err error) {
	logrus.WithError(err).WithFields(logrus.Fields{
		"peer": parent.Name, "took": took.String(), "configuration-age": s.beliefs.Age().String(), "list-age": s.ListAge().String(),
	}).Info("fleet: The reader is left.")
	s.asked = ""
	s.dropClient(parent)
	s.suspect(ctx, parent, err)
}

// suspect passes a host over for a while, and removes its notice if it must be gone.
func (s *Source) suspect(ctx context.Context, p Peer, cause error) {
	var stale *StaleError
	if !s.directory.Suspect(time.Now(), p.Name, errors.As(cause, &stale)) {
		return
	}
	if err := s.options.Board.Put(ctx, p.Name, nil); err != nil {
		logrus.WithError(err).WithField("peer", p.Name).Warn("fleet: The notice of a host that is gone was not removed.")
	}
}

func (s *Source) setFollowing(p *Peer) {
	old := s.following.Swap(p)
	s.settle()
	switch {
	case p == nil && old != nil:
		select {
		case s.left <- struct{}{}:
		default:
		}
		logrus.WithField("peer", old.Name).Info("fleet: The store is read here.")
	case p != nil && (old == nil || old.Name != p.Name):
		logrus.WithField("peer", p.Name).Info("fleet: A reader is followed.")
	}
}
