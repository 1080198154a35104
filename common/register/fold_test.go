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

func class(share float64) *targets.Class {
	return &targets.Class{FirstTokenWithin: targets.Duration(time.Second), Share: share, Urgency: targets.Normal}
}

func encode(t require.TestingT, r Record) json.RawMessage {
	data, err := r.Encode()
	require.NoError(t, err)
	return data
}

func change(t require.TestingT, id string, base int64, patch Patch) json.RawMessage {
	return encode(t, Record{Kind: ChangeRecord, Change: &Change{ID: id, Base: base, Patch: patch}})
}

func classes(name string, c *targets.Class) Patch {
	return Patch{Classes: map[string]*targets.Class{name: c}}
}

func TestDecisions(t *testing.T) {
	type step struct {
		id    string
		base  int64
		patch Patch
		want  Verdict
	}
	tests := map[string][]step{
		"the first of two racing changes wins": {
			{"a", 0, classes("portal", class(0.1)), Accepted},
			{"b", 0, classes("portal", class(0.2)), Conflict},
		},
		"changes of different entries do not race": {
			{"a", 0, classes("portal", class(0.1)), Accepted},
			{"b", 0, classes("digest", class(0.2)), Accepted},
		},
		"a change made from the newest revision follows": {
			{"a", 0, classes("portal", class(0.1)), Accepted},
			{"b", 1, classes("portal", class(0.2)), Accepted},
		},
		"shares that together exceed the whole are invalid": {
			{"a", 0, classes("portal", class(0.7)), Accepted},
			{"b", 1, classes("digest", class(0.7)), Invalid},
		},
		"a change older than a deletion does not bring the entry back": {
			{"a", 0, classes("portal", class(0.1)), Accepted},
			{"b", 1, classes("portal", nil), Accepted},
			{"c", 1, classes("portal", class(0.2)), Conflict},
		},
		"a record read twice counts once": {
			{"a", 0, classes("portal", class(0.1)), Accepted},
			{"b", 1, classes("portal", class(0.2)), Accepted},
			{"a", 0, classes("portal", class(0.1)), Accepted},
		},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewFold()
			distinct := map[string]bool{}
			for i, s := range steps {
				distinct[s.id] = true
				require.NoError(t, f.Add(journal.Record{Offset: int64(i), Data: change(t, s.id, s.base, s.patch)}))
				d, ok := f.State().Decision(s.id)
				require.True(t, ok)
				require.Equal(t, s.want, d.Verdict, "%s: %s", s.id, d.Reason)
			}
			require.Len(t, f.State().Decisions, len(distinct))
		})
	}
}

// A reader has missed records that retention trimmed. It folds nothing on top of
// the gap, keeps what it had in force, and goes on from the next checkpoint.
func TestGapWaitsForCheckpoint(t *testing.T) {
	full := NewFold()
	var records []journal.Record
	add := func(data json.RawMessage) {
		r := journal.Record{Offset: int64(len(records)), Data: data}
		records = append(records, r)
		require.NoError(t, full.Add(r))
	}
	add(change(t, "a", 0, classes("portal", class(0.1))))
	late := NewFold()
	require.NoError(t, late.Add(records[0]))
	add(change(t, "b", 1, classes("portal", class(0.2))))
	add(change(t, "c", 2, classes("portal", class(0.3))))
	cp, whole := full.Checkpoint()
	require.True(t, whole)
	add(change(t, "d", 3, classes("portal", class(0.4))))
	add(encode(t, Record{Kind: CheckpointRecord, Checkpoint: &cp}))

	late.Trimmed(3)
	require.NoError(t, late.Add(records[3]))
	require.False(t, late.Whole())
	require.EqualValues(t, 1, late.State().Revision)
	require.NoError(t, late.Add(records[4]))
	require.True(t, late.Whole())
	require.Equal(t, full.State(), late.State())
}

// A faulty peer offers a state that claims to be further and holds an older
// revision. It is refused: what is in force never reverts.
func TestInstallNeverReverts(t *testing.T) {
	f := NewFold()
	require.NoError(t, f.Add(journal.Record{Offset: 0, Data: change(t, "a", 0, classes("portal", class(0.1)))}))
	require.False(t, f.Install(Checkpoint{Through: 10, State: NewState()}))
	require.EqualValues(t, 1, f.State().Revision)
}

