package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/resumption"
	"jackdawhinge/jackdawd/internal/routing"
)

const (
	// streamCopies is how many other hosts hold the record of a stream, in different failure domains
	// if there are several.
	streamCopies = 2
	// maxAskedHosts is how many hosts are asked for the record of a stream, in rendezvous order. Hosts
	// that came, left or did not answer since the stream began shift its copies by a few places.
	maxAskedHosts = 8
	// maxFirstEventWait is how long the first event of a stream waits for another host to hold its
	// record.
	maxFirstEventWait = 50 * time.Millisecond
)

// rankedPeer is a host and its rendezvous score for a stream.
type rankedPeer struct {
	Peer
	score uint64
}

// streamRanking returns the first hosts of the region, which may include this one, in the rendezvous
// order of a stream: this host and maxAskedHosts others, if there are as many.
func (s *Source) streamRanking(key resumption.Key) []rankedPeer {
	ranking := make([]rankedPeer, 0, maxAskedHosts+2)
	for _, p := range s.directory.regionPeers() {
		ranked := rankedPeer{p.Peer, routing.RendezvousScore(uint64(key), p.hash)}
		i, _ := slices.BinarySearchFunc(ranking, ranked, func(a, b rankedPeer) int { return cmp.Compare(b.score, a.score) })
		if i <= maxAskedHosts {
			ranking = slices.Insert(ranking, i, ranked)
			ranking = ranking[:min(len(ranking), maxAskedHosts+1)]
		}
	}
	return ranking
}

// copyHolders returns the hosts that hold the copies of the record of one of this host's streams: the
// first one in rendezvous order and the first one of another failure domain. Hosts that did not answer
// a moment ago are left out.
func (s *Source) copyHolders(now time.Time, key resumption.Key) []Peer {
	var candidates []Peer
	for _, p := range s.streamRanking(key) {
		if p.Name != s.options.Name && !s.sideCalls.isSkipped(now, p.Name, streamsCall) {
			candidates = append(candidates, p.Peer)
		}
	}
	return firstInTwoDomains(candidates)
}

// firstInTwoDomains returns the first host and the next one, of another failure domain if there is one.
func firstInTwoDomains(candidates []Peer) []Peer {
	if len(candidates) <= streamCopies {
		return candidates
	}
	second := 1
	if i := slices.IndexFunc(candidates, func(p Peer) bool { return p.FailureDomain != candidates[0].FailureDomain }); i > 0 {
		second = i
	}
	return []Peer{candidates[0], candidates[second]}
}

// RecordStream records which software begins a stream of a pool, and returns when another host holds
// the record, or none answers in time. While all upstreams of the pool have one version, the record
// stays at this host.
func (s *Source) RecordStream(pool string, record resumption.Record) {
	now := time.Now()
	s.streams.PutOwn(now, pool, record)
	if !s.options.History.IsMixed(now, pool) {
		return
	}
	held := s.sendStreams(now, []resumption.Record{record})
	timer := time.NewTimer(maxFirstEventWait)
	defer timer.Stop()
	select {
	case <-held:
	case <-timer.C:
	}
}

// sendStreams sends records to the hosts that hold copies of them. The channel is closed when the
// first host has answered, or none does.
func (s *Source) sendStreams(now time.Time, records []resumption.Record) (held <-chan struct{}) {
	byHolder := map[Peer][]resumption.Record{}
	for _, r := range records {
		for _, holder := range s.copyHolders(now, r.Key) {
			byHolder[holder] = append(byHolder[holder], r)
		}
	}
	done := make(chan struct{})
	var once sync.Once
	var calls sync.WaitGroup
	for holder, held := range byHolder {
		calls.Go(func() {
			args := &StreamsArgs{Records: encodeStreams(now, held)}
			// sideCall logs an error. The other holder still has the record.
			if err := s.sideCall(context.Background(), holder, streamsCall, args, &StreamsReply{}); err == nil {
				once.Do(func() { close(done) })
			}
		})
	}
	go func() {
		calls.Wait()
		once.Do(func() { close(done) })
	}()
	return done
}

// sendOwnStreams sends the records of this host's streams of a pool whose upstreams now have several
// versions.
func (s *Source) sendOwnStreams(pool string) {
	now := time.Now()
	if records := s.streams.Own(now, pool); len(records) > 0 {
		<-s.sendStreams(now, records)
		logrus.WithFields(logrus.Fields{"pool": pool, "streams": len(records)}).Info("fleet: Sent the records of streams that began before another software version came.")
	}
}

// fetchHeldStreams gets the records that this host is to hold from the others, after its start, if
// there can be any.
func (s *Source) fetchHeldStreams(ctx context.Context) {
	if s.await(ctx, s.joined) != nil || len(s.options.History.MixedPools(time.Now())) == 0 {
		return
	}
	var calls sync.WaitGroup
	for _, p := range s.directory.regionPeers() {
		if p.Name == s.options.Name {
			continue
		}
		calls.Go(func() {
			var reply HeldStreamsReply
			if err := s.sideCall(ctx, p.Peer, heldStreamsCall, &HeldStreamsArgs{Host: s.options.Name}, &reply); err == nil {
				s.holdStreams(reply.Records)
			}
		})
	}
	calls.Wait()
}
