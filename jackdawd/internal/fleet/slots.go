package fleet

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// slotTimeout is the timeout of a call for a slot. A request waits for it before it is sent.
	slotTimeout = 60 * time.Millisecond
)

// SlotArgs ask the owner of a brittle upstream for one of its slots, or give one back.
type SlotArgs struct {
	// Upstream is the short hash of the upstream, Slots how many leases of its slots there may be.
	Upstream uint32
	Slots    int
	// Lease is a random number that identifies the request.
	Lease uint64
	// TTL is how long the slot is held at most.
	TTL time.Duration
	// Release is set to give the slot back.
	Release bool
}

// SlotReply says whether the request has a slot.
type SlotReply struct {
	Granted bool
}

// slotTable holds the slots of brittle upstreams that are in use, at their owner. It is safe for
// concurrent use.
type slotTable struct {
	mu sync.Mutex
	// expiry holds when the leases of an upstream's slots expire.
	expiry map[uint32]map[uint64]time.Time
}

// apply grants or releases a slot.
func (t *slotTable) apply(now time.Time, args *SlotArgs) (granted bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	leases := t.expiry[args.Upstream]
	if args.Release {
		delete(leases, args.Lease)
		return false
	}
	if leases == nil {
		leases = map[uint64]time.Time{}
		t.expiry[args.Upstream] = leases
	}
	for lease, expiry := range leases {
		if now.After(expiry) {
			delete(leases, lease)
		}
	}
	if len(leases) >= args.Slots {
		return false
	}
	leases[args.Lease] = now.Add(args.TTL)
	return true
}

var errNoSlotOwner = errors.New("no host owns the upstream's slots")

// ownerOf returns the host that decides for all about what has a hash: the first known one in its
// rendezvous order that answers a call.
func (s *Source) ownerOf(now time.Time, hash uint64, call string) (Peer, bool) {
	names := slices.DeleteFunc(slices.Clone(s.directory.KnownNames()), func(name string) bool {
		return s.sideCalls.isSkipped(now, name, call)
	})
	if len(names) == 0 {
		return Peer{}, false
	}
	name := slices.MaxFunc(names, func(a, b string) int {
		return cmp.Compare(routing.RendezvousScore(hash, routing.NameHash(a)), routing.RendezvousScore(hash, routing.NameHash(b)))
	})
	return Peer{Name: name, Registration: s.directory.All()[name]}, true
}

// AcquireSlot asks the owner of a brittle upstream for one of the given number of its slots that hosts
// lease. If it is granted, release must be called. It returns an error if no owner answers.
func (s *Source) AcquireSlot(u *traffic.Upstream, slots int, ttl time.Duration) (release func(), granted bool, err error) {
	owner, ok := s.ownerOf(time.Now(), u.Hash, slotCall)
	if !ok {
		return nil, false, errNoSlotOwner
	}
	args := &SlotArgs{Upstream: u.ShortHash(), Slots: slots, Lease: rand.Uint64(), TTL: ttl}
	granted, err = s.callSlotOwner(owner, args)
	if err != nil || !granted {
		return nil, false, err
	}
	return func() {
		released := *args
		released.Release = true
		go func() {
			// If this fails, which callSlotOwner logs, the lease expires.
			_, _ = s.callSlotOwner(owner, &released)
		}()
	}, true, nil
}

// callSlotOwner grants or releases a slot at its owner, which may be this host.
func (s *Source) callSlotOwner(owner Peer, args *SlotArgs) (granted bool, err error) {
	if owner.Name == s.options.Name {
		return s.slots.apply(time.Now(), args), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), slotTimeout)
	defer cancel()
	var reply SlotReply
	if err := s.sideClientFor(owner).Call(ctx, owner.Address, slotCall, args, &reply); err != nil {
		s.sideCalls.skip(owner.Name, slotCall)
		logrus.WithError(err).WithField("peer", owner.Name).Info("fleet: The owner of a brittle upstream did not answer.")
		return false, err
	}
	return reply.Granted, nil
}

// Slot grants or releases a slot of a brittle upstream that this host owns.
func (s *service) Slot(args *SlotArgs, reply *SlotReply) error {
	reply.Granted = s.source.slots.apply(time.Now(), args)
	return nil
}
