package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

const (
	// followWait is how long a follower's call waits for something new. A sound reader
	// has read the upstreams again within 0.75 s, which is new, so that most calls end
	// with it: 1.3 a second instead of the 2.7 of a wait of 0.5 s, and one that is silent is
	// found out 0.2 s sooner, as a call has begun when the reader last read.
	followWait = 800 * time.Millisecond
	// followTimeout is how long beyond that an answer may take. A host that is frozen
	// or cut off is left after that, long before any bound is reached.
	followTimeout = 300 * time.Millisecond
	// readerPace is the part of the usual pace at which a reader reads the upstreams, so
	// that a follower that has to leave it still learns of a change in time.
	readerPace = 0.5
	// readerWait bounds how long a reader's read of the configuration waits, for the same reason.
	readerWait = time.Second
	// staleSlack is how much older than two of a reader's reads, of readerWait each, and the
	// time between two of its answers a configuration may be, for what reads may take while
	// the store is slow. The sooner a host that has lost the store is left, the more time is
	// left to read it here: of 4.8 s 3.4 s are gone then at most, and 1.1 s more if the
	// host is silent. Left sooner, sound hosts were left by all at once, each nine seconds,
	// where they read the upstreams at the longer pace of larger fleets.
	staleSlack = 300 * time.Millisecond
	// listSlack is how much older than the time between two of its reads a reader's list
	// of upstreams may be. An upstream may say that it leaves just after the last read; this,
	// followTimeout and a read of the store come on top until a follower knows, 1.5 s
	// altogether where 2 s are allowed.
	listSlack = 400 * time.Millisecond
	// usualPace holds until the upstreams are asked for.
	usualPace = 1500 * time.Millisecond
	// neverListed stands for the age of what was never read.
	neverListed = time.Hour
	// largeFleet is from how many hosts on one that has just started does not read the
	// upstreams from the store but waits for others to tell it. After a failure of power
	// all start at once; 300 hosts that take 1 MB of 3,000 upstreams each get no answer
	// in time for half a minute. A hundred hosts' reads take the store half a second at
	// most, and callers wait for each tenth of it.
	largeFleet = 100
	// smallFleet is below how many hosts each looks for the store itself when the host above has
	// lost it: 32 hosts then make 80 calls a second, of several hundred that the store takes.
	smallFleet = 32
	// startPatience is how long such a host goes on asking others that know nothing
	// either, and startSpread how much longer at random.
	startPatience = 1500 * time.Millisecond
	startSpread   = 1500 * time.Millisecond
	// startPause is the time between two questions of such a host.
	startPause = 50 * time.Millisecond
	// mostParents is how many hosts are asked one after the other before the store is.
	mostParents = 3
	// lostPause is the least time between two questions to a host that has lost the store.
	lostPause = 300 * time.Millisecond
	// lostMargin is how long before its list of upstreams is too old a host that waits for one above
	// begins to ask other failure domains' first hosts for the store: all of them, then one each
	// lostPause. It reads the store itself once one of them has it. With half of that hosts
	// heard 20 ms too late of upstreams that left.
	lostMargin = 4 * lostPause
	// leastLost is for how long a host waits in any case for the one above to find the store.
	leastLost = 100 * time.Millisecond
	// drainShare is the part of the time for which a leaving upstream may be sent work after
	// which a reader's keeper asks for the upstreams again.
	drainShare = 0.75
)

// Configurations returns the source as one of configurations.
func (s *Source) Configurations() membership.Configurations { return configurations{s} }

// Upstreams returns the source as one of upstreams.
func (s *Source) Upstreams() membership.Upstreams { return upstreams{s} }

type configurations struct{ *Source }

// Next asks the host above if there is one, else the store.
func (c configurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, time.Duration, error) {
	if c.version == 0 && !c.options.FirstStart {
		if next, err := c.first(ctx); err == nil && next != nil {
			return next, 0, nil
		}
	}
	if err := c.await(ctx, c.joined); err != nil {
		return nil, 0, err
	}
	// What the last call brought has been taken in only now, so that followers that are
	// answered now hear how old it is; told sooner, each step would add the time between
	// two answers to the age of what it passes on.
	c.refreshedAt = time.Now()
	c.refreshed.raise()
	next, behind, left, err := c.followAny(ctx)
	if next != nil || err == nil {
		return next, behind, nil
	}
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	return c.readStore(ctx, wait, left)
}

