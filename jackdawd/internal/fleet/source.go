package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/peers"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
	"jackdawhinge/jackdawd/internal/placement"
)

const (
	// followWait is how long a follower's call waits for a change. It is part of the
	// age of what the follower knows.
	followWait = 400 * time.Millisecond
	// followTimeout is how long beyond that an answer may take. A reader that is frozen
	// or cut off is left after that, long before any bound is reached.
	followTimeout = 300 * time.Millisecond
	// readerPace is the part of the usual pace at which a reader reads the upstreams, so
	// that a follower that has to leave it still learns of a change in time.
	readerPace = 0.5
	// readerWait bounds how long a reader's read of the configuration waits, for the same reason.
	readerWait = time.Second
	// directoryEvery is how often a reader reads the list of hosts.
	directoryEvery = 3 * time.Second
	// staleAfter is the age from which a reader has lost the store itself: two of its
	// reads, of readerWait each, and what they may take while the store is slow. The
	// sooner it is left, the more time is left to read the store here.
	staleAfter = 2500 * time.Millisecond
	// farewellTimeout is how long a stopping host tries to remove its notice.
	farewellTimeout = 300 * time.Millisecond
	// listSlack is how much older than the time between two of its reads a reader's list
	// of upstreams may be. An upstream may say that it leaves just after the last read; this,
	// followWait and a read of the store come on top until a follower knows, 1.6 s
	// altogether where 2 s are allowed.
	listSlack = 400 * time.Millisecond
	// usualPace holds until the upstreams are asked for.
	usualPace = 1500 * time.Millisecond
	// neverListed stands for the age of a list that was never read.
	neverListed   = time.Hour
	secretBytes   = 16
	queuedChanges = 64
)

// A Board is where hosts write of themselves.
type Board interface {
	Put(ctx context.Context, host string, notice []byte) error
	Next(ctx context.Context) (notices map[string][]byte, whole bool, err error)
}

// A LoadTable holds what upstreams told of their loads.
type LoadTable interface {
	// TakeOwn returns what this host itself was told since the last call.
	TakeOwn() []placement.Told
	// Newest returns what any host was told within a time, the most loaded upstreams first if there are more.
	Newest(now time.Time, within time.Duration, most int) []placement.Told
	// Merge takes in what other hosts were told.
	Merge(told []placement.Told)
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
	// Strength compares this host with others.
	Strength float64
	// Address is where other hosts reach this one; empty if they cannot.
	Address        string
	Board          Board
	Configurations StoreConfigurations
	Upstreams      StoreUpstreams
	Loads          LoadTable
	// Uptime is a steady clock that also counts the time for which the host was suspended.
	Uptime func() time.Duration
	// Decode reads a configuration that another host passes on.
	Decode func(document []byte) (*traffic.Configuration, error)
}

// A Source is where a host learns of configuration and upstreams: from the store, or
// from a host that reads it.
type Source struct {
	options   Options
	directory *Directory
	server    *peers.Server
	mu        sync.Mutex
	clients   map[Peer]*peers.Client
	// bytes counts those of clients that were dropped.
	bytes int64
	// following is the reader that is followed; empty while the store is read.
	following atomic.Pointer[Peer]
	position  membership.Position
	version   int64
	calledAt  time.Time
	changes   chan traffic.UpstreamChange
	// left holds a token when a reader was left, for the upstreams to be read at once.
	left chan struct{}
	// listHeard is the moment up to which the upstreams are known, pace how often they are to be read.
	listHeard atomic.Int64
	pace      atomic.Int64
	listedAt  time.Time
	cancel    context.CancelFunc
	done      sync.WaitGroup
}

