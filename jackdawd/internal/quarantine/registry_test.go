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

// at returns a moment so many seconds after the start.
func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

const suspicious = Fingerprint(7)

// briefly is for how long an upstream has a request that ends it.
const briefly = 60 * time.Millisecond

func barred(r *Registry, now time.Time, f Fingerprint) bool {
	_, ok := r.Barred(now, f)
	return ok
}

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	m.Run()
}

// Upstreams end with all their requests, of which one is the cause. What speaks against a request must not
// come together by chance, or callers whose requests are sound are refused for an hour.
func TestWhatBarsARequest(t *testing.T) {
	type crashed struct {
		from, till float64
		upstream   uint32
	}
	tests := map[string]struct {
		crashes    []crashed
		answeredAt float64
		bars       bool
	}{
		"three upstreams, one after the other": {crashes: []crashed{{0.9, 1, 1}, {1.1, 1.5, 2}, {1.5, 2, 3}}, bars: true},
		"two":                                  {crashes: []crashed{{0.9, 1, 1}, {1.1, 1.5, 2}}},
		"one, seen by three copies":            {crashes: []crashed{{0.9, 1, 1}, {1.1, 1.5, 1}, {1.5, 2, 1}}},
		"a rack, all at one moment":            {crashes: []crashed{{0.2, 1, 1}, {0.9, 1.02, 2}, {0.3, 1.05, 3}, {0.4, 1.07, 4}}},
		"a rack, and two more":                 {crashes: []crashed{{0.2, 1, 1}, {0.9, 1.02, 2}, {1.1, 1.5, 3}, {1.6, 2, 4}}, bars: true},
		"a rack, requests just sent":           {crashes: []crashed{{0.95, 1, 1}, {0.96, 1.01, 2}, {0.97, 1.02, 3}}},
		"long requests that overlap":           {crashes: []crashed{{0, 1, 1}, {0.8, 1.8, 2}, {1.6, 2.6, 3}}},
		"answered between":                     {crashes: []crashed{{0.9, 1, 1}, {1.1, 1.5, 2}, {1.5, 2, 3}}, answeredAt: 1.7},
		"answered before":                      {crashes: []crashed{{0.9, 1, 1}, {1.1, 1.5, 2}, {1.5, 2, 3}}, answeredAt: 0.5, bars: true},
		"told late and in another order":       {crashes: []crashed{{1.5, 2, 3}, {0.9, 1, 1}, {1.1, 1.5, 2}}, bars: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			now := at(3)
			for _, c := range test.crashes {
				r.Merge(now, []Record{{Request: suspicious, Crashes: []CrashRecord{{Start: c.upstream, Age: now.Sub(at(c.till)), Ran: at(c.till).Sub(at(c.from))}}}})
			}
			if test.answeredAt > 0 {
				r.Merge(now, []Record{{Request: suspicious, Answered: true, AnsweredAge: now.Sub(at(test.answeredAt))}})
			}
			require.Equal(t, test.bars, barred(r, now, suspicious))
			require.False(t, barred(r, now, suspicious+1))
		})
	}
}

// A crash does not count as it was told later than the next one, and seems to overlap with it.
func TestCrashesToldWithDifferentDelaysCount(t *testing.T) {
	for name, delays := range map[string][3]time.Duration{
		"none":            {},
		"first is late":   {2 * time.Millisecond, 0, 0},
		"second is late":  {0, 20 * time.Millisecond, 0},
		"each is earlier": {25 * time.Millisecond, 10 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewRegistry()
			for n, delay := range delays {
				told := CrashRecord{Start: uint32(n), Age: time.Duration(3-n) * briefly, Ran: briefly}
				r.Merge(at(5).Add(delay), []Record{{Request: suspicious, Crashes: []CrashRecord{told}}})
			}
			require.True(t, barred(r, at(6), suspicious))
		})
	}
}

// Callers ask for the same again and again, and upstreams are lost one after the other for another reason. Between
// two losses others answer, which shows that the request is innocent.
func TestAnsweredRequestIsInnocent(t *testing.T) {
	r := NewRegistry()
	for n := range 20 {
		r.Crashed(at(float64(n)), suspicious, uint32(n), briefly)
		r.Answered(at(float64(n)+0.5), suspicious)
	}
	require.False(t, barred(r, at(20), suspicious))
	for n := range 3 {
		r.Crashed(at(float64(21+n)), suspicious, uint32(100+n), briefly)
	}
	require.True(t, barred(r, at(24), suspicious), "an upstream's new software may crash under it")
}

// One host tells that a request was answered, another one later of crashes before that.
func TestCrashesBeforeAnAnswerDoNotCount(t *testing.T) {
	r := NewRegistry()
	r.Crashed(at(1), suspicious, 1, briefly)
	r.Answered(at(5), suspicious)
	for n := range 3 {
		r.Merge(at(6), []Record{{Request: suspicious, Crashes: []CrashRecord{{Start: uint32(10 + n), Age: time.Duration(4-n) * time.Second, Ran: briefly}}}})
	}
	require.False(t, barred(r, at(6), suspicious))
}