// followAny asks the host above, and others in its place where it fails; it returns an error if
// the store is to be read, with anyLeft set if a host that was followed has just been left.
func (c configurations) followAny(ctx context.Context) (next *traffic.Configuration, behind time.Duration, anyLeft bool, err error) {
	err = errNoParent
	left, entered := 0, c.options.Uptime()
	var away absence
	for parent, ok := c.parent(); ok && ctx.Err() == nil; parent, ok = c.parent() {
		patient := c.patient()
		if c.gathers {
			c.gathers = false
			c.gatherBelow(ctx, c.refreshedAt)
		}
		begun, waited := time.Now(), c.options.Uptime()-entered
		oldest := c.oldestList() + time.Millisecond
		if away.told {
			// It need not say that it is still away: it answers when it is back.
			oldest = neverListed
		}
		if next, behind, err = c.follow(ctx, parent, oldest); err == nil {
			// It counts from the beginning, and the time until this call went by since.
			return next, behind - waited, false, nil
		}
		var stale *StaleError
		switch {
		case patient:
			if !errors.As(err, &stale) && time.Since(begun) > followTimeout {
				// It is not even starting.
				c.suspect(ctx, parent, err)
			}
			pause.For(ctx, startPause)
		case c.waitsFor(ctx, err, &away):
			pause.For(ctx, lostPause-time.Since(begun))
		default:
			left++
			c.leave(ctx, parent, err)
		}
		if left == mostParents || (left > 0 && c.ListAge() > c.oldestList()) {
			break
		}
	}
	if left > 0 {
		// Nobody that this host knows answers: perhaps others know better whom there is.
		c.reread.Store(true)
	}
	return nil, 0, left > 0, err
}

// absence is a time for which the host above has lost the store.
type absence struct {
	// told is set once a line has told of it, asked counts how often other hosts were asked for the store.
	told  bool
	asked int
	// elsewhere is set once another host had the store.
	elsewhere bool
}

// ask returns which of the other hosts are to be asked: all of them first, then one after the other. The
// store may serve some hosts and reject others, so that one alone says little.
func (a *absence) ask(others []Peer) []Peer {
	a.asked++
	if a.asked == 1 {
		return others
	}
	return others[a.asked%len(others):][:1]
}

// waitsFor reports whether a host waits for the one above, which answers but has lost the
// store, instead of asking the store itself. It is up to the first hosts of the failure
// domains to find a way to the store; when the store was away for eight seconds, 195 hosts
// that each looked for one made 3,600 calls. If another failure domain's first host has
// one, the host above is left.
func (c configurations) waitsFor(ctx context.Context, err error, away *absence) bool {
	var stale *StaleError
	if !errors.As(err, &stale) {
		return false
	}
	others := c.directory.Elsewhere(time.Now())
	if len(others) == 0 {
		return false
	}
	if !away.told {
		away.told = true
		logrus.WithError(err).WithField("peer", stale.Reader).Info("fleet: The host above has lost the store. It is waited for.")
	}
	if c.ListAge() < c.mostLost() {
		return true
	}
	if c.allHaveLostStore(ctx, away.ask(others)) {
		return true
	}
	// After a long absence the store has just come back, and the host above needs a moment more.
	first := !away.elsewhere && c.ListAge() > 2*c.mostLost()
	away.elsewhere = true
	return first
}

// mostLost returns how old the list of upstreams may become before a host asks elsewhere: a
// question there and a read of the store fit into the time for which an upstream that leaves
// may be sent work.
func (s *Source) mostLost() time.Duration {
	return max(time.Duration(float64(s.pace.Load())/drainShare)-lostMargin, s.oldestList()+leastLost)
}

// allHaveLostStore reports whether all of some hosts answer that what they know is too old as well.
func (c configurations) allHaveLostStore(ctx context.Context, others []Peer) bool {
	for _, other := range others {
		if !c.hasLostStore(ctx, other) {
			return false
		}
	}
	return true
}

// hasLostStore reports whether another host answers that what it knows is too old as well.
func (c configurations) hasLostStore(ctx context.Context, other Peer) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	var reply AgeReply
	if err := c.client(other).Call(ctx, other.Address, ageCall, &AgeArgs{}, &reply); err != nil {
		// It may be cut off, which says nothing of the store.
		c.suspect(ctx, other, err)
		return false
	}
	// When the store has gone for all, the other one may have been told by a reader that had read it later.
	youngest := c.ListAge() - c.readerInterval()
	return reply.List > min(youngest, c.oldestList()) || reply.Configuration > c.oldestConfiguration()
}

// errNoParent says that this host follows none.
var errNoParent = errors.New("there is no host to follow")

// first reads the first configuration from the store: all hosts' together are little, and
// a host that has just started has nothing to serve by until it knows one. When all start
// for the first time nobody waits for it yet.
func (c configurations) first(ctx context.Context) (*traffic.Configuration, error) {
	next, err := c.options.Configurations.Next(ctx, 0)
	if next != nil {
		c.version = next.Version()
	}
	return next, err
}