// NewSource returns a source; Start makes it known to other hosts.
func NewSource(o Options) *Source {
	secret := make([]byte, secretBytes)
	// Reading from crypto/rand never fails.
	_, _ = rand.Read(secret)
	self := Peer{Name: o.Name, Notice: Notice{Address: o.Address, FailureDomain: o.FailureDomain, Strength: o.Strength, Secret: hex.EncodeToString(secret)}}
	s := &Source{
		options: o, directory: NewDirectory(self), clients: map[Peer]*peers.Client{},
		changes: make(chan traffic.UpstreamChange, queuedChanges), left: make(chan struct{}, 1),
	}
	s.listHeard.Store(int64(o.Uptime() - neverListed))
	s.pace.Store(int64(usualPace))
	return s
}

// Start answers followers by what the beliefs hold, and begins to follow the list of hosts.
func (s *Source) Start(beliefs Beliefs) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if s.options.Address == "" {
		return nil
	}
	answering := &service{beliefs: beliefs, listAge: s.ListAge, directory: s.directory, loads: s.options.Loads}
	server, err := peers.NewServer(s.options.Address, []string{s.directory.Self().Secret}, map[string]any{serviceName: answering})
	if err != nil {
		return fmt.Errorf("answer followers: %w", err)
	}
	s.server = server
	s.done.Go(func() {
		if err := server.Start(ctx); err != nil {
			logrus.WithError(err).Error("fleet: Followers are no longer answered.")
		}
	})
	s.done.Go(func() { s.followDirectory(ctx) })
	return nil
}

// Close removes this host's notice and stops.
func (s *Source) Close() error {
	s.cancel()
	if s.server == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), farewellTimeout)
	defer cancel()
	if err := s.options.Board.Put(ctx, s.directory.Self().Name, nil); err != nil {
		// Others find out by themselves that this host is gone.
		logrus.WithError(err).Info("fleet: This host's notice was not removed.")
	}
	err := s.server.Stop(ctx)
	s.mu.Lock()
	for _, c := range s.clients {
		c.Close()
	}
	s.mu.Unlock()
	s.done.Wait()
	return err
}

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

// Bytes returns how many bytes the exchanges with other hosts have carried both ways.
func (s *Source) Bytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.bytes
	for _, c := range s.clients {
		n += c.Bytes()
	}
	if s.server != nil {
		n += s.server.Bytes()
	}
	return n
}

// followDirectory writes this host's notice and reads those of others while this host is a reader.
func (s *Source) followDirectory(ctx context.Context) {
	missing := true
	for ctx.Err() == nil {
		if missing {
			s.announce(ctx)
		}
		if _, reader := s.directory.Readers(time.Now()); reader || missing {
			notices, whole, err := s.options.Board.Next(ctx)
			if err == nil {
				missing = s.directory.Take(notices, whole)
			}
			// A failure shows in the reads of the configuration, and there it is told.
		}
		pause.For(ctx, directoryEvery)
	}
}

func (s *Source) announce(ctx context.Context) {
	notice, err := json.Marshal(s.directory.Self().Notice)
	if err != nil {
		// Texts always encode.
		panic(err)
	}
	if err := s.options.Board.Put(ctx, s.directory.Self().Name, notice); err != nil {
		logrus.WithError(err).Warn("fleet: This host's notice was not written. It is tried again.")
	}
}

// leave gives a reader up for a while.
func (s *Source) leave(ctx context.Context, reader Peer, err error) {
	logrus.WithError(err).WithField("peer", reader.Name).Info("fleet: The reader is left.")
	s.dropClient(reader)
	if s.directory.Suspect(time.Now(), reader.Name) {
		if err := s.options.Board.Put(ctx, reader.Name, nil); err != nil {
			logrus.WithError(err).WithField("peer", reader.Name).Warn("fleet: The notice of a host that is gone was not removed.")
		}
	}
}

func (s *Source) setFollowing(p *Peer) {
	old := s.following.Swap(p)
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

func (s *Source) client(p Peer) *peers.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.clients[p]
	if !ok {
		c = peers.NewClient(p.Secret)
		s.clients[p] = c
	}
	return c
}

// dropClient forgets the client of a reader, which may never come back under its secret.
func (s *Source) dropClient(p Peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.clients[p]; ok {
		c.Close()
		s.bytes += c.Bytes()
		delete(s.clients, p)
	}
}
