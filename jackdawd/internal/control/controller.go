package control

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/monotonic"
	"jackdawhinge/common/pause"
	"jackdawhinge/common/register"
	"jackdawhinge/common/roster"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// refreshInterval is how often the view is checked for avoidances that have ended.
	refreshInterval = 250 * time.Millisecond
	// longPollTimeout is how long one read of the configuration stream waits for new records.
	longPollTimeout = 30 * time.Second
	// hostListInterval is how often the host list is read.
	hostListInterval = 2 * time.Second
	// retryInterval is the pause after a failed read.
	retryInterval = 500 * time.Millisecond
	// CheckpointInterval is how often a checkpoint of the configuration is appended to
	// the stream; the log's retention must be several times as long.
	CheckpointInterval = 10 * time.Minute
	updateBufferSize   = 256
)

// A Log reads and appends records of the platform's log service.
type Log interface {
	Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error)
}

// A HostListReader reads the platform's host list, if it has changed since the tag.
type HostListReader interface {
	Read(ctx context.Context, tag string) (list roster.List, newTag string, changed bool, err error)
}

// A CheckpointFetcher fetches the configuration from other entry hosts; the result is false if a
// host has no complete one.
type CheckpointFetcher interface {
	Checkpoint(ctx context.Context, from routing.EntryHost) (register.Checkpoint, bool, error)
}

// A Controller maintains a host's routing state in one goroutine and publishes views of it.
type Controller struct {
	self             string
	region           string
	log              Log
	hostList         HostListReader
	peers            CheckpointFetcher
	listConfirmedAt  monotonic.Mark
	view             atomic.Pointer[routing.View]
	latestCheckpoint atomic.Pointer[register.Checkpoint]
	ready            atomic.Bool
	complete         atomic.Bool
	updates          chan func(*state)
	onView           func(*routing.View)
	cancel           context.CancelFunc
	done             chan struct{}
}

// state is owned by the control goroutine.
type state struct {
	replica      *register.Replica
	hosts        []roster.Host
	outliers     *OutlierDetector
	avoided      map[string]bool
	caughtUp     bool
	checkpointAt time.Time
}

// Options are the settings and dependencies of a Controller.
type Options struct {
	Self     string
	Region   string
	Log      Log
	HostList HostListReader
	Peers    CheckpointFetcher
	// OnView is called by the control goroutine with each new view.
	OnView func(*routing.View)
}

// NewController starts a controller, which reads until Close.
func NewController(o Options) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		self: o.Self, region: o.Region, log: o.Log, hostList: o.HostList, peers: o.Peers, onView: o.OnView,
		updates: make(chan func(*state), updateBufferSize), cancel: cancel, done: make(chan struct{}),
	}
	s := &state{replica: register.NewReplica(), outliers: NewOutlierDetector(), checkpointAt: time.Now()}
	c.publish(s)
	go func() {
		defer close(c.done)
		c.run(ctx, s)
	}()
	go func() { c.readConfiguration(ctx) }()
	go func() { c.readHosts(ctx) }()
	return c
}

// Close stops the controller; the last view stays available.
func (c *Controller) Close() {
	c.cancel()
	<-c.done
}

// View returns the latest view.
func (c *Controller) View() *routing.View {
	return c.view.Load()
}

// LatestCheckpoint returns the latest complete configuration as a checkpoint, or false if there
// is none yet.
func (c *Controller) LatestCheckpoint() (register.Checkpoint, bool) {
	p := c.latestCheckpoint.Load()
	if p == nil {
		return register.Checkpoint{}, false
	}
	return *p, true
}

// ListAge returns the time since the last successful read of the host list, or the longest duration
// before the first.
func (c *Controller) ListAge() time.Duration {
	age, ok := c.listConfirmedAt.Since(time.Now())
	if !ok {
		return math.MaxInt64
	}
	return age
}

// Ready reports whether the host has had a configuration and a host list.
func (c *Controller) Ready() bool {
	return c.ready.Load()
}

