package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// Guards against requests that go on collecting at a silent upstream, and against sound ones that are left out.
func TestSilentUpstreamsAreLeftOut(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	var upstreams []*traffic.Upstream
	for i := range 8 {
		id := fmt.Sprint("service-", i)
		upstreams = append(upstreams, &traffic.Upstream{ID: id, Hash: traffic.HashID(id)})
	}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	reported := func(s *SilentUpstreams, upstream int, hosts ...uint32) {
		for _, host := range hosts {
			s.MergeReports(start, []SilenceReport{{Upstream: upstreams[upstream].ShortHash(), Host: host, Age: 100 * time.Millisecond}})
		}
	}
	overdue := func(s *SilentUpstreams, u int) { s.RecordOverdue(start, upstreams[u], at(-300*time.Millisecond)) }
	for name, test := range map[string]struct {
		prepare func(s *SilentUpstreams)
		after   time.Duration
		want    int
	}{
		"nothing known":      {func(*SilentUpstreams) {}, 0, 8},
		"own request":        {func(s *SilentUpstreams) { overdue(s, 0) }, 0, 7},
		"one other host":     {func(s *SilentUpstreams) { reported(s, 0, 1) }, 0, 8},
		"the same one twice": {func(s *SilentUpstreams) { reported(s, 0, 1, 1) }, 0, 8},
		"two other hosts":    {func(s *SilentUpstreams) { reported(s, 0, 1, 2) }, 0, 7},
		"expired":            {func(s *SilentUpstreams) { reported(s, 0, 1, 2); overdue(s, 1) }, time.Second, 8},
		"responds elsewhere": {func(s *SilentUpstreams) { s.RecordResponse(at(-time.Millisecond), upstreams[0]); overdue(s, 0) }, 0, 8},
		"responds later":     {func(s *SilentUpstreams) { reported(s, 0, 1, 2); s.RecordResponse(at(time.Millisecond), upstreams[0]) }, 2 * time.Millisecond, 8},
		"two of eight":       {func(s *SilentUpstreams) { overdue(s, 0); overdue(s, 1) }, 0, 6},
		"more than a third":  {func(s *SilentUpstreams) { overdue(s, 0); overdue(s, 1); overdue(s, 2) }, 0, 8},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSilentUpstreams("entry-0")
			test.prepare(s)
			require.Len(t, s.Responding(at(test.after), upstreams), test.want)
		})
	}
}

// Guards against reports that hosts pass on to each other without end.
func TestKnownSilenceReportsAreNotPassedOn(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	parent, child := NewSilentUpstreams("entry-0"), NewSilentUpstreams("entry-1")
	child.RecordOverdue(now, &traffic.Upstream{Hash: 7}, now.Add(-time.Second))
	for range 20 {
		now = now.Add(5 * time.Millisecond)
		parent.MergeReports(now, child.Reports(now))
		child.MergeFound(now, parent.Reports(now))
	}
	for _, s := range []*SilentUpstreams{parent, child} {
		version, _, _ := s.Changed()
		require.EqualValues(t, 1, version)
	}
}

// Guards against messages that grow with the number of silent upstreams.
func TestSilenceReportsAreBounded(t *testing.T) {
	now, s := time.Unix(1_800_000_000, 0), NewSilentUpstreams("entry-0")
	for i := range 100 {
		s.RecordOverdue(now.Add(time.Duration(i)*time.Millisecond), &traffic.Upstream{Hash: uint64(i)}, now.Add(-time.Second))
	}
	reports := s.Reports(now.Add(100 * time.Millisecond))
	require.Len(t, reports, maxSilenceReports)
	require.EqualValues(t, 99, reports[0].Upstream, "the latest ones count longest")
}