// readStore reads the configuration from the store; left is set if the host that was
// followed has just been left. Asking one host after the other could take longer
// than the bounds allow, so the store is next, at once.
func (c configurations) readStore(ctx context.Context, wait time.Duration, left bool) (*traffic.Configuration, time.Duration, error) {
	c.setFollowing(nil)
	if left {
		wait = 0
	}
	next, err := c.options.Configurations.Next(ctx, min(wait, readerWait))
	if next != nil {
		c.version = max(c.version, next.Version())
	}
	if err != nil && c.ListAge() > c.oldestList() {
		// Others may be better off.
		c.directory.TurnAway(time.Now())
	}
	return next, 0, err
}

// parent returns the host that this one follows, or false if it reads the store.
func (s *Source) parent() (Peer, bool) {
	if s.options.Address == "" {
		return Peer{}, false
	}
	return s.directory.Parent(time.Now())
}

// patient reports whether the host has just started, in a large fleet or with all others
// for the first time, and waits for others to tell it the upstreams.
func (s *Source) patient() bool {
	crowded := s.options.FirstStart || s.directory.Large()
	return crowded && s.ListAge() >= neverListed && time.Now().Before(s.patientUntil)
}

// follow makes one call to the host above, which answers at once if its list is older than given.
func (c configurations) follow(ctx context.Context, parent Peer, oldest time.Duration) (*traffic.Configuration, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followTimeout)
	defer cancel()
	sent := c.options.Uptime()
	args := FollowArgs{
		Version: c.version, Position: c.position, Whole: c.whole, Heard: c.parentHeard, Wait: followWait, Oldest: oldest,
	}
	if c.asked != parent.Name {
		// Positions and moments are those of one host, and the first answer should come
		// at once if there is one.
		c.asked, c.whole = parent.Name, true
		args.Position, args.Whole, args.Heard = membership.Position{}, true, neverHeard
	}
	args.Hosts, args.Exchange = c.directory.Until(), c.tell(time.Now(), parent)
	var reply FollowReply
	if err := c.client(parent).Call(ctx, parent.Address, followCall, &args, &reply); err != nil {
		c.notTold()
		return nil, 0, err
	}
	if reply.Behind > c.oldestConfiguration() || reply.ListBehind > c.oldestList() {
		return nil, 0, &StaleError{Reader: parent.Name, Behind: max(reply.Behind, reply.ListBehind)}
	}
	c.learn(time.Now(), &reply.Exchange)
	if reply.HostsUntil > 0 && c.directory.Learn(reply.Hosts, reply.HostsWhole, reply.HostsUntil) {
		c.missed.Store(true)
	}
	next, behind, err := c.take(parent, reply, sent+reply.Waited-reply.ListBehind)
	if err != nil {
		// What was missed is told again.
		c.asked = ""
	}
	return next, behind, err
}

// oldestList returns how old the list of upstreams of a host that is followed may be.
func (s *Source) oldestList() time.Duration {
	return s.readerInterval() + listSlack
}

// readerInterval returns how often readers read the list of upstreams.
func (s *Source) readerInterval() time.Duration {
	return time.Duration(readerPace * float64(s.pace.Load()))
}

// oldestConfiguration returns how old the configuration of a host that is followed may be.
func (s *Source) oldestConfiguration() time.Duration {
	return 2*readerWait + s.readerInterval() + staleSlack
}

// take takes in the answer of the host above, whose list of upstreams is as old as given.
func (c configurations) take(parent Peer, reply FollowReply, listed time.Duration) (*traffic.Configuration, time.Duration, error) {
	var next *traffic.Configuration
	if len(reply.Document) > 0 {
		document, err := unpack(reply.Document)
		if err != nil {
			return nil, 0, err
		}
		if next, err = c.options.Decode(document); err != nil {
			return nil, 0, err
		}
	}
	if err := c.pass(parent, reply, listed); err != nil {
		return nil, 0, err
	}
	if next != nil {
		c.version = max(c.version, next.Version())
	}
	c.position, c.parentHeard = reply.Position, reply.Heard
	// News of other kinds goes on at once.
	c.gathers = reply.Exchange.Plan != nil && next == nil && len(reply.Listed) == 0 && len(reply.Entries) == 0
	c.directory.Trust(parent.Name)
	return next, reply.Behind - reply.Waited, nil
}

