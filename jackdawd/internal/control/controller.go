package control

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/pause"
	"jackdawhinge/common/register"
	"jackdawhinge/common/roster"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// tick is how often evidence that has lapsed is looked for.
	tick = 250 * time.Millisecond
	// pollWait is how long one read of the configuration stream waits for a change.
	pollWait = 30 * time.Second
	// listEvery is how often the host list is read.
	listEvery = 2 * time.Second
	// retryEvery is how long to wait after a failed read.
	retryEvery = 500 * time.Millisecond
	// CheckpointEvery is how often a checkpoint of the configuration is appended; the log must keep records several times as long.
	CheckpointEvery = 10 * time.Minute
	inputBuffer     = 256
)

// A Journal is the platform's log service.
type Journal interface {
	Append(ctx context.Context, stream string, records ...json.RawMessage) (int64, error)
	Read(ctx context.Context, stream string, from int64, wait time.Duration) (journal.Batch, error)
}

// A HostList is the platform's list of hosts.
type HostList interface {
	Read(ctx context.Context, tag string) (list roster.List, newTag string, changed bool, err error)
}

// A Peers asks other entry hosts for their configuration.
type Peers interface {
	Checkpoint(ctx context.Context, from routing.EntryHost) (register.Checkpoint, bool, error)
}

// A Controller is the one goroutine that holds a host's control state.
type Controller struct {
	self    string
	region  string
	journal Journal
	list    HostList
	peers   Peers
	listed  atomic.Int64
	view    atomic.Pointer[routing.View]
	folded  atomic.Pointer[register.Checkpoint]
	ready   atomic.Bool
	whole   atomic.Bool
	inputs  chan func(*state)
	onView  func(*routing.View)
	cancel  context.CancelFunc
	done    chan struct{}
}

// state is what only the control goroutine touches.
type state struct {
	fold         *register.Fold
	hosts        []roster.Host
	evidence     *Evidence
	avoided      map[string]bool
	caughtUp     bool
	checkpointAt time.Time
}

// Options are the parts that a controller is made of.
type Options struct {
	Self    string
	Region  string
	Journal Journal
	List    HostList
	Peers   Peers
	// OnView is called by the control goroutine with each new view.
	OnView func(*routing.View)
}

// NewController returns a controller that has started to read.
func NewController(o Options) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		self: o.Self, region: o.Region, journal: o.Journal, list: o.List, peers: o.Peers, onView: o.OnView,
		inputs: make(chan func(*state), inputBuffer), cancel: cancel, done: make(chan struct{}),
	}
	s := &state{fold: register.NewFold(), evidence: NewEvidence(), checkpointAt: time.Now()}
	c.publish(s)
	go func() {
		defer close(c.done)
		c.run(ctx, s)
	}()
	go func() { c.readConfiguration(ctx) }()
	go func() { c.readHosts(ctx) }()
	return c
}

// Close stops the controller; the last view stays.
func (c *Controller) Close() {
	c.cancel()
	<-c.done
}

// View returns the latest view.
func (c *Controller) View() *routing.View {
	return c.view.Load()
}

// Folded returns the configuration's folded state, or false while it is not whole.
func (c *Controller) Folded() (register.Checkpoint, bool) {
	p := c.folded.Load()
	if p == nil {
		return register.Checkpoint{}, false
	}
	return *p, true
}

// ListAge returns how long ago the host list was last confirmed; before the first time it is the time since the epoch.
func (c *Controller) ListAge() time.Duration {
	return time.Since(time.Unix(0, c.listed.Load()))
}

// Ready reports whether the host knows a configuration and the host list.
func (c *Controller) Ready() bool {
	return c.ready.Load()
}

// Observe takes in evidence from traffic; it never blocks, and drops evidence while control is behind.
func (c *Controller) Observe(name string, ok bool) {
	x := Good
	if !ok {
		x = Broken
	}
	select {
	case c.inputs <- func(s *state) {
		if s.evidence.Observe(time.Now(), name, x) {
			c.refresh(s)
		}
	}:
	default:
	}
}

func (c *Controller) run(ctx context.Context, s *state) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case input := <-c.inputs:
			input(s)
		case <-ticker.C:
			c.refresh(s)
			c.checkpoint(ctx, s)
		}
	}
}

// tell hands an input to the control goroutine.
func (c *Controller) tell(ctx context.Context, input func(*state)) {
	select {
	case c.inputs <- input:
	case <-ctx.Done():
	}
}

