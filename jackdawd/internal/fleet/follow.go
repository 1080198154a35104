package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

// Configurations returns the source as one of configurations.
func (s *Source) Configurations() membership.Configurations { return configurations{s} }

// Upstreams returns the source as one of upstreams.
func (s *Source) Upstreams() membership.Upstreams { return upstreams{s} }

type configurations struct{ *Source }

// Next asks a reader if there is one to follow, else the store.
func (c configurations) Next(ctx context.Context, wait time.Duration) (*traffic.Configuration, time.Duration, error) {
	readers, self := c.directory.Readers(time.Now())
	if !self && len(readers) > 0 && c.options.Address != "" {
		next, behind, err := c.follow(ctx, readers[0])
		if err == nil {
			return next, behind, nil
		}
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		c.leave(ctx, readers[0], err)
		// Asking one reader after the other could take longer than the bounds allow,
		// so the store is next, at once.
		wait = 0
	}
	c.setFollowing(nil)
	next, err := c.options.Configurations.Next(ctx, min(wait, readerWait))
	if next != nil {
		c.version = max(c.version, next.Version())
	}
	return next, 0, err
}

// follow makes one call to a reader.
func (c configurations) follow(ctx context.Context, reader Peer) (*traffic.Configuration, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followTimeout)
	defer cancel()
	now, sent := time.Now(), c.options.Uptime()
	args := FollowArgs{
		Host: c.directory.Self().Name, Version: c.version, Position: c.position, Hosts: c.directory.Version(), Wait: followWait,
		Loads: packLoads(now, c.options.Loads.TakeOwn()), Since: now.Sub(c.calledAt),
	}
	c.calledAt = now
	if c.Following() != reader.Name {
		// Positions are those of one host; and the first answer should come at once.
		args.Position, args.Wait = membership.Position{}, 0
	}
	var reply FollowReply
	if err := c.client(reader).Call(ctx, reader.Address, followCall, &args, &reply); err != nil {
		return nil, 0, err
	}
	if reply.Behind > staleAfter || reply.ListBehind > c.oldestList() {
		return nil, 0, &StaleError{Reader: reader.Name, Behind: max(reply.Behind, reply.ListBehind)}
	}
	next, behind, err := c.take(reader, reply)
	if err == nil {
		c.listHeard.Store(int64(sent - reply.ListBehind))
	}
	return next, behind, err
}

// oldestList returns how old a reader's list of upstreams may be.
func (s *Source) oldestList() time.Duration {
	return time.Duration(readerPace*float64(s.pace.Load())) + listSlack
}

// take takes in a reader's answer.
func (c configurations) take(reader Peer, reply FollowReply) (*traffic.Configuration, time.Duration, error) {
	var next *traffic.Configuration
	if len(reply.Document) > 0 {
		document, err := unpackDocument(reply.Document)
		if err != nil {
			return nil, 0, err
		}
		if next, err = c.options.Decode(document); err != nil {
			return nil, 0, err
		}
	}
	if reply.Whole || len(reply.Entries) > 0 {
		select {
		case c.changes <- traffic.UpstreamChange{Whole: reply.Whole, Entries: reply.Entries}:
		default:
			// Changes are not taken in; without this one the later ones would be wrong.
			return nil, 0, errBehind
		}
	}
	if next != nil {
		c.version = max(c.version, next.Version())
	}
	c.position = reply.Position
	if len(reply.Hosts) > 0 {
		c.directory.Replace(reply.Hosts)
	}
	c.options.Loads.Merge(reply.Loads.unpack(time.Now()))
	c.directory.Trust(reader.Name)
	c.setFollowing(&reader)
	return next, reply.Behind, nil
}

// errBehind says that this host has not taken in what it was told before.
var errBehind = errors.New("earlier changes are not taken in yet")

// A StaleError says that a reader has lost the store itself.
type StaleError struct {
	Reader string
	Behind time.Duration
}

// Error returns the reader and its age.
func (e *StaleError) Error() string {
	return fmt.Sprintf("reader %s is %s behind", e.Reader, e.Behind.Round(time.Millisecond))
}

type upstreams struct{ *Source }

// Next returns what a reader told; while there is none it reads the store at the pace given.
func (u upstreams) Next(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error) {
	u.pace.Store(int64(pace))
	if u.following.Load() == nil {
		return u.read(ctx, pace)
	}
	timer := time.NewTimer(pace)
	defer timer.Stop()
	select {
	case change := <-u.changes:
		return change, nil
	case <-u.left:
		// What the reader had not heard of may be seconds old already.
		return u.read(ctx, 0)
	case <-timer.C:
		return traffic.UpstreamChange{}, nil
	case <-ctx.Done():
		return traffic.UpstreamChange{}, ctx.Err()
	}
}

// read reads the store, not sooner than the pace allows.
func (u upstreams) read(ctx context.Context, pace time.Duration) (traffic.UpstreamChange, error) {
	if _, self := u.directory.Readers(time.Now()); self {
		pace = time.Duration(readerPace * float64(pace))
	}
	if wait := pace - time.Since(u.listedAt); !u.listedAt.IsZero() && wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case change := <-u.changes:
			// It was told just before the store is read again.
			return change, nil
		case <-timer.C:
		case <-ctx.Done():
			return traffic.UpstreamChange{}, ctx.Err()
		}
	}
	if u.following.Load() != nil {
		return traffic.UpstreamChange{}, nil
	}
	sent := u.options.Uptime()
	change, err := u.options.Upstreams.Next(ctx)
	if err == nil {
		u.listedAt = time.Now()
		u.listHeard.Store(int64(sent))
	}
	return change, err
}
