package quarantine

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// quarantinedPart returns a registry in which a part is quarantined, and the part's fingerprint. Requests
// with it were at several upstreams at the same time.
func quarantinedPart() (*Registry, Fingerprint) {
	r := NewRegistry()
	subjects := PartSubjects("mailroom", []string{"5c"})[:1]
	for n := range 5 {
		r.RecordCrash(at(0.5*float64(n)), subjects, CrashRecord{Start: uint32(n), Ran: 2 * time.Second})
	}
	return r, subjects[0].Fingerprint
}

// Guards against a quarantined part that is forgotten, or taken for that of another workspace, when all hosts
// restart.
func TestNoticeOfPartRoundTrip(t *testing.T) {
	r, f := quarantinedPart()
	records := r.AllQuarantined(at(10))
	require.Len(t, records, 1)
	read, err := DecodeNotice(at(60), f.String(), encode(t, records[0].Notice(at(10))))
	require.NoError(t, err)
	later := NewRegistry()
	later.Merge(at(60), []Record{read})
	match, refused := later.Find(at(61), PartSubjects("mailroom", []string{"5c"}))
	require.True(t, refused)
	require.Equal(t, Subject{Fingerprint: f, Kind: WorkspacePart, Part: "5c", Workspace: "mailroom"}, match.Subject)
	require.Equal(t, 5, match.Crashes)
	_, refused = later.Find(at(61), PartSubjects("portal", []string{"5c"}))
	require.False(t, refused)
}

// Guards against a host of an older build that finds too few crashes in the notice of a part and removes it,
// which all others take for a release.
func TestOlderBuildsKeepNoticesOfParts(t *testing.T) {
	r, f := quarantinedPart()
	var older struct {
		Crashes []CrashNotice `json:"crashes"`
	}
	require.NoError(t, json.Unmarshal(encode(t, r.AllQuarantined(at(10))[0].Notice(at(10))), &older))
	require.Len(t, older.Crashes, crashThreshold)
	read, err := DecodeNotice(at(60), f.String(), encode(t, Notice{Crashes: older.Crashes}))
	require.NoError(t, err)
	require.Equal(t, Kind(""), read.Kind, "as older builds read it")
	host := NewRegistry()
	host.Merge(at(60), []Record{read})
	require.True(t, host.IsCause(at(60), f))
}

// Guards against a notice that a host whose clock is behind the writer's takes for crashes at one moment,
// and removes.
func TestNoticeFromTheFuture(t *testing.T) {
	r, f := quarantinedPart()
	read, err := DecodeNotice(at(-2400), f.String(), encode(t, r.AllQuarantined(at(10))[0].Notice(at(10))))
	require.NoError(t, err)
	host := NewRegistry()
	host.Merge(at(-2400), []Record{read})
	require.True(t, host.IsCause(at(-2400), f))
}