// Observe records whether a call to a host succeeded. It never blocks; results are dropped
// while the update queue is full.
func (c *Controller) Observe(name string, ok bool) {
	result := Succeeded
	if !ok {
		result = ConnectionFailed
	}
	select {
	case c.updates <- func(s *state) {
		if s.outliers.Observe(time.Now(), name, result) {
			c.refresh(s)
		}
	}:
	default:
	}
}

func (c *Controller) run(ctx context.Context, s *state) {
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case update := <-c.updates:
			update(s)
		case <-ticker.C:
			c.refresh(s)
			c.appendCheckpointIfDue(ctx, s)
		}
	}
}

// enqueue sends an update to the control goroutine.
func (c *Controller) enqueue(ctx context.Context, update func(*state)) {
	select {
	case c.updates <- update:
	case <-ctx.Done():
	}
}

// refresh publishes a new view if the set of avoided hosts has changed.
func (c *Controller) refresh(s *state) {
	avoided := c.avoidedHosts(s)
	if len(avoided) == len(s.avoided) {
		same := true
		for name := range avoided {
			same = same && s.avoided[name]
		}
		if same {
			return
		}
	}
	c.publish(s)
}

// avoidedHosts returns the hosts to avoid, decided group by group: the entry hosts, and
// the upstreams of each model.
func (c *Controller) avoidedHosts(s *state) map[string]bool {
	groups := map[string][]string{}
	for _, h := range s.hosts {
		if h.Role == roster.EntryHost {
			groups["entry hosts"] = append(groups["entry hosts"], h.Name)
		}
		for _, m := range h.Models {
			groups["model "+m] = append(groups["model "+m], h.Name)
		}
	}
	avoided := map[string]bool{}
	for _, group := range groups {
		for name := range s.outliers.Avoided(time.Now(), group) {
			avoided[name] = true
		}
	}
	return avoided
}

func (c *Controller) publish(s *state) {
	s.avoided = c.avoidedHosts(s)
	current := s.replica.State()
	view := routing.NewView(routing.ViewInput{
		Self: c.self, Region: c.region, Revision: current.Revision, Document: current.Document,
		Hosts: s.hosts,
		// A host never avoids itself, or it would own no upstream.
		Avoid: func(name string) bool { return name != c.self && s.avoided[name] },
	})
	c.view.Store(view)
	if cp, ok := s.replica.Checkpoint(); ok {
		c.latestCheckpoint.Store(&cp)
	}
	c.complete.Store(s.replica.IsComplete())
	// A host that was ready stays ready with the configuration it has.
	c.ready.Store(c.ready.Load() || (s.caughtUp && s.hosts != nil))
	if c.onView != nil {
		c.onView(view)
	}
}

func (c *Controller) readHosts(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		list, newTag, changed, err := c.hostList.Read(ctx, tag)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			logrus.WithError(err).Warn("control: Reading the host list failed. The last one stays in use.")
		case changed && len(list.Hosts) == 0:
			// An empty list is a platform fault; applying it would drop all traffic.
			logrus.Warn("control: The host list is empty. The last one stays in use.")
		default:
			tag = newTag
			c.listConfirmedAt.Set(time.Now())
			if changed {
				c.enqueue(ctx, func(s *state) { c.applyHostList(s, list) })
			}
		}
		pause.For(ctx, hostListInterval)
	}
}

func (c *Controller) applyHostList(s *state, list roster.List) {
	s.hosts = list.Hosts
	listed := map[string]bool{}
	for _, h := range list.Hosts {
		listed[h.Name] = true
	}
	s.outliers.RetainListed(listed)
	c.publish(s)
}

