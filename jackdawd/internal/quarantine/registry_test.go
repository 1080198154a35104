package quarantine

import (
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time the given number of seconds after start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const suspectRequest = Fingerprint(7)

// runTime is how long an upstream runs a request before it crashes.
const runTime = 60 * time.Millisecond

func isQuarantined(r *Registry, now time.Time, f Fingerprint) bool {
	_, ok := r.Quarantined(now, f)
	return ok
}

// copiesOf returns the subjects of copies of a request.
func copiesOf(f Fingerprint) []Subject { return []Subject{{Fingerprint: f, Kind: WholeRequest}} }

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	m.Run()
}

// A crashing upstream cuts off all its requests, of which only one is the cause. Crashes that
// coincide by chance must not quarantine a request, or it is refused for an hour without fault of
// its own.
func TestQuarantineCondition(t *testing.T) {
	type timedCrash struct {
		sentAt, crashedAt float64
		upstream          uint32
	}
	tests := map[string]struct {
		crashes     []timedCrash
		answeredAt  float64
		quarantined bool
	}{
		"three upstreams, one after the other":   {crashes: []timedCrash{{0.9, 1, 1}, {1.1, 1.5, 2}, {1.5, 2, 3}}, quarantined: true},
		"two upstreams":                          {crashes: []timedCrash{{0.9, 1, 1}, {1.1, 1.5, 2}}},
		"one upstream, reported by three copies": {crashes: []timedCrash{{0.9, 1, 1}, {1.1, 1.5, 1}, {1.5, 2, 1}}},
		"a rack, all at the same moment":         {crashes: []timedCrash{{0.2, 1, 1}, {0.9, 1.02, 2}, {0.3, 1.05, 3}, {0.4, 1.07, 4}}},
		"a rack and two more":                    {crashes: []timedCrash{{0.2, 1, 1}, {0.9, 1.02, 2}, {1.1, 1.5, 3}, {1.6, 2, 4}}, quarantined: true},
		"a rack, requests just sent":             {crashes: []timedCrash{{0.95, 1, 1}, {0.96, 1.01, 2}, {0.97, 1.02, 3}}},
		"long requests that overlap":             {crashes: []timedCrash{{0, 1, 1}, {0.8, 1.8, 2}, {1.6, 2.6, 3}}},
		"response between crashes":               {crashes: []timedCrash{{0.9, 1, 1}, {1.1, 1.5, 2}, {1.5, 2, 3}}, answeredAt: 1.7},
		"response before the crashes":            {crashes: []timedCrash{{0.9, 1, 1}, {1.1, 1.5, 2}, {1.5, 2, 3}}, answeredAt: 0.5, quarantined: true},
		"reported late and out of order":         {crashes: []timedCrash{{1.5, 2, 3}, {0.9, 1, 1}, {1.1, 1.5, 2}}, quarantined: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			now := at(3)
			for _, c := range test.crashes {
				r.Merge(now, []Record{{Request: suspectRequest, Crashes: []CrashRecord{{Start: c.upstream, Age: now.Sub(at(c.crashedAt)), Ran: at(c.crashedAt).Sub(at(c.sentAt))}}}})
			}
			if test.answeredAt > 0 {
				r.Merge(now, []Record{{Request: suspectRequest, Answered: true, AnsweredAge: now.Sub(at(test.answeredAt))}})
			}
			require.Equal(t, test.quarantined, isQuarantined(r, now, suspectRequest))
			require.False(t, isQuarantined(r, now, suspectRequest+1))
		})
	}
}

// Reports of crashes take different times, so that a crash seems later than it was and to overlap
// with the next one. It must still count.
func TestCrashesReportedWithDifferentDelaysCount(t *testing.T) {
	for name, delays := range map[string][3]time.Duration{
		"none":              {},
		"first is late":     {2 * time.Millisecond, 0, 0},
		"second is late":    {0, 20 * time.Millisecond, 0},
		"each is less late": {25 * time.Millisecond, 10 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			for n, delay := range delays {
				reported := CrashRecord{Start: uint32(n), Age: time.Duration(3-n) * runTime, Ran: runTime}
				r.Merge(at(5).Add(delay), []Record{{Request: suspectRequest, Crashes: []CrashRecord{reported}}})
			}
			require.True(t, isQuarantined(r, at(6), suspectRequest))
		})
	}
}