// refresh publishes a new view if what the evidence speaks against has changed.
func (c *Controller) refresh(s *state) {
	avoided := c.avoid(s)
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

// avoid returns the hosts that evidence speaks against, judged group by group:
// the entry hosts, and the upstreams of each model.
func (c *Controller) avoid(s *state) map[string]bool {
	groups := map[string][]string{}
	for _, h := range s.hosts {
		if h.Role == roster.EntryHost {
			groups["entry hosts"] = append(groups["entry hosts"], h.Name)
		}
		for _, m := range h.Models {
			groups["model "+m] = append(groups["model "+m], h.Name)
		}
	}
	avoid := map[string]bool{}
	for _, group := range groups {
		for name := range s.evidence.Avoid(time.Now(), group) {
			avoid[name] = true
		}
	}
	return avoid
}

func (c *Controller) publish(s *state) {
	s.avoided = c.avoid(s)
	current := s.fold.State()
	v := routing.NewView(routing.ViewInput{
		Self: c.self, Region: c.region, Revision: current.Revision, Document: current.Document,
		Hosts: s.hosts,
		// A host never speaks against itself: it would own nothing.
		Avoid: func(name string) bool { return name != c.self && s.avoided[name] },
	})
	c.view.Store(v)
	if cp, ok := s.fold.Checkpoint(); ok {
		c.folded.Store(&cp)
	}
	c.whole.Store(s.fold.Whole())
	// A host that was ready stays so: it goes on with the configuration it has.
	c.ready.Store(c.ready.Load() || (s.caughtUp && s.hosts != nil))
	if c.onView != nil {
		c.onView(v)
	}
}

func (c *Controller) readHosts(ctx context.Context) {
	tag := ""
	for ctx.Err() == nil {
		list, newTag, changed, err := c.list.Read(ctx, tag)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			logrus.WithError(err).Warn("control: The host list cannot be read. The last one stays in use.")
		case changed && len(list.Hosts) == 0:
			// An empty list is a fault of the platform: obeying it would drop all traffic.
			logrus.Warn("control: The host list is empty. The last one stays in use.")
		default:
			tag = newTag
			c.listed.Store(time.Now().UnixNano())
			if changed {
				c.tell(ctx, func(s *state) { c.takeHosts(s, list) })
			}
		}
		pause.For(ctx, listEvery)
	}
}

func (c *Controller) takeHosts(s *state, list roster.List) {
	s.hosts = list.Hosts
	listed := map[string]bool{}
	for _, h := range list.Hosts {
		listed[h.Name] = true
	}
	s.evidence.Forget(listed)
	c.publish(s)
}

func (c *Controller) readConfiguration(ctx context.Context) {
	from := int64(0)
	for ctx.Err() == nil {
		batch, err := c.journal.Read(ctx, register.Stream, from, c.wait())
		var trimmed *journal.TrimmedError
		switch {
		case errors.As(err, &trimmed):
			from = trimmed.Earliest
			c.tell(ctx, func(s *state) {
				s.fold.Trimmed(trimmed.Earliest)
				c.publish(s)
			})
			if c.ready.Load() {
				// A host that was cut off or paused for longer than the log keeps
				// records would else wait for the next checkpoint.
				c.askPeers(ctx)
			}
		case ctx.Err() != nil:
			return
		case err != nil:
			logrus.WithError(err).Warn("control: The configuration stream cannot be read. The last configuration stays in force.")
			if !c.ready.Load() {
				c.askPeers(ctx)
			}
			pause.For(ctx, retryEvery)
		default:
			from = batch.Next
			c.tell(ctx, func(s *state) { c.takeRecords(s, batch) })
			if len(batch.Records) == 0 && !c.ready.Load() {
				c.askUnlessWhole(ctx)
				pause.For(ctx, retryEvery)
			}
		}
	}
}

// wait returns how long to wait for records: not at all until the stream has once been read to its end.
func (c *Controller) wait() time.Duration {
	if !c.ready.Load() {
		return 0
	}
	return pollWait
}

func (c *Controller) takeRecords(s *state, batch journal.Batch) {
	for _, r := range batch.Records {
		if err := s.fold.Add(r); err != nil {
			logrus.WithError(err).Error("control: A configuration record was skipped.")
		}
		if rec, err := register.DecodeRecord(r.Data); err == nil && rec.Kind == register.CheckpointRecord {
			s.checkpointAt = time.Now()
		}
	}
	if len(batch.Records) == 0 && s.fold.Whole() {
		s.caughtUp = true
	}
	if len(batch.Records) > 0 || !c.ready.Load() {
		c.publish(s)
	}
}

// askUnlessWhole asks the peers while the stream alone does not give the configuration:
// its beginning was trimmed and no checkpoint is in what is left.
func (c *Controller) askUnlessWhole(ctx context.Context) {
	if !c.whole.Load() {
		c.askPeers(ctx)
	}
}

// askPeers takes the configuration from another entry host, which only ever moves this one forward.
func (c *Controller) askPeers(ctx context.Context) {
	view := c.View()
	for _, host := range view.Hosts() {
		if host.Name() == c.self {
			continue
		}
		cp, ok, err := c.peers.Checkpoint(ctx, host)
		if err != nil || !ok {
			continue
		}
		c.tell(ctx, func(s *state) {
			if s.fold.Install(cp) {
				logrus.WithField("revision", cp.State.Revision).Infof("control: The configuration was taken from host %s.", host.Name())
			}
			s.caughtUp = s.caughtUp || s.fold.Whole()
			c.publish(s)
		})
		return
	}
}

// checkpointKey is what the host that writes checkpoints owns.
const checkpointKey = 0x636865636b

// checkpoint appends a checkpoint when one is due. Its owner goes first; if that
// host fails to, any other does so an interval later. Doubled ones are harmless:
// both say the same of the same offset.
func (c *Controller) checkpoint(ctx context.Context, s *state) {
	cp, whole := s.fold.Checkpoint()
	if !whole || cp.State.Revision == 0 {
		return
	}
	due := 2 * CheckpointEvery
	if owner, ok := c.View().Owner(checkpointKey); ok && owner.Name() == c.self {
		due = CheckpointEvery
	}
	if time.Since(s.checkpointAt) < due {
		return
	}
	s.checkpointAt = time.Now()
	data, err := register.Record{Kind: register.CheckpointRecord, Checkpoint: &cp}.Encode()
	if err != nil {
		logrus.WithError(err).Error("control: The checkpoint cannot be written.")
		return
	}
	go func() {
		if _, err := c.journal.Append(ctx, register.Stream, data); err != nil {
			logrus.WithError(err).Warn("control: The checkpoint was not appended.")
		}
	}()
}
