package ledger

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/peers"
	"jackdawhinge/standin/platform"
)

const testStream = "claims-00"

// claimant is one request with the key, as in spec/claim.pml. readUpTo, earliestAtRequest and
// claimOffset are seen, window and at there.
type claimant struct {
	args              peers.ClaimArgs
	index             *ClaimIndex
	readUpTo          int64
	earliestAtRequest int64
	claimOffset       int64
	expired           bool
	executed          bool
	notRun            bool
	ended             bool
}

// protocolModel runs a ClaimIndex through the steps of the specification.
type protocolModel struct {
	t          *rapid.T
	log        *platform.Log
	earliest   int64
	nextOffset int64
	claimants  []*claimant
}

func (m *protocolModel) append(r Record) int64 {
	data, err := r.Encode()
	require.NoError(m.t, err)
	offset, err := m.log.Append(m.t.Context(), testStream, data)
	require.NoError(m.t, err)
	m.nextOffset = offset + 1
	return offset
}

func (m *protocolModel) read(index *ClaimIndex, upTo int64) {
	for index.NextOffset() < upTo {
		batch, err := m.log.Read(m.t.Context(), testStream, index.NextOffset(), 0)
		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) {
			index.Trim(trimmed.Earliest)
			continue
		}
		require.NoError(m.t, err)
		for _, r := range batch.Records {
			if r.Offset < upTo {
				require.NoError(m.t, index.Add(time.Time{}, r))
			}
		}
	}
}

// requestClaim is Partition.Claim up to the append. The claimant's index is new or that of an
// earlier claimant, as on the same host.
func (m *protocolModel) requestClaim(t *rapid.T) {
	c := &claimant{index: NewClaimIndex(), earliestAtRequest: m.earliest, args: peers.ClaimArgs{Claim: fmt.Sprint(len(m.claimants)), Key: "key", Body: "body"}}
	if len(m.claimants) > 0 && rapid.Bool().Draw(t, "same host") {
		c.index = rapid.SampledFrom(m.claimants).Draw(t, "host").index
	}
	m.read(c.index, rapid.Int64Range(min(c.index.NextOffset(), m.nextOffset), m.nextOffset).Draw(t, "position"))
	if _, known := c.index.Lookup(time.Time{}, c.args); known {
		return
	}
	c.readUpTo, c.claimOffset = c.index.NextOffset(), -1
	m.claimants = append(m.claimants, c)
}

func (m *protocolModel) pickClaimant(t *rapid.T, matches func(*claimant) bool) *claimant {
	var candidates []*claimant
	for _, c := range m.claimants {
		if matches(c) {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		t.Skip("no claimant matches")
	}
	return rapid.SampledFrom(candidates).Draw(t, "claimant")
}

func (m *protocolModel) appendClaim(c *claimant) {
	offset := m.append(Record{Kind: ClaimRecord, Claim: c.args.Claim, Key: "key", Body: "body", Seen: c.readUpTo})
	if c.claimOffset < 0 {
		c.claimOffset = offset
	}
}

// execute is Executor.Execute after Partition.Claim has read the claim back.
func (m *protocolModel) execute(t *rapid.T, c *claimant) {
	m.read(c.index, m.nextOffset)
	reply, known := c.index.Lookup(time.Time{}, c.args)
	c.ended = true
	if !known || reply.State != peers.Granted {
		return
	}
	if c.expired {
		m.voidClaim(c)
		return
	}
	for _, other := range m.claimants {
		require.False(t, other != c && other.executed && other.claimOffset >= c.earliestAtRequest, "claims %s and %s both executed", other.args.Claim, c.args.Claim)
	}
	require.False(t, c.notRun)
	c.executed = true
	if rapid.Bool().Draw(t, "outcome recorded") {
		m.append(Record{Kind: OutcomeRecord, Claim: c.args.Claim, Key: "key", Body: "body", State: peers.Finished})
	}
}

func (m *protocolModel) voidClaim(c *claimant) {
	c.ended, c.notRun = true, true
	m.append(Record{Kind: VoidRecord, Claim: c.args.Claim, Key: "key"})
}

// Claimants of one key on several hosts request claims, expire, void them, execute and crash in
// any order; claims are appended late or twice, and retention trims records once all claimants
// have expired. Within the retained records the request is executed at most once, and never
// after its caller was told "not-run". The steps are those of spec/claim.pml.
func TestClaimsExecuteAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &protocolModel{t: t, log: platform.NewLog()}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.requestClaim,
			"append": func(t *rapid.T) {
				m.appendClaim(m.pickClaimant(t, func(*claimant) bool { return true }))
			},
			"execute": func(t *rapid.T) {
				m.execute(t, m.pickClaimant(t, func(c *claimant) bool { return c.claimOffset >= 0 && !c.ended }))
			},
			"void": func(t *rapid.T) {
				m.voidClaim(m.pickClaimant(t, func(c *claimant) bool { return !c.ended }))
			},
			"crash": func(t *rapid.T) {
				m.pickClaimant(t, func(c *claimant) bool { return !c.ended }).ended = true
			},
			"expire": func(t *rapid.T) {
				m.pickClaimant(t, func(c *claimant) bool { return !c.expired }).expired = true
			},
			"trim": func(t *rapid.T) {
				for _, c := range m.claimants {
					if !c.expired {
						t.Skip("a claimant has not expired")
					}
				}
				m.earliest = rapid.Int64Range(m.earliest, m.nextOffset).Draw(t, "earliest")
				m.log.Trim(testStream, m.earliest)
			},
		})
	})
}

