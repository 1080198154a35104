package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/quarantine"
)

// A write may be answered after a later read that shows that the notice was removed, or that the
// store was restored from an older backup.
func TestWriteAnsweredAfterLaterRead(t *testing.T) {
	storedAt := func(end traffic.LogPosition) map[string]traffic.StoredRecord {
		return map[string]traffic.StoredRecord{"07": {Value: []byte("notice"), End: end}}
	}
	for name, test := range map[string]struct {
		notices map[string]traffic.StoredRecord
		whole   bool
		until   traffic.LogPosition
		removed bool
		known   bool
	}{
		"no notices read":                     {nil, false, traffic.LogPosition{Era: 1, Offset: 4}, false, true},
		"notice read":                         {storedAt(traffic.LogPosition{Era: 1, Offset: 5}), true, traffic.LogPosition{Era: 1, Offset: 9}, false, true},
		"removal read":                        {map[string]traffic.StoredRecord{"07": {}}, false, traffic.LogPosition{Era: 1, Offset: 9}, true, false},
		"complete read without the notice":    {nil, true, traffic.LogPosition{Era: 1, Offset: 9}, true, false},
		"complete read before the write":      {nil, true, traffic.LogPosition{Era: 1, Offset: 4}, false, true},
		"complete read from a restored store": {nil, true, traffic.LogPosition{Era: 2, Offset: 9}, false, false},
		"notice present in a restored store":  {storedAt(traffic.LogPosition{Era: 2, Offset: 3}), true, traffic.LogPosition{Era: 2, Offset: 3}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			known := knownNotices{positions: map[string]traffic.LogPosition{}}
			known.recordRead(test.notices, test.whole, test.until)
			require.Equal(t, test.removed, known.recordPut("07", traffic.LogPosition{Era: 1, Offset: 5}))
			require.Equal(t, test.known, known.contains("07"))
		})
	}
}

// A notice written while all notices are read is missing from the result, which must not count as a
// removal.
func TestReadOlderThanWriteKeepsNotice(t *testing.T) {
	known := knownNotices{positions: map[string]traffic.LogPosition{}}
	require.False(t, known.recordPut("07", traffic.LogPosition{Offset: 5}))
	removed, _ := known.recordRead(nil, true, traffic.LogPosition{Offset: 4})
	require.Empty(t, removed)
	require.True(t, known.contains("07"))
	removed, _ = known.recordRead(nil, true, traffic.LogPosition{Offset: 5})
	require.Equal(t, []string{"07"}, removed)
}

// Guards against a request that stays quarantined because a host that did not know of the
// operator's removal has written the notice again before the removal was read.
func TestRemovalOverwrittenByAnotherHost(t *testing.T) {
	known := knownNotices{positions: map[string]traffic.LogPosition{}}
	require.False(t, known.recordPut("07", traffic.LogPosition{Offset: 5}))
	notices := map[string]traffic.StoredRecord{"07": {Value: []byte("notice"), End: traffic.LogPosition{Offset: 7}}}
	removed, rewritten := known.recordRead(notices, true, traffic.LogPosition{Offset: 7})
	require.Equal(t, []string{"07"}, removed)
	require.Equal(t, []string{"07"}, rewritten)
	require.False(t, known.contains("07"))
}

// Guards against a notice that stays in the store, and quarantines the request at hosts that start
// later, because a host wrote it before it heard of the release.
func TestNoticeOfReleasedRequestIsRemoved(t *testing.T) {
	now := time.Now()
	store := &quarantineStoreView{storeView: &storeView{countingStore: &countingStore{}}}
	s := &Source{options: Options{QuarantineStore: store, Quarantine: quarantine.NewRegistry()}}
	var crashes []quarantine.CrashRecord
	for n := range uint32(3) {
		crashes = append(crashes, quarantine.CrashRecord{Start: n, Age: time.Duration(3-n) * time.Second})
	}
	record := quarantine.Record{Request: crashingRequest, Crashes: crashes}
	notice, err := json.Marshal(record.Notice(now))
	require.NoError(t, err)
	_, err = store.Put(t.Context(), crashingRequest.String(), notice)
	require.NoError(t, err)
	stored, _, _ := store.next()
	s.mergeNotices(t.Context(), stored)
	require.Len(t, s.options.Quarantine.AllQuarantined(now), 1, "an unknown notice applies")
	s.options.Quarantine.Release(now, crashingRequest)
	s.mergeNotices(t.Context(), stored)
	removal, _, _ := store.next()
	require.Nil(t, removal[crashingRequest.String()].Value)
	require.Contains(t, removal, crashingRequest.String())
}

// Guards against a host that overwrites an operator's removal: it has read no notices yet, or not
// the latest ones.
func TestNoticeIsWrittenOnlyAfterAllWereRead(t *testing.T) {
	store := &quarantineStoreView{storeView: &storeView{countingStore: &countingStore{}}}
	s := &Source{options: Options{QuarantineStore: store}, knownNotices: knownNotices{positions: map[string]traffic.LogPosition{}}}
	require.False(t, s.putNotice(t.Context(), crashingRequest.String(), []byte("notice")), "nothing was read")
	s.knownNotices.recordRead(nil, true, traffic.LogPosition{Offset: 3})
	require.False(t, s.putNotice(t.Context(), crashingRequest.String(), []byte("notice")), "the log ends elsewhere")
	s.knownNotices.recordRead(nil, true, traffic.LogPosition{})
	require.True(t, s.putNotice(t.Context(), crashingRequest.String(), []byte("notice")))
	require.True(t, s.putNotice(t.Context(), "07", []byte("notice")), "the host's own write is known")
}

// An operator removes a notice before the host that wrote it has received the answer. The request
// must not stay quarantined.
func TestRequestReleasedBeforeWriteIsAnswered(t *testing.T) {
	s := newPair(t).follower
	now := time.Now()
	var crashes []quarantine.CrashRecord
	for n := range uint32(3) {
		crashes = append(crashes, quarantine.CrashRecord{Start: n, Age: time.Duration(3-n) * time.Second})
	}
	s.options.Quarantine.Merge(now, []quarantine.Record{{Request: crashingRequest, Crashes: crashes}})
	require.Len(t, s.options.Quarantine.AllQuarantined(now), 1)
	s.knownNotices.recordRead(nil, true, traffic.LogPosition{Offset: 9})
	require.True(t, s.putNotice(t.Context(), crashingRequest.String(), []byte("notice")))
	require.Empty(t, s.options.Quarantine.AllQuarantined(now))
}