func TestBarEnds(t *testing.T) {
	r := NewRegistry()
	for n := range 3 {
		r.Crashed(at(float64(n)), suspicious, uint32(n), briefly)
	}
	require.True(t, barred(r, at(2).Add(barredFor-time.Second), suspicious))
	require.False(t, barred(r, at(2).Add(barredFor+time.Second), suspicious))
	r.Merge(at(2).Add(barredFor+2*time.Second), []Record{{Request: 8, Crashes: []CrashRecord{{Start: 1}}}})
	require.Len(t, r.cases, 1, "what has ended is forgotten")
}

// A third of the upstreams are lost with all their requests. What is remembered stays bounded, and those that
// are barred or nearly so are not forgotten for the victims.
func TestVictimsArePassedOverFirst(t *testing.T) {
	r := NewRegistry()
	for n := range 3 {
		r.Crashed(at(float64(n)), suspicious, uint32(n), briefly)
	}
	r.Crashed(at(4), 8, 1, briefly)
	r.Crashed(at(5), 8, 2, briefly)
	for n := range 3 * mostCases {
		r.Crashed(at(6), Fingerprint(1000+n), 5, briefly)
	}
	require.LessOrEqual(t, len(r.cases), mostCases)
	require.True(t, barred(r, at(7), suspicious))
	r.Crashed(at(8), 8, 3, briefly)
	require.True(t, barred(r, at(8), 8))
}

// Cases are told in parts when there are many; graver ones come at once, and none is left out.
func TestAllCasesAreTold(t *testing.T) {
	r, other := NewRegistry(), NewRegistry()
	for n := range 5 * mostTold {
		r.Crashed(at(1), Fingerprint(1000+n), 5, briefly)
	}
	r.Crashed(at(1.5), suspicious, 1, briefly)
	r.Crashed(at(2), suspicious, 2, briefly)
	records, known := r.Since(at(2), Position{}, 1)
	require.Len(t, records, mostTold+1)
	require.Equal(t, suspicious, records[0].Request)
	for parts := 1; r.News(known, 1); parts++ {
		require.LessOrEqual(t, parts, 6)
		other.Merge(at(2), records)
		records, known = r.Since(at(2), known, 1)
	}
	other.Merge(at(2), records)
	require.Len(t, other.cases, 5*mostTold+1)
	grave, _ := r.Since(at(2), Position{}, 2)
	require.Len(t, grave, 1)
}

// Hosts tell each other what they know in any order, more than once, and each holds a part. At the end all that
// have heard of the same agree on which requests are barred.
func TestHostsAgreeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := []*Registry{NewRegistry(), NewRegistry(), NewRegistry()}
		steps := rapid.IntRange(1, 30).Draw(t, "steps")
		now := start
		for range steps {
			// Of crashes that are not one after the other each host counts the one that it hears of first.
			now = now.Add(briefly + time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause"))*time.Millisecond)
			h := hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			f := Fingerprint(rapid.IntRange(1, 3).Draw(t, "request"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				h.Answered(now, f)
			case 1, 2:
				from := hosts[rapid.IntRange(0, 2).Draw(t, "from")]
				records, _ := from.Since(now, Position{}, 1)
				h.Merge(now, records)
			default:
				h.Crashed(now, f, rapid.Uint32Range(1, 6).Draw(t, "upstream"), briefly)
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
			want := barred(hosts[0], now, f)
			for _, h := range hosts[1:] {
				if barred(h, now, f) != want {
					t.Fatalf("hosts differ on request %s", f)
				}
			}
		}
	})
}

func TestNoticesKeepWhatTheySay(t *testing.T) {
	r := NewRegistry()
	for n := range 3 {
		r.Crashed(at(float64(n)), suspicious, uint32(n+1), briefly)
	}
	records := r.AllBarred(at(10))
	require.Len(t, records, 1)
	data := encode(t, records[0].Notice(at(10)))
	read, err := DecodeNotice(at(60), suspicious.String(), data)
	require.NoError(t, err)
	later := NewRegistry()
	later.Merge(at(60), []Record{read})
	require.True(t, barred(later, at(60), suspicious))
	require.False(t, barred(later, at(2).Add(barredFor+time.Second), suspicious))
	old, err := DecodeNotice(at(2).Add(barredFor+time.Second), suspicious.String(), data)
	require.NoError(t, err)
	require.True(t, old.Expired())
}

func encode(t *testing.T, n Notice) []byte {
	data, err := json.Marshal(n)
	require.NoError(t, err)
	return data
}

func TestNoticesThatAreNoneAreErrors(t *testing.T) {
	tests := map[string]struct{ request, notice, want string }{
		"request": {"no number", `{"crashes":[]}`, `notice of request "no number": fingerprint is not a number in hexadecimal`},
		"json":    {"07", `{`, `decode notice of request "07"`},
		"few":     {"07", `{"crashes":[{"upstream-start":1,"at":"2026-01-01T00:00:00Z"}]}`, "crashes are 1 and not 3"},
		"time":    {"07", `{"crashes":[{"upstream-start":1,"at":"noon"}]}`, `decode notice of request "07"`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := DecodeNotice(start, test.request, []byte(test.notice))
			require.ErrorContains(t, err, test.want)
		})
	}
}

func BenchmarkBarred(b *testing.B) {
	r := NewRegistry()
	for n := range mostCases {
		r.Crashed(at(1), Fingerprint(n), 5, briefly)
	}
	for b.Loop() {
		r.Barred(at(2), suspicious)
	}
}