func (c *Controller) readConfiguration(ctx context.Context) {
	from := int64(0)
	for ctx.Err() == nil {
		batch, err := c.log.Read(ctx, register.StreamName, from, c.readTimeout())
		var trimmed *journal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			from = trimmed.Earliest
			c.enqueue(ctx, func(s *state) {
				s.replica.SkipTo(trimmed.Earliest)
				c.publish(s)
			})
			if c.ready.Load() {
				// A host that was disconnected or paused for longer than the log's
				// retention would otherwise wait for the next checkpoint.
				c.fetchFromPeers(ctx)
			}
		case ctx.Err() != nil:
			return
		case err != nil:
			logrus.WithError(err).Warn("control: Reading the configuration stream failed. The last configuration stays in use.")
			if !c.ready.Load() {
				c.fetchFromPeers(ctx)
			}
			pause.For(ctx, retryInterval)
		default:
			from = batch.Next
			c.enqueue(ctx, func(s *state) { c.applyRecords(s, batch) })
			if len(batch.Records) == 0 && !c.ready.Load() {
				c.fetchFromPeersIfIncomplete(ctx)
				pause.For(ctx, retryInterval)
			}
		}
	}
}

// readTimeout returns how long a read waits for records: zero until the stream has been
// read to its end once.
func (c *Controller) readTimeout() time.Duration {
	if !c.ready.Load() {
		return 0
	}
	return longPollTimeout
}

func (c *Controller) applyRecords(s *state, batch journal.Batch) {
	for _, r := range batch.Records {
		if err := s.replica.Apply(r); err != nil {
			logrus.WithError(err).Error("control: Skipped an invalid configuration record.")
		}
		if rec, err := register.DecodeRecord(r.Data); err == nil && rec.Kind == register.CheckpointRecord {
			s.checkpointAt = time.Now()
		}
	}
	if len(batch.Records) == 0 && s.replica.IsComplete() {
		s.caughtUp = true
	}
	if len(batch.Records) > 0 || !c.ready.Load() {
		c.publish(s)
	}
}

// fetchFromPeersIfIncomplete fetches the configuration from a peer if the stream does not
// give it: its beginning was trimmed and the rest holds no checkpoint.
func (c *Controller) fetchFromPeersIfIncomplete(ctx context.Context) {
	if !c.complete.Load() {
		c.fetchFromPeers(ctx)
	}
}

// fetchFromPeers installs the configuration of the first entry host that has one, if it is newer.
func (c *Controller) fetchFromPeers(ctx context.Context) {
	view := c.View()
	for _, host := range view.Hosts() {
		if host.Name() == c.self {
			continue
		}
		cp, ok, err := c.peers.Checkpoint(ctx, host)
		if err != nil || !ok {
			continue
		}
		c.enqueue(ctx, func(s *state) {
			if s.replica.Install(cp) {
				logrus.WithField("revision", cp.State.Revision).Infof("control: Fetched the configuration from host %s.", host.Name())
			}
			s.caughtUp = s.caughtUp || s.replica.IsComplete()
			c.publish(s)
		})
		return
	}
}

// checkpointOwnerKey is the ownership key that selects the host that writes checkpoints.
const checkpointOwnerKey = 0x636865636b

// appendCheckpointIfDue appends a checkpoint when one is due. Normally the owner of
// checkpointOwnerKey does; if it fails to, any other host does an interval later.
// Duplicates are harmless, as they hold the same state at the same offset.
func (c *Controller) appendCheckpointIfDue(ctx context.Context, s *state) {
	cp, complete := s.replica.Checkpoint()
	if !complete || cp.State.Revision == 0 {
		return
	}
	interval := 2 * CheckpointInterval
	if owner, ok := c.View().Owner(checkpointOwnerKey); ok && owner.Name() == c.self {
		interval = CheckpointInterval
	}
	if time.Since(s.checkpointAt) < interval {
		return
	}
	s.checkpointAt = time.Now()
	data, err := register.Record{Kind: register.CheckpointRecord, Checkpoint: &cp}.Encode()
	if err != nil {
		logrus.WithError(err).Error("control: Encoding the checkpoint failed.")
		return
	}
	go func() {
		if _, err := c.log.Append(ctx, register.StreamName, data); err != nil {
			logrus.WithError(err).Warn("control: Appending the checkpoint failed.")
		}
	}()
}
