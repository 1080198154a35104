package overload

import (
	"sync"
	"time"
)

// A Request describes a request to the gate and the recorder.
type Request struct {
	// ID is the ID of the caller's attempt.
	ID string
	// Pool and Workspace are the PoolID and the WorkspaceID.
	Pool, Workspace uint32
	// Rank is the urgency; 0 is the most urgent.
	Rank int
	// Returning is set if the caller was refused before.
	Returning bool
	// CanBeOnTime is set if the request can still begin within its target.
	CanBeOnTime bool
}

// isLate reports whether the request comes after those of its rank that can be on time.
func (q Request) isLate() bool { return q.Returning && !q.CanBeOnTime }

// A Recorder counts at one host what is asked for. It is safe for concurrent use.
type Recorder struct {
	mu    sync.Mutex
	pools map[uint32]*recordedPool
}

// recordedPool holds the events of one pool within the last Window, oldest first.
type recordedPool struct {
	running  int
	arrivals []arrival
	ends     []end
}

type arrival struct {
	at        time.Time
	workspace uint32
	rank      uint8
	late      bool
}

type end struct {
	at   time.Time
	rank uint8
	busy time.Duration
}

// NewRecorder returns a recorder for which no pool is enabled.
func NewRecorder() *Recorder { return &Recorder{pools: map[uint32]*recordedPool{}} }

// Enable lets the recorder count the requests of a pool. Those of other pools are neither recorded nor
// reported.
func (r *Recorder) Enable(pool string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if id := PoolID(pool); r.pools[id] == nil {
		r.pools[id] = &recordedPool{}
	}
}

// IsEnabled reports whether the requests of a pool are recorded.
func (r *Recorder) IsEnabled(pool string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pools[PoolID(pool)] != nil
}

// HasEnabledPool reports whether the requests of any pool are recorded.
func (r *Recorder) HasEnabledPool() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pools) > 0
}

// RecordArrival counts a request that has arrived, whether it is admitted or refused afterwards.
func (r *Recorder) RecordArrival(now time.Time, q Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[q.Pool]; p != nil {
		p.prune(now)
		p.arrivals = append(p.arrivals, arrival{at: now, workspace: q.Workspace & workspaceIDMask, rank: uint8(clampRank(q.Rank)), late: q.isLate()})
	}
}

// RecordStart counts a request as in progress at an upstream; RecordEnd must follow.
func (r *Recorder) RecordStart(pool uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[pool]; p != nil {
		p.running++
	}
}

// RecordEnd counts a request as ended after it occupied a slot for inSlot; 0 if that is not known, as for a
// response that was cut off.
func (r *Recorder) RecordEnd(now time.Time, pool uint32, rank int, inSlot time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[pool]
	if p == nil {
		return
	}
	p.running = max(p.running-1, 0)
	if inSlot > 0 {
		p.prune(now)
		p.ends = append(p.ends, end{at: now, rank: uint8(clampRank(rank)), busy: inSlot})
	}
}

// Demand returns what was asked for within the last Window, or nil if no pool is enabled.
func (r *Recorder) Demand(now time.Time) *Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.pools) == 0 {
		return nil
	}
	d := NewDemand()
	d.Hosts = 1
	for id, recorded := range r.pools {
		recorded.prune(now)
		p := d.pool(id)
		p.Running = recorded.running
		for _, a := range recorded.arrivals {
			p.Workspaces[a.workspace]++
			p.addSpan(a.workspace, RankSpan{Lowest: a.rank, Highest: a.rank})
			if a.late {
				p.Ranks[a.rank].Late++
			} else {
				p.Ranks[a.rank].New++
			}
		}
		for _, e := range recorded.ends {
			p.Ranks[e.rank].Ended++
			p.Ranks[e.rank].Busy += e.busy
		}
	}
	return d
}

// prune drops events that are older than Window.
func (p *recordedPool) prune(now time.Time) {
	start := now.Add(-Window)
	n := 0
	for n < len(p.arrivals) && p.arrivals[n].at.Before(start) {
		n++
	}
	p.arrivals = p.arrivals[n:]
	n = 0
	for n < len(p.ends) && p.ends[n].at.Before(start) {
		n++
	}
	p.ends = p.ends[n:]
}

// clampRank returns the valid rank nearest to the given one.
func clampRank(rank int) int { return min(max(rank, 0), NumRanks-1) }
