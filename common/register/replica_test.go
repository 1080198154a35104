package register

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jackdawhinge/common/journal"
	"jackdawhinge/common/targets"
)

func newClass(share float64) *targets.Class {
	return &targets.Class{FirstTokenWithin: targets.Duration(time.Second), Share: share, Urgency: targets.Normal}
}

func encodeRecord(t require.TestingT, r Record) json.RawMessage {
	data, err := r.Encode()
	require.NoError(t, err)
	return data
}

func encodeChange(t require.TestingT, id string, base int64, patch Patch) json.RawMessage {
	return encodeRecord(t, Record{Kind: ChangeRecord, Change: &Change{ID: id, BaseRevision: base, Patch: patch}})
}

func classPatch(name string, c *targets.Class) Patch {
	return Patch{Classes: map[string]*targets.Class{name: c}}
}

func TestStateDecidesOnChanges(t *testing.T) {
	type step struct {
		id    string
		base  int64
		patch Patch
		want  Verdict
	}
	tests := map[string][]step{
		"first of two concurrent changes to an entry is accepted": {
			{"a", 0, classPatch("portal", newClass(0.1)), Accepted},
			{"b", 0, classPatch("portal", newClass(0.2)), Conflict},
		},
		"concurrent changes to different entries are accepted": {
			{"a", 0, classPatch("portal", newClass(0.1)), Accepted},
			{"b", 0, classPatch("digest", newClass(0.2)), Accepted},
		},
		"change based on the newest revision is accepted": {
			{"a", 0, classPatch("portal", newClass(0.1)), Accepted},
			{"b", 1, classPatch("portal", newClass(0.2)), Accepted},
		},
		"shares that add up to more than 1 are invalid": {
			{"a", 0, classPatch("portal", newClass(0.7)), Accepted},
			{"b", 1, classPatch("digest", newClass(0.7)), Invalid},
		},
		"change based on a revision before a deletion conflicts": {
			{"a", 0, classPatch("portal", newClass(0.1)), Accepted},
			{"b", 1, classPatch("portal", nil), Accepted},
			{"c", 1, classPatch("portal", newClass(0.2)), Conflict},
		},
		"change recorded twice is applied once": {
			{"a", 0, classPatch("portal", newClass(0.1)), Accepted},
			{"b", 1, classPatch("portal", newClass(0.2)), Accepted},
			{"a", 0, classPatch("portal", newClass(0.1)), Accepted},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			replica := NewReplica()
			ids := map[string]bool{}
			for i, s := range steps {
				ids[s.id] = true
				require.NoError(t, replica.Apply(journal.Record{Offset: int64(i), Data: encodeChange(t, s.id, s.base, s.patch)}))
				d, ok := replica.State().Decision(s.id)
				require.True(t, ok)
				require.Equal(t, s.want, d.Verdict, "%s: %s", s.id, d.Reason)
			}
			require.Len(t, replica.State().Decisions, len(ids))
		})
	}
}

// Retention removes records that a reader has not read. Applying later records to its old state
// could decide them differently from other hosts, so it keeps that state until the next checkpoint.
func TestReaderWithGapWaitsForCheckpoint(t *testing.T) {
	full := NewReplica()
	var records []journal.Record
	add := func(data json.RawMessage) {
		r := journal.Record{Offset: int64(len(records)), Data: data}
		records = append(records, r)
		require.NoError(t, full.Apply(r))
	}
	add(encodeChange(t, "a", 0, classPatch("portal", newClass(0.1))))
	lagging := NewReplica()
	require.NoError(t, lagging.Apply(records[0]))
	add(encodeChange(t, "b", 1, classPatch("portal", newClass(0.2))))
	add(encodeChange(t, "c", 2, classPatch("portal", newClass(0.3))))
	cp, complete := full.Checkpoint()
	require.True(t, complete)
	add(encodeChange(t, "d", 3, classPatch("portal", newClass(0.4))))
	add(encodeRecord(t, Record{Kind: CheckpointRecord, Checkpoint: &cp}))

	lagging.SkipTo(3)
	require.NoError(t, lagging.Apply(records[3]))
	require.False(t, lagging.IsComplete())
	require.EqualValues(t, 1, lagging.State().Revision)
	require.NoError(t, lagging.Apply(records[4]))
	require.True(t, lagging.IsComplete())
	require.Equal(t, full.State(), lagging.State())
}

// A faulty host sends a checkpoint with a higher offset but an older revision. Installing it would
// revert the configuration in force.
func TestInstallRejectsOlderRevision(t *testing.T) {
	replica := NewReplica()
	require.NoError(t, replica.Apply(journal.Record{Offset: 0, Data: encodeChange(t, "a", 0, classPatch("portal", newClass(0.1)))}))
	require.False(t, replica.Install(Checkpoint{NextOffset: 10, State: NewState()}))
	require.EqualValues(t, 1, replica.State().Revision)
}

