package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/platform/standin"
	"jackdawhinge/standin/network"
)

// The number of events of the streams in these tests, and the longest time that a caller waits for one
// response.
const (
	versionedEvents = 100
	callerPatience  = 8 * time.Second
	// otherVersion is the software version that some of the first engines get.
	otherVersion = "v2"
)

// A callerStream is a stream as its caller sees it, over several requests.
type callerStream struct {
	id          string
	attempts    int
	resumedID   string
	lastEventID int
	versions    map[string]bool
	// refused holds the last response if its status was not 200.
	refused string
}

func (s *callerStream) complete() bool { return s.lastEventID == versionedEvents }

// read requests the rest of a stream from a host and reads it until it ends.
func (f *testFleet) read(ctx context.Context, h *testHost, s *callerStream) {
	caller := standin.Caller{Address: h.callerAddress, Host: "a.example", Key: "key-1", Timeout: callerPatience}
	id := fmt.Sprintf("%s-%d", s.id, s.attempts)
	req, err := caller.Stream(ctx, "/digest/x", id, s.id, versionedEvents)
	require.NoError(f.t, err)
	s.attempts++
	if s.lastEventID > 0 {
		req.Header.Set(standin.LastEventIDHeader, strconv.Itoa(s.lastEventID))
		req.Header.Set(standin.ResumesHeader, s.resumedID)
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if s.refused = ""; resp.StatusCode != http.StatusOK {
		body, err := io.ReadAll(resp.Body)
		require.NoError(f.t, err)
		s.refused = string(body)
		return
	}
	for lines := bufio.NewReader(resp.Body); ; {
		event, err := readEvent(lines)
		if err != nil {
			return
		}
		s.add(f.t, id, event)
	}
}

// readEvent reads one event and returns its lines; one that ends early is an error.
func readEvent(r *bufio.Reader) (lines []string, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		if line == "\n" {
			return lines, nil
		}
		lines = append(lines, strings.TrimSuffix(line, "\n"))
	}
}

// add adds an event that an attempt has brought.
func (s *callerStream) add(t *testing.T, attempt string, event []string) {
	if s.resumedID == "" {
		s.resumedID = attempt
	}
	for _, line := range event {
		if n, ok := strings.CutPrefix(line, "id: "); ok {
			next, err := strconv.Atoi(n)
			require.NoError(t, err)
			require.Equal(t, s.lastEventID+1, next, s.id)
			s.lastEventID = next
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			_, version, _ := strings.Cut(data, " of ")
			s.versions[version] = true
		}
	}
}

// begin begins a number of streams at each of some hosts; wait returns them when their responses have
// ended.
func (f *testFleet) begin(hosts []*testHost, perHost int) (wait func() []*callerStream) {
	return f.beginRound(0, hosts, perHost)
}

// beginRound is begin with another prefix of IDs for each round.
func (f *testFleet) beginRound(round int, hosts []*testHost, perHost int) (wait func() []*callerStream) {
	var streams []*callerStream
	var reads sync.WaitGroup
	for _, h := range hosts {
		for i := range perHost {
			s := &callerStream{id: fmt.Sprintf("s%d-%s-%d", round, h.name, i), versions: map[string]bool{}}
			streams = append(streams, s)
			reads.Go(func() { f.read(f.t.Context(), h, s) })
		}
	}
	return func() []*callerStream {
		reads.Wait()
		return streams
	}
}

// resume takes streams that are not complete up at some hosts in turn.
func (f *testFleet) resume(hosts []*testHost, streams []*callerStream) {
	var reads sync.WaitGroup
	for i, s := range streams {
		if !s.complete() {
			reads.Go(func() { f.read(f.t.Context(), hosts[i%len(hosts)], s) })
		}
	}
	reads.Wait()
}

// kill ends the process of a host without a shutdown.
func (f *testFleet) kill(hosts ...*testHost) {
	for _, h := range hosts {
		f.net.SetFault(h.peerAddress, network.Partitioned)
		f.net.Kill(h.callerAddress)
		f.net.Kill(h.peerAddress)
	}
}

// setOtherVersion gives engines another software version and waits until all hosts know.
func (f *testFleet) setOtherVersion(engines ...string) {
	f.store.mu.Lock()
	for i, u := range f.store.upstreams {
		for _, id := range engines {
			if u.ID == id {
				f.store.upstreams[i].SoftwareVersion = otherVersion
				f.store.upstreams[i].Sequence++
				f.runners[id].SetVersion(otherVersion)
			}
		}
	}
	f.store.mu.Unlock()
	time.Sleep(2 * time.Second)
}

// addEngines starts engines of a software version.
func (f *testFleet) addEngines(version string, engines ...string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	for _, id := range engines {
		runner, address := standin.NewRunner(id, 64), fmt.Sprintf("10.1.1.%s:80", strings.TrimPrefix(id, "reader-"))
		runner.SetVersion(version)
		f.runners[id] = runner
		f.net.Serve(address, runner)
		f.store.upstreams = append(f.store.upstreams, traffic.Upstream{
			ID: id, Pool: "reader", Address: address, FailureDomain: "domain-1", SoftwareVersion: version, Slots: 64, State: traffic.Ready,
		})
	}
}

// loseEngines ends the processes of engines and removes their entries.
func (f *testFleet) loseEngines(engines ...string) {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	f.store.upstreams = slices.DeleteFunc(f.store.upstreams, func(u traffic.Upstream) bool {
		lost := slices.Contains(engines, u.ID)
		if lost {
			f.net.Kill(u.Address)
		}
		return lost
	})
}

// at returns the hosts with some indexes.
func (f *testFleet) at(indexes ...int) []*testHost {
	var hosts []*testHost
	for _, i := range indexes {
		hosts = append(hosts, f.hosts[i])
	}
	return hosts
}

// requireOneVersion fails if a stream holds events of several versions, or if fewer streams than a
// number are complete.
func (f *testFleet) requireOneVersion(streams []*callerStream, minComplete int) {
	joined, complete := 0, 0
	refusals := map[string]int{}
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
		}
		if s.complete() {
			complete++
		}
		refusals[s.refused]++
	}
	require.Zero(f.t, joined, "streams with events of several versions, of %d; complete: %d, refusals: %v", len(streams), complete, refusals)
	require.GreaterOrEqual(f.t, complete, minComplete, "complete streams of %d, refusals: %v", len(streams), refusals)
}