// pass hands what has changed of the upstreams on. All of them, which is what a host is
// told first, are passed over while they are older than what is known here; they are
// asked for again until they are not.
func (c configurations) pass(parent Peer, reply FollowReply, listed time.Duration) error {
	change := traffic.UpstreamChange{Entries: reply.Entries}
	if len(reply.Listed) > 0 {
		entries, err := unpackUpstreams(reply.Listed)
		if err != nil {
			return err
		}
		change = traffic.UpstreamChange{Whole: true, Entries: entries}
	}
	switch {
	case change.Whole && c.intake.replace(listed, func() { c.setFollowing(&parent) }):
		c.whole = false
	case c.whole:
		return nil
	}
	if change.Whole || len(change.Entries) > 0 {
		c.intake.changed(c.options.Uptime())
	}
	select {
	case c.changes <- told{change: change, heard: listed}:
		return nil
	default:
		// Changes are not taken in; without this one the later ones would be wrong.
		return errBehind
	}
}

// told is what the host above told of the upstreams, and the moment up to which that is all.
type told struct {
	change traffic.UpstreamChange
	heard  time.Duration
}

// errBehind says that this host has not taken in what it was told before.
var errBehind = errors.New("earlier changes are not taken in yet")

// A StaleError says that the host that is followed has lost the store itself.
type StaleError struct {
	Reader string
	Behind time.Duration
}

// Error returns the host and its age.
func (e *StaleError) Error() string {
	return fmt.Sprintf("host %s is %s behind", e.Reader, e.Behind.Round(time.Millisecond))
}

type upstreams struct{ *Source }

// Next returns what the host above told; while there is none it reads the store at the pace given.
func (u upstreams) Next(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error) {
	u.pace.Store(int64(pace))
	u.takenIn()
	if err := u.await(ctx, u.joined); err != nil {
		return traffic.UpstreamChange{}, err
	}
	if u.patient() {
		if err := u.await(ctx, u.settled); err != nil {
			return traffic.UpstreamChange{}, err
		}
	}
	if u.following.Load() == nil {
		return u.read(ctx, pace)
	}
	return u.awaitChange(ctx, pace)
}

// errLost says that nobody tells of the upstreams any more.
var errLost = errors.New("the host above has lost the store")

// awaitChange waits until the host above tells of a change. That it tells nothing for so long
// that it has lost the store is an error, told once: entries that are gone when the store is
// back may have lapsed.
func (u upstreams) awaitChange(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error) {
	timer := time.NewTimer(pace)
	defer timer.Stop()
	for {
		select {
		case t := <-u.changes:
			u.lost = false
			if change, news := u.hand(t); news {
				return change, nil
			}
		case <-u.left:
			// What the other host had not heard of may be seconds old already.
			u.lost = false
			return u.read(ctx, 0)
		case <-timer.C:
			switch lost := u.ListAge() > 2*u.oldestList(); {
			case lost && !u.lost:
				u.lost = true
				return traffic.UpstreamChange{}, errLost
			case !lost:
				u.lost = false
				return traffic.UpstreamChange{}, nil
			}
			timer.Reset(lostPause)
		case <-ctx.Done():
			return traffic.UpstreamChange{}, ctx.Err()
		}
	}
}

// read reads the store, not sooner than the pace allows.
func (u upstreams) read(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error) {
	// Others may follow this host already, or soon.
	pace = time.Duration(readerPace * float64(pace))
	if wait := pace - time.Since(u.listedAt); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case t := <-u.changes:
			// It was told just before the store is read again.
			change, _ := u.hand(t)
			return change, nil
		case <-timer.C:
		case <-ctx.Done():
			return traffic.UpstreamChange{}, ctx.Err()
		}
	}
	if !u.intake.begin(&u.following) {
		return traffic.UpstreamChange{}, nil
	}
	sent := u.options.Uptime()
	change, err := u.options.Upstreams.Next(ctx)
	u.intake.end(err == nil, u.options.Uptime())
	if err == nil {
		u.listedAt = time.Now()
		u.heard = sent
	}
	return change, err
}

// hand returns a change that the host above told, and whether there is one. That nothing has changed
// holds at once; a change only once it has been taken in.
func (u upstreams) hand(t told) (change traffic.UpstreamChange, news bool) {
	u.heard = t.heard
	if !t.change.Whole && len(t.change.Entries) == 0 {
		u.takenIn()
		return t.change, false
	}
	return t.change, true
}

// takenIn takes note, for those below, that what was handed on last has been taken in. Said
// sooner, a follower would take its old list for a new one; if the hosts were then cut off
// from each other, it would send requests to upstreams that had left.
func (u upstreams) takenIn() {
	if u.heard == neverHeard {
		return
	}
	heard := u.heard
	u.heard = neverHeard
	if int64(heard) <= u.listHeard.Load() {
		// The host above is behind this one. Taken over, an older moment is news for those below; two
		// hosts that follow each other would tell theirs to and fro without a pause.
		return
	}
	u.heardList(heard)
	u.refreshed.raise()
}