// Claim b lost to a, then a was voided and c was made. One reader started before retention
// removed a, another one after that, so that b looks like the first claim to it. Both must grant
// c but not b, or both claimants would execute, and both must refuse a new claim.
func TestReadersWithDifferentStartOffsets(t *testing.T) {
	records := []Record{
		{Kind: ClaimRecord, Claim: "a", Key: "key", Body: "body"},
		{Kind: ClaimRecord, Claim: "b", Key: "key", Body: "body"},
		{Kind: VoidRecord, Claim: "a", Key: "key"},
		{Kind: ClaimRecord, Claim: "c", Key: "key", Body: "body", Seen: 3},
	}
	for name, startOffset := range map[string]int64{"before the trim": 0, "after the trim": 1} {
		t.Run(name, func(t *testing.T) {
			index := NewClaimIndex()
			index.Trim(startOffset)
			for i, r := range records[startOffset:] {
				data, err := r.Encode()
				require.NoError(t, err)
				require.NoError(t, index.Add(time.Time{}, journal.Record{Offset: startOffset + int64(i), Data: data}))
			}
			want := map[string]peers.ClaimState{"b": peers.Running, "c": peers.Granted, "new": peers.Running}
			for claim, state := range want {
				reply, known := index.Lookup(time.Time{}, peers.ClaimArgs{Claim: claim, Key: "key", Body: "body"})
				require.True(t, known)
				require.Equal(t, state, reply.State, claim)
			}
		})
	}
}

// A reader started after records that decide on a claim, so the claim is not decidable for it.
// It must neither grant that claim nor another one of the key.
func TestUndecidableClaimBlocksKey(t *testing.T) {
	index := NewClaimIndex()
	index.Trim(5)
	data, err := Record{Kind: ClaimRecord, Claim: "a", Key: "key", Body: "body", Seen: 4}.Encode()
	require.NoError(t, err)
	require.NoError(t, index.Add(time.Time{}, journal.Record{Offset: 5, Data: data}))
	for _, claim := range []string{"a", "new"} {
		reply, known := index.Lookup(time.Time{}, peers.ClaimArgs{Claim: claim, Key: "key", Body: "body"})
		require.True(t, known)
		require.Equal(t, peers.Running, reply.State)
	}
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"format":1,"kind":"claim","claim":"c","key":"k","body":"b","seen":3}`))
	f.Add([]byte(`{"format":1,"kind":"outcome","claim":"c","key":"k","state":"finished"}`))
	f.Add([]byte(`{"format":7,"kind":"claim","claim":"c","key":"k"}`))
	f.Add([]byte(`[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		index := NewClaimIndex()
		err := index.Add(time.Time{}, journal.Record{Data: data})
		require.EqualValues(t, 1, index.NextOffset(), "the reader must skip an invalid record")
		require.Equal(t, err == nil, index.KeyCount() == 1)
	})
}