// Readers read the same stream step by step, restart, miss records removed by retention and install
// each other's checkpoints. The revision of each must never decrease, and readers at the same
// offset must have the same state. The steps are those of the model in spec/config.pml.
func TestReadersAgreeOnState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []journal.Record
		earliest := int64(0)
		reference := NewReplica()
		readers := []*Replica{NewReplica(), NewReplica()}
		appendRecord := func(data json.RawMessage) {
			r := journal.Record{Offset: int64(len(records)), Data: data}
			records = append(records, r)
			require.NoError(t, reference.Apply(r))
		}
		read := func(replica *Replica) {
			if replica.NextOffset() < earliest {
				replica.SkipTo(earliest)
			}
			if replica.NextOffset() < int64(len(records)) {
				require.NoError(t, replica.Apply(records[replica.NextOffset()]))
			}
		}
		changes := 0
		t.Repeat(map[string]func(*rapid.T){
			"operator": func(t *rapid.T) {
				changes++
				base := rapid.Int64Range(0, reference.State().Revision).Draw(t, "base")
				entry := rapid.SampledFrom([]string{"portal", "digest"}).Draw(t, "entry")
				appendRecord(encodeChange(t, fmt.Sprint(changes), base, classPatch(entry, newClass(rapid.Float64Range(0, 0.7).Draw(t, "share")))))
			},
			"append again": func(t *rapid.T) {
				if len(records) > 0 {
					appendRecord(records[rapid.IntRange(0, len(records)-1).Draw(t, "which")].Data)
				}
			},
			"checkpoint": func(t *rapid.T) {
				replica := rapid.SampledFrom(readers).Draw(t, "reader")
				if cp, complete := replica.Checkpoint(); complete {
					appendRecord(encodeRecord(t, Record{Kind: CheckpointRecord, Checkpoint: &cp}))
				}
			},
			"trim": func(t *rapid.T) {
				earliest = rapid.Int64Range(earliest, int64(len(records))).Draw(t, "earliest")
			},
			"read": func(t *rapid.T) {
				replica := rapid.SampledFrom(readers).Draw(t, "reader")
				before := replica.State().Revision
				read(replica)
				require.GreaterOrEqual(t, replica.State().Revision, before)
			},
			"install": func(t *rapid.T) {
				from, to := readers[0], readers[1]
				if rapid.Bool().Draw(t, "other way") {
					from, to = to, from
				}
				before := to.State().Revision
				if cp, complete := from.Checkpoint(); complete {
					to.Install(cp)
				}
				require.GreaterOrEqual(t, to.State().Revision, before)
			},
			"restart": func(t *rapid.T) {
				readers[rapid.IntRange(0, 1).Draw(t, "reader")] = NewReplica()
			},
			"": func(t *rapid.T) {
				for _, replica := range readers {
					if replica.IsComplete() && replica.NextOffset() == reference.NextOffset() {
						require.Equal(t, reference.State(), replica.State())
					}
				}
			},
		})
	})
}

func FuzzDecodeRecord(f *testing.F) {
	f.Add([]byte(`{"format":1,"kind":"change","change":{"id":"a","base":0,"patch":{}}}`))
	f.Add([]byte(`{"format":2,"kind":"change"}`))
	f.Add([]byte(`{"format":1,"kind":"checkpoint","checkpoint":{"through":1,"state":{}}}`))
	f.Add([]byte(`nonsense`))
	f.Fuzz(func(t *testing.T, data []byte) {
		replica := NewReplica()
		before := replica.State()
		err := replica.Apply(journal.Record{Data: data})
		require.EqualValues(t, 1, replica.NextOffset(), "a bad record never stops the reader")
		if err != nil {
			require.Equal(t, before, replica.State())
		}
	})
}

// BenchmarkConfiguration reports the sizes of a checkpoint and a change and the time to apply a
// change, by the number of workspaces.
func BenchmarkConfiguration(b *testing.B) {
	for _, workspaces := range []int{10, 155, 620} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			replica := NewReplica()
			patch := Patch{Classes: map[string]*targets.Class{}, Workspaces: map[string]*targets.Workspace{}, Models: map[string]*targets.Model{}}
			for i := range 8 {
				patch.Classes[fmt.Sprintf("class-%d", i)] = newClass(0.1)
			}
			for i := range workspaces {
				patch.Workspaces[fmt.Sprintf("workspace-%03d", i)] = &targets.Workspace{TokenSHA256: targets.HashToken(fmt.Sprint(i)), Classes: []string{"class-0", "class-1", "class-2"}}
			}
			for i := range 23 {
				patch.Models[fmt.Sprintf("model-%02d", i)] = &targets.Model{Kind: targets.Engine}
			}
			require.NoError(b, replica.Apply(journal.Record{Offset: 0, Data: encodeChange(b, "first", 0, patch)}))
			for i := range maxDecisions {
				data := encodeChange(b, fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i), int64(i)+1, classPatch("class-0", newClass(0.1)))
				require.NoError(b, replica.Apply(journal.Record{Offset: int64(i) + 1, Data: data}))
			}
			encodedChange := encodeChange(b, "0123456789abcdef-0123456789abcdef-0123", replica.State().Revision, classPatch("class-0", newClass(0.2)))
			cp, _ := replica.Checkpoint()
			encodedCheckpoint := encodeRecord(b, Record{Kind: CheckpointRecord, Checkpoint: &cp})
			rec, err := DecodeRecord(encodedChange)
			require.NoError(b, err)
			for b.Loop() {
				replica.State().Apply(1000, *rec.Change)
			}
			b.ReportMetric(float64(len(encodedCheckpoint)), "checkpoint-B")
			b.ReportMetric(float64(len(encodedChange)), "change-B")
		})
	}
}

// BenchmarkReplay reports the time to apply a stream of changes from its beginning.
func BenchmarkReplay(b *testing.B) {
	for _, changes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			var records []journal.Record
			for i := range changes {
				records = append(records, journal.Record{Offset: int64(i), Data: encodeChange(b, fmt.Sprint(i), int64(i), classPatch("portal", newClass(0.1)))})
			}
			for b.Loop() {
				replica := NewReplica()
				for _, r := range records {
					if err := replica.Apply(r); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
