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

// claimant is one request with the key, as in spec/claim.pml.
type claimant struct {
	args     peers.ClaimArgs
	fold     *Fold
	seen     int64
	window   int64
	landed   int64
	expired  bool
	executed bool
	notRun   bool
	ended    bool
}

// machine drives the real fold through the steps of the specification.
type machine struct {
	t         *rapid.T
	log       *platform.Log
	earliest  int64
	next      int64
	claimants []*claimant
}

func (m *machine) append(r Record) int64 {
	data, err := r.Encode()
	require.NoError(m.t, err)
	offset, err := m.log.Append(m.t.Context(), testStream, data)
	require.NoError(m.t, err)
	m.next = offset + 1
	return offset
}

func (m *machine) read(f *Fold, upTo int64) {
	for f.Next() < upTo {
		batch, err := m.log.Read(m.t.Context(), testStream, f.Next(), 0)
		var trimmed *journal.TrimmedError
		if errors.As(err, &trimmed) {
			f.Trim(trimmed.Earliest)
			continue
		}
		require.NoError(m.t, err)
		for _, r := range batch.Records {
			if r.Offset < upTo {
				require.NoError(m.t, f.Add(time.Time{}, r))
			}
		}
	}
}

// ask is Partition.Claim up to the append; its host's reader is new or an older claimant's.
func (m *machine) ask(t *rapid.T) {
	c := &claimant{fold: NewFold(), window: m.earliest, args: peers.ClaimArgs{Claim: fmt.Sprint(len(m.claimants)), Key: "key", Body: "body"}}
	if len(m.claimants) > 0 && rapid.Bool().Draw(t, "same host") {
		c.fold = rapid.SampledFrom(m.claimants).Draw(t, "host").fold
	}
	m.read(c.fold, rapid.Int64Range(min(c.fold.Next(), m.next), m.next).Draw(t, "position"))
	if _, known := c.fold.State(time.Time{}, c.args); known {
		return
	}
	c.seen, c.landed = c.fold.Next(), -1
	m.claimants = append(m.claimants, c)
}

func (m *machine) some(t *rapid.T, which func(*claimant) bool) *claimant {
	var found []*claimant
	for _, c := range m.claimants {
		if which(c) {
			found = append(found, c)
		}
	}
	if len(found) == 0 {
		t.Skip("no such claimant")
	}
	return rapid.SampledFrom(found).Draw(t, "claimant")
}

func (m *machine) land(c *claimant) {
	offset := m.append(Record{Kind: ClaimRecord, Claim: c.args.Claim, Key: "key", Body: "body", Seen: c.seen})
	if c.landed < 0 {
		c.landed = offset
	}
}

// execute is Executor.Execute after the claim was read back.
func (m *machine) execute(t *rapid.T, c *claimant) {
	m.read(c.fold, m.next)
	reply, known := c.fold.State(time.Time{}, c.args)
	c.ended = true
	if !known || reply.State != peers.Granted {
		return
	}
	if c.expired {
		m.giveUp(c)
		return
	}
	for _, other := range m.claimants {
		require.False(t, other != c && other.executed && other.landed >= c.window, "claims %s and %s both executed", other.args.Claim, c.args.Claim)
	}
	require.False(t, c.notRun)
	c.executed = true
	if rapid.Bool().Draw(t, "outcome recorded") {
		m.append(Record{Kind: OutcomeRecord, Claim: c.args.Claim, Key: "key", Body: "body", State: peers.Finished})
	}
}

func (m *machine) giveUp(c *claimant) {
	c.ended, c.notRun = true, true
	m.append(Record{Kind: VoidRecord, Claim: c.args.Claim, Key: "key"})
}

// Claimants of one key on several hosts ask, are paused, give up, execute and
// crash in any order; their claims land late or twice, and retention trims what
// expired claimants wrote. Inside the window the request is executed at most once,
// and never after its caller was told "not-run". Steps as in spec/claim.pml.
func TestClaimsExecuteOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{t: t, log: platform.NewLog()}
		t.Repeat(map[string]func(*rapid.T){
			"ask": m.ask,
			"land": func(t *rapid.T) {
				m.land(m.some(t, func(*claimant) bool { return true }))
			},
			"execute": func(t *rapid.T) {
				m.execute(t, m.some(t, func(c *claimant) bool { return c.landed >= 0 && !c.ended }))
			},
			"give up": func(t *rapid.T) {
				m.giveUp(m.some(t, func(c *claimant) bool { return !c.ended }))
			},
			"crash": func(t *rapid.T) {
				m.some(t, func(c *claimant) bool { return !c.ended }).ended = true
			},
			"expire": func(t *rapid.T) {
				m.some(t, func(c *claimant) bool { return !c.expired }).expired = true
			},
			"trim": func(t *rapid.T) {
				for _, c := range m.claimants {
					if !c.expired {
						t.Skip("a claimant is still in time")
					}
				}
				m.earliest = rapid.Int64Range(m.earliest, m.next).Draw(t, "earliest")
				m.log.Trim(testStream, m.earliest)
			},
		})
	})
}

// Claim b lost to a, a was voided, c was made after. One reader began before
// retention removed a, another after: for it b looks like the first. Both must grant
// c and neither b, or the two claimants would both execute; and both hold the key
// against a new claim.
func TestReadersWithDifferentBeginnings(t *testing.T) {
	records := []Record{
		{Kind: ClaimRecord, Claim: "a", Key: "key", Body: "body"},
		{Kind: ClaimRecord, Claim: "b", Key: "key", Body: "body"},
		{Kind: VoidRecord, Claim: "a", Key: "key"},
		{Kind: ClaimRecord, Claim: "c", Key: "key", Body: "body", Seen: 3},
	}
	for name, beginning := range map[string]int64{"before the trim": 0, "after the trim": 1} {
		t.Run(name, func(t *testing.T) {
			f := NewFold()
			f.Trim(beginning)
			for i, r := range records[beginning:] {
				data, err := r.Encode()
				require.NoError(t, err)
				require.NoError(t, f.Add(time.Time{}, journal.Record{Offset: beginning + int64(i), Data: data}))
			}
			want := map[string]peers.ClaimState{"b": peers.Running, "c": peers.Granted, "new": peers.Running}
			for claim, state := range want {
				reply, known := f.State(time.Time{}, peers.ClaimArgs{Claim: claim, Key: "key", Body: "body"})
				require.True(t, known)
				require.Equal(t, state, reply.State, claim)
			}
		})
	}
}

// A reader began after claims that a claim's host had seen. It cannot judge that
// claim, so it holds the key against others and does not let the claim execute.
func TestUnjudgedClaimBlocksKey(t *testing.T) {
	f := NewFold()
	f.Trim(5)
	data, err := Record{Kind: ClaimRecord, Claim: "a", Key: "key", Body: "body", Seen: 4}.Encode()
	require.NoError(t, err)
	require.NoError(t, f.Add(time.Time{}, journal.Record{Offset: 5, Data: data}))
	for _, claim := range []string{"a", "new"} {
		reply, known := f.State(time.Time{}, peers.ClaimArgs{Claim: claim, Key: "key", Body: "body"})
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
		fold := NewFold()
		err := fold.Add(time.Time{}, journal.Record{Data: data})
		require.EqualValues(t, 1, fold.Next(), "a bad record never stops the reader")
		require.Equal(t, err == nil, fold.Keys() == 1)
	})
}
