package fleet

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
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
	// maxOnlyVersionAge is the age up to which a list of upstreams says that there is no other version.
	// Hosts that are not cut off have a newer one.
	maxOnlyVersionAge = 3 * time.Second
	// streamTimeout is the timeout of a call about a stream.
	streamTimeout = 200 * time.Millisecond
	// maxFirstEventWait is how long the first event of a stream waits for another host to hold its
	// record.
	maxFirstEventWait = 50 * time.Millisecond
)

// StreamsArgs carry records of streams, encoded by encodeStreams.
type StreamsArgs struct {
	Records []byte
}

// StreamsReply is empty: the records are held.
type StreamsReply struct{}

// StreamArgs ask for the record of a stream.
type StreamArgs struct {
	Key resumption.Key
}

// StreamReply says which software began a stream; 0 if that is not known.
type StreamReply struct {
	Software traffic.Software
	// HeldFor is for how long the host has held records.
	HeldFor time.Duration
}

// HeldStreamsArgs ask for the records of a host's own streams that another one, which has just
// started, is to hold.
type HeldStreamsArgs struct {
	Host string
}

// HeldStreamsReply has these records, encoded by encodeStreams.
type HeldStreamsReply struct {
	Records []byte
}

// streamSize is the length of an encoded record: key and software of 8 bytes each, and the time that
// it has left, in milliseconds, of 4.
const streamSize = 20

func encodeStreams(now time.Time, records []resumption.Record) []byte {
	var out []byte
	for _, r := range records {
		out = binary.LittleEndian.AppendUint64(out, uint64(r.Key))
		out = binary.LittleEndian.AppendUint64(out, uint64(r.Software))
		out = binary.LittleEndian.AppendUint32(out, uint32(max(r.Expiry.Sub(now).Milliseconds(), 0)))
	}
	return out
}

// decodeStreams returns encoded records. A truncated one at the end is ignored.
func decodeStreams(now time.Time, data []byte) []resumption.Record {
	var records []resumption.Record
	for ; len(data) >= streamSize; data = data[streamSize:] {
		left := time.Duration(binary.LittleEndian.Uint32(data[16:])) * time.Millisecond
		records = append(records, resumption.Record{
			Key: resumption.Key(binary.LittleEndian.Uint64(data)), Software: traffic.Software(binary.LittleEndian.Uint64(data[8:])), Expiry: now.Add(left),
		})
	}
	return records
}

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

// FindStream finds out which software began a stream of a pool. A key of 0 stands for a stream whose
// caller does not name it.
func (s *Source) FindStream(ctx context.Context, pool string, key resumption.Key) resumption.Origin {
	now := time.Now()
	if software, ok := s.streams.Find(now, key); ok && key != 0 {
		return resumption.Origin{Software: software, Source: resumption.ThisHost}
	}
	only, hasOnly := s.options.History.Only(now, pool)
	if key == 0 {
		if hasOnly {
			return resumption.NewOrigin(pool, only, resumption.OnlyVersion)
		}
		return resumption.Origin{Source: resumption.Unknown}
	}
	origin, denials := s.askForStream(ctx, key)
	if origin.Software != 0 {
		return origin
	}
	listAge := s.ListAge()
	if hasOnly && (listAge <= maxOnlyVersionAge || s.isUnrecorded(key, denials, listAge)) {
		return origin.InferredFrom(pool, only, resumption.OnlyVersion)
	}
	version, since, ok := s.options.History.BeforeMix(now, pool)
	if ok && s.isUnrecorded(key, denials, now.Sub(since)) {
		return origin.InferredFrom(pool, version, resumption.BeforeOtherVersion)
	}
	return origin
}

// askForStream asks other hosts for the record of a stream, all at once, and returns the first one.
// Without any it returns how long the hosts that have none have held records, by name.
func (s *Source) askForStream(ctx context.Context, key resumption.Key) (origin resumption.Origin, denials map[string]time.Duration) {
	holders := slices.DeleteFunc(s.streamRanking(key), func(p rankedPeer) bool { return p.Name == s.options.Name })
	holders = holders[:min(len(holders), maxAskedHosts)]
	type answer struct {
		host  string
		reply StreamReply
		err   error
	}
	answers := make(chan answer, len(holders))
	for _, holder := range holders {
		go func() {
			a := answer{host: holder.Name}
			// The calls go on once one is answered: a call that is canceled closes the connection, which
			// other calls share.
			a.err = s.sideCall(context.WithoutCancel(ctx), holder.Peer, streamCall, &StreamArgs{Key: key}, &a.reply)
			answers <- a
		}()
	}
	origin, denials = resumption.Origin{Source: resumption.Unknown, Asked: len(holders)}, map[string]time.Duration{}
	for range holders {
		a := <-answers
		if a.err != nil {
			continue
		}
		origin.Answered++
		if a.reply.Software != 0 {
			origin.Software, origin.Source = a.reply.Software, resumption.OtherHost
			return origin, nil
		}
		denials[a.host] = a.reply.HeldFor
	}
	if 2*origin.Answered >= origin.Asked {
		// Records could not be sent to a host that is cut off from the others.
		denials[s.options.Name] = time.Since(s.startedAt)
	}
	return origin, denials
}

// isUnrecorded reports whether a stream has no record for certain, as those have none that began more
// than a duration ago, before records were sent. Its host has sent the record to the first host in
// rendezvous order, or to the second one if it is the first one itself, and to another failure domain;
// one of these has to say that it has no record.
func (s *Source) isUnrecorded(key resumption.Key, denials map[string]time.Duration, since time.Duration) bool {
	denies := func(p rankedPeer) bool {
		heldFor, ok := denials[p.Name]
		return ok && heldFor >= since
	}
	ranking := s.streamRanking(key)
	if len(ranking) < 2 || denies(ranking[0]) {
		return true
	}
	other := slices.IndexFunc(ranking, func(p rankedPeer) bool { return p.FailureDomain != ranking[0].FailureDomain })
	return denies(ranking[1]) && (other < 0 || denies(ranking[other]))
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

// holdStreams holds records of streams of another host.
func (s *Source) holdStreams(encoded []byte) {
	now := time.Now()
	for _, r := range decodeStreams(now, encoded) {
		s.streams.Put(now, r)
	}
}

// StreamRecords returns the number of records of streams that this host holds.
func (s *Source) StreamRecords() int64 { return int64(s.streams.Size()) }

// Streams holds records of streams of another host.
func (s *service) Streams(args *StreamsArgs, _ *StreamsReply) error {
	s.source.holdStreams(args.Records)
	return nil
}

// Stream returns which software began a stream, if this host knows.
func (s *service) Stream(args *StreamArgs, reply *StreamReply) error {
	reply.Software, _ = s.source.streams.Find(time.Now(), args.Key)
	reply.HeldFor = time.Since(s.source.startedAt)
	return nil
}

// HeldStreams returns the records of this host's streams that another host is to hold.
func (s *service) HeldStreams(args *HeldStreamsArgs, reply *HeldStreamsReply) error {
	now := time.Now()
	var held []resumption.Record
	for _, pool := range s.source.options.History.MixedPools(now) {
		for _, r := range s.source.streams.Own(now, pool) {
			if slices.ContainsFunc(s.source.copyHolders(now, r.Key), func(p Peer) bool { return p.Name == args.Host }) {
				held = append(held, r)
			}
		}
	}
	reply.Records = encodeStreams(now, held)
	return nil
}