// Callers repeat a request while upstreams crash one after the other for another reason. A response
// between two crashes shows that the request is not the cause.
func TestAnsweredRequestIsNotQuarantined(t *testing.T) {
	r := NewRegistry()
	for n := range 20 {
		r.RecordCrash(at(float64(n)), copiesOf(suspectRequest), CrashRecord{Start: uint32(n), Ran: runTime})
		r.RecordResponse(at(float64(n)+0.5), copiesOf(suspectRequest))
	}
	require.False(t, isQuarantined(r, at(20), suspectRequest))
	for n := range 3 {
		r.RecordCrash(at(float64(21+n)), copiesOf(suspectRequest), CrashRecord{Start: uint32(100 + n), Ran: runTime})
	}
	require.True(t, isQuarantined(r, at(24), suspectRequest), "a new software version of upstreams may crash on it")
}

// One host reports a response, and another host then reports crashes from before it.
func TestCrashesBeforeResponseDoNotCount(t *testing.T) {
	r := NewRegistry()
	r.RecordCrash(at(1), copiesOf(suspectRequest), CrashRecord{Start: 1, Ran: runTime})
	r.RecordResponse(at(5), copiesOf(suspectRequest))
	for n := range 3 {
		r.Merge(at(6), []Record{{Request: suspectRequest, Crashes: []CrashRecord{{Start: uint32(10 + n), Age: time.Duration(4-n) * time.Second, Ran: runTime}}}})
	}
	require.False(t, isQuarantined(r, at(6), suspectRequest))
}

func TestQuarantineEnds(t *testing.T) {
	r := NewRegistry()
	for n := range 3 {
		r.RecordCrash(at(float64(n)), copiesOf(suspectRequest), CrashRecord{Start: uint32(n), Ran: runTime})
	}
	require.True(t, isQuarantined(r, at(2).Add(quarantineTTL-time.Second), suspectRequest))
	require.False(t, isQuarantined(r, at(2).Add(quarantineTTL+time.Second), suspectRequest))
	r.Merge(at(2).Add(quarantineTTL+2*time.Second), []Record{{Request: 8, Crashes: []CrashRecord{{Start: 1}}}})
	require.Len(t, r.suspects, 1, "expired suspects are deleted")
}

// Crashes cut off very many requests. The number of suspects stays bounded, and those with one
// crash are evicted before those that are quarantined or nearly so.
func TestSingleCrashesAreEvictedFirst(t *testing.T) {
	r := NewRegistry()
	for n := range 3 {
		r.RecordCrash(at(float64(n)), copiesOf(suspectRequest), CrashRecord{Start: uint32(n), Ran: runTime})
	}
	r.RecordCrash(at(4), copiesOf(8), CrashRecord{Start: 1, Ran: runTime})
	r.RecordCrash(at(5), copiesOf(8), CrashRecord{Start: 2, Ran: runTime})
	for n := range 3 * maxSuspects {
		r.RecordCrash(at(6), copiesOf(Fingerprint(1000+n)), CrashRecord{Start: 5, Ran: runTime})
	}
	require.LessOrEqual(t, len(r.suspects), maxSuspects)
	require.True(t, isQuarantined(r, at(7), suspectRequest))
	r.RecordCrash(at(8), copiesOf(8), CrashRecord{Start: 3, Ran: runTime})
	require.True(t, isQuarantined(r, at(8), 8))
}

// Many suspects are sent in several messages; those with several crashes come first, and none is
// left out.
func TestAllSuspectsAreSent(t *testing.T) {
	r, other := NewRegistry(), NewRegistry()
	for n := range 5 * maxSingleCrashRecords {
		r.RecordCrash(at(1), copiesOf(Fingerprint(1000+n)), CrashRecord{Start: 5, Ran: runTime})
	}
	r.RecordCrash(at(1.5), copiesOf(suspectRequest), CrashRecord{Start: 1, Ran: runTime})
	r.RecordCrash(at(2), copiesOf(suspectRequest), CrashRecord{Start: 2, Ran: runTime})
	records, position := r.Since(at(2), Position{}, 1)
	require.Len(t, records, maxSingleCrashRecords+1)
	require.Equal(t, suspectRequest, records[0].Request)
	for messages := 1; r.HasChanges(position, 1); messages++ {
		require.LessOrEqual(t, messages, 6)
		other.Merge(at(2), records)
		records, position = r.Since(at(2), position, 1)
	}
	other.Merge(at(2), records)
	require.Len(t, other.suspects, 5*maxSingleCrashRecords+1)
	multiple, _ := r.Since(at(2), Position{}, 2)
	require.Len(t, multiple, 1)
}

// Hosts exchange records in any order and more than once. Hosts that have received the same records
// must agree on which requests are quarantined.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	for name, subjects := range map[string]func(f Fingerprint) []Subject{
		"whole requests": copiesOf,
		"parts":          func(f Fingerprint) []Subject { return []Subject{{Fingerprint: f, Kind: AnyPart, Depth: int(f)}} },
	} {
		t.Run(name, func(t *testing.T) { checkMergeOrder(t, subjects) })
	}
}

