package fleet

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
)

// A slowRegistry lets others run during each read, and counts those in progress.
type slowRegistry struct {
	reading, most atomic.Int64
}

func (r *slowRegistry) Put(context.Context, string, []byte) error { return nil }

func (r *slowRegistry) Next(context.Context) (map[string][]byte, bool, traffic.LogPosition, error) {
	r.most.Store(max(r.most.Load(), r.reading.Add(1)))
	defer r.reading.Add(-1)
	for range 100 {
		runtime.Gosched()
	}
	return nil, false, traffic.LogPosition{}, nil
}

// Guards against registrations that are skipped, or older ones that replace newer ones, as the list of hosts is read again
// after a restore of the store while another read is in progress.
func TestHostListIsReadOnceAtATime(t *testing.T) {
	registry := &slowRegistry{}
	s := NewSource(Options{Name: "entry-1", FailureDomain: "a", Address: "10.0.0.1:7341", HostRegistry: registry, Plans: noPlans{}, Uptime: func() time.Duration { return time.Hour }})
	var reads sync.WaitGroup
	for range 100 {
		reads.Go(func() { s.readDirectory(t.Context()) })
	}
	reads.Wait()
	require.Equal(t, int64(1), registry.most.Load())
}