// Readers read the same stream in pieces, restart, lose their place to retention
// and take states from each other. The revision in force on each never falls, and
// readers at the same place hold the same state. Steps as in spec/config.pml.
func TestReadersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []journal.Record
		earliest := int64(0)
		reference := NewFold()
		readers := []*Fold{NewFold(), NewFold()}
		appendRecord := func(data json.RawMessage) {
			r := journal.Record{Offset: int64(len(records)), Data: data}
			records = append(records, r)
			require.NoError(t, reference.Add(r))
		}
		read := func(f *Fold) {
			if f.Next() < earliest {
				f.Trimmed(earliest)
			}
			if f.Next() < int64(len(records)) {
				require.NoError(t, f.Add(records[f.Next()]))
			}
		}
		n := 0
		t.Repeat(map[string]func(*rapid.T){
			"operator": func(t *rapid.T) {
				n++
				base := rapid.Int64Range(0, reference.State().Revision).Draw(t, "base")
				entry := rapid.SampledFrom([]string{"portal", "digest"}).Draw(t, "entry")
				appendRecord(change(t, fmt.Sprint(n), base, classes(entry, class(rapid.Float64Range(0, 0.7).Draw(t, "share")))))
			},
			"append again": func(t *rapid.T) {
				if len(records) > 0 {
					appendRecord(records[rapid.IntRange(0, len(records)-1).Draw(t, "which")].Data)
				}
			},
			"checkpoint": func(t *rapid.T) {
				f := rapid.SampledFrom(readers).Draw(t, "reader")
				if cp, whole := f.Checkpoint(); whole {
					appendRecord(encode(t, Record{Kind: CheckpointRecord, Checkpoint: &cp}))
				}
			},
			"trim": func(t *rapid.T) {
				earliest = rapid.Int64Range(earliest, int64(len(records))).Draw(t, "earliest")
			},
			"read": func(t *rapid.T) {
				f := rapid.SampledFrom(readers).Draw(t, "reader")
				was := f.State().Revision
				read(f)
				require.GreaterOrEqual(t, f.State().Revision, was)
			},
			"install": func(t *rapid.T) {
				from, to := readers[0], readers[1]
				if rapid.Bool().Draw(t, "other way") {
					from, to = to, from
				}
				was := to.State().Revision
				if cp, whole := from.Checkpoint(); whole {
					to.Install(cp)
				}
				require.GreaterOrEqual(t, to.State().Revision, was)
			},
			"restart": func(t *rapid.T) {
				readers[rapid.IntRange(0, 1).Draw(t, "reader")] = NewFold()
			},
			"": func(t *rapid.T) {
				for _, f := range readers {
					if f.Whole() && f.Next() == reference.Next() {
						require.Equal(t, reference.State(), f.State())
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
		fold := NewFold()
		before := fold.State()
		err := fold.Add(journal.Record{Data: data})
		require.EqualValues(t, 1, fold.Next(), "a bad record never stops the reader")
		if err != nil {
			require.Equal(t, before, fold.State())
		}
	})
}

// BenchmarkConfiguration reports the size of a checkpoint and the cost of taking
// a change in, against the number of workspaces.
func BenchmarkConfiguration(b *testing.B) {
	for _, workspaces := range []int{10, 155, 620} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			f := NewFold()
			patch := Patch{Classes: map[string]*targets.Class{}, Workspaces: map[string]*targets.Workspace{}, Models: map[string]*targets.Model{}}
			for i := range 8 {
				patch.Classes[fmt.Sprintf("class-%d", i)] = class(0.1)
			}
			for i := range workspaces {
				patch.Workspaces[fmt.Sprintf("workspace-%03d", i)] = &targets.Workspace{TokenSHA256: targets.HashToken(fmt.Sprint(i)), Classes: []string{"class-0", "class-1", "class-2"}}
			}
			for i := range 23 {
				patch.Models[fmt.Sprintf("model-%02d", i)] = &targets.Model{Kind: targets.Engine}
			}
			require.NoError(b, f.Add(journal.Record{Offset: 0, Data: change(b, "first", 0, patch)}))
			for i := range keptVerdicts {
				data := change(b, fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i), int64(i)+1, classes("class-0", class(0.1)))
				require.NoError(b, f.Add(journal.Record{Offset: int64(i) + 1, Data: data}))
			}
			one := change(b, "0123456789abcdef-0123456789abcdef-0123", f.State().Revision, classes("class-0", class(0.2)))
			cp, _ := f.Checkpoint()
			checkpoint := encode(b, Record{Kind: CheckpointRecord, Checkpoint: &cp})
			rec, err := DecodeRecord(one)
			require.NoError(b, err)
			for b.Loop() {
				f.State().Apply(1000, *rec.Change)
			}
			b.ReportMetric(float64(len(checkpoint)), "checkpoint-B")
			b.ReportMetric(float64(len(one)), "change-B")
		})
	}
}

// BenchmarkReplay is the time to take a checkpoint and the tail after it.
func BenchmarkReplay(b *testing.B) {
	for _, changes := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			var records []journal.Record
			for i := range changes {
				records = append(records, journal.Record{Offset: int64(i), Data: change(b, fmt.Sprint(i), int64(i), classes("portal", class(0.1)))})
			}
			for b.Loop() {
				f := NewFold()
				for _, r := range records {
					if err := f.Add(r); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