// checkMergeOrder checks that hosts agree on random subjects whatever they exchange in which order.
func checkMergeOrder(t *testing.T, subjects func(f Fingerprint) []Subject) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Registry{NewRegistry(), NewRegistry(), NewRegistry()}
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		now := start
		for range steps {
			// Overlapping crashes are avoided: of these each host counts the one that it receives
			// first.
			now = now.Add(runTime + time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*time.Millisecond)
			h := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			f := Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				h.RecordResponse(now, subjects(f))
			case 1, 2:
				from := hosts[rapid.IntRange(0, 2).Draw(t, "from")]
				records, _ := from.Since(now, Position{}, 1)
				h.Merge(now, records)
			default:
				h.RecordCrash(now, subjects(f), CrashRecord{Start: rapid.Uint32Range(1, 6).Draw(t, "upstream"), Ran: runTime})
			}
		}
		for range 2 {
			for _, a := range hosts {
				for _, b := range hosts {
					records, _ := a.Since(now, Position{}, 1)
					b.Merge(now, records)
				}
			}
		}
		for f := Fingerprint(1); f <= 3; f++ {
			want := isQuarantined(hosts[0], now, f)
			for _, h := range hosts[1:] {
				if isQuarantined(h, now, f) != want {
					t.Fatalf("hosts differ on request %s", f)
				}
			}
		}
	})
}

func TestNoticeRoundTrip(t *testing.T) {
	r := NewRegistry()
	for n := range 3 {
		r.RecordCrash(at(float64(n)), copiesOf(suspectRequest), CrashRecord{Start: uint32(n + 1), Ran: runTime})
	}
	records := r.AllQuarantined(at(10))
	require.Len(t, records, 1)
	data := encode(t, records[0].Notice(at(10)))
	read, err := DecodeNotice(at(60), suspectRequest.String(), data)
	require.NoError(t, err)
	later := NewRegistry()
	later.Merge(at(60), []Record{read})
	require.True(t, isQuarantined(later, at(60), suspectRequest))
	require.False(t, isQuarantined(later, at(2).Add(quarantineTTL+time.Second), suspectRequest))
	old, err := DecodeNotice(at(2).Add(quarantineTTL+time.Second), suspectRequest.String(), data)
	require.NoError(t, err)
	require.True(t, old.Expired())
}

func encode(t *testing.T, n Notice) []byte {
	data, err := json.Marshal(n)
	require.NoError(t, err)
	return data
}

func TestDecodeNoticeErrors(t *testing.T) {
	tests := map[string]struct{ request, notice, want string }{
		"malformed fingerprint": {"no number", `{"crashes":[]}`, `notice of request "no number": fingerprint is not a number in hexadecimal`},
		"malformed JSON":        {"07", `{`, `decode notice of request "07"`},
		"too few crashes":       {"07", `{"crashes":[{"upstream-start":1,"at":"2026-01-01T00:00:00Z"}]}`, "crashes are 1 and not 3"},
		"malformed time":        {"07", `{"crashes":[{"upstream-start":1,"at":"noon"}]}`, `decode notice of request "07"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeNotice(start, test.request, []byte(test.notice))
			require.ErrorContains(t, err, test.want)
		})
	}
}

// fullRegistry returns a registry with as many suspects as it holds.
func fullRegistry() *Registry {
	r := NewRegistry()
	for n := range maxSuspects {
		r.RecordCrash(at(1), copiesOf(Fingerprint(n)), CrashRecord{Start: 5, Ran: runTime})
	}
	return r
}

// tenParts are the parts of a long prompt.
var tenParts = []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}

// BenchmarkFind measures what a request with ten parts pays while there are suspects.
func BenchmarkFind(b *testing.B) {
	r := fullRegistry()
	for b.Loop() {
		r.Find(at(2), append(copiesOf(suspectRequest), PartSubjects("mailroom", tenParts)...))
	}
}

// BenchmarkRecordResponse measures what the end of such a request costs.
func BenchmarkRecordResponse(b *testing.B) {
	r := fullRegistry()
	subjects := append(copiesOf(1<<60), PartSubjects("mailroom", tenParts)...)
	for b.Loop() {
		r.RecordResponse(at(2), subjects)
	}
}

// BenchmarkRecordCrash measures what a request at a crashed upstream costs.
func BenchmarkRecordCrash(b *testing.B) {
	r := fullRegistry()
	subjects := append(copiesOf(1<<60), PartSubjects("mailroom", tenParts)...)
	n := uint32(0)
	for b.Loop() {
		n++
		r.RecordCrash(at(2).Add(time.Duration(n)*time.Millisecond), subjects, CrashRecord{Start: n, Ran: runTime})
	}
}
