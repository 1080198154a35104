package fleet

import (
	"encoding/binary"
	"slices"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/resumption"
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
