package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jackdawhinge/common/roster"
	"jackdawhinge/common/targets"
)

const testCapacity = 100_000

var baseTime = time.Unix(1_800_000_000, 0)

func testHosts(n int) []roster.Host {
	hosts := make([]roster.Host, n)
	for i := range hosts {
		hosts[i] = roster.Host{
			Name: fmt.Sprintf("engine-%02d", i), Role: roster.Upstream, State: roster.Live,
			FailureDomain: fmt.Sprintf("r/%d", i%4), Models: []string{"reader"}, CapacityTokens: testCapacity,
		}
	}
	return hosts
}

func testPool(hosts []roster.Host) *Pool {
	var upstreams []*Upstream
	for _, h := range hosts {
		upstreams = append(upstreams, NewUpstream(h))
	}
	return NewPool("reader", targets.Model{Kind: targets.Engine}, upstreams)
}

func newOwningBalancer(p *Pool) *Balancer {
	b := NewBalancer(rand.NewPCG(1, 2))
	b.SetOwned(func(*Upstream) bool { return true }, map[string]*Pool{p.Model(): p})
	return b
}

// For any sequence of requests, an upstream that accepted one carries at most the load
// multiple of the mean, unless it is below the bound's minimum or carries only that one.
func TestAcceptKeepsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPool(testHosts(rapid.IntRange(2, 30).Draw(t, "engines")))
		b := newOwningBalancer(p)
		now := baseTime
		type running struct {
			at   *Upstream
			cost int64
		}
		var inProgress []running
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(meanTTL)
			if len(inProgress) > 0 && rapid.Bool().Draw(t, "finish") {
				i := rapid.IntRange(0, len(inProgress)-1).Draw(t, "which")
				b.Finish(inProgress[i].at, inProgress[i].cost)
				inProgress = append(inProgress[:i], inProgress[i+1:]...)
				continue
			}
			chat := rapid.Uint64().Draw(t, "chat")
			c := Candidate{
				Chat: chat, Upstream: p.Rank(chat)[0], Cost: rapid.Int64Range(1, 20_000).Draw(t, "cost"),
				Returning: rapid.Bool().Draw(t, "returning"), Urgency: targets.Urgent,
			}
			mean := b.Mean(now, p)
			placement, to := b.Place(now, p, c)
			if placement != Accept {
				continue
			}
			b.Start(to, c.Cost)
			inProgress = append(inProgress, running{to, c.Cost})
			load, _ := b.Load(now, to)
			meanAfter := mean + float64(c.Cost)/float64(len(p.Upstreams()))
			require.True(t, float64(load) <= p.LoadMultiple()*meanAfter+1 || load <= testCapacity/minBoundDivisor || load == c.Cost,
				"load %d, mean %f, cost %d", load, meanAfter, c.Cost)
		}
	})
}

// When an engine joins or leaves, only the chats with that first choice change engines.
func TestMinimalMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := testHosts(rapid.IntRange(2, 40).Draw(t, "engines"))
		removed := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		with := testPool(hosts)
		without := testPool(append(append([]roster.Host{}, hosts[:removed]...), hosts[removed+1:]...))
		for range 50 {
			chat := rapid.Uint64().Draw(t, "chat")
			before := with.Rank(chat)
			after := without.Rank(chat)[0].Name()
			if before[0].Name() != hosts[removed].Name {
				require.Equal(t, before[0].Name(), after)
				continue
			}
			require.Equal(t, before[1].Name(), after, "the second choice takes over, so that a leaving engine's chats are spread over the pool")
		}
	})
}

// Every chat has a candidate as long as one engine of any region is live.
func TestRankHasCandidateWhileOneIsLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := testHosts(rapid.IntRange(1, 20).Draw(t, "engines"))
		live := rapid.IntRange(0, len(hosts)-1).Draw(t, "live")
		for i := range hosts {
			if i != live && rapid.Bool().Draw(t, "leaves") {
				hosts[i].State = roster.Leaving
			}
			hosts[i].FailureDomain = rapid.SampledFrom([]string{"r/a", "r/b", "s/a"}).Draw(t, "domain")
		}
		v := NewView(ViewInput{Region: "r", Hosts: hosts, Document: targets.Document{Models: map[string]targets.Model{"reader": {Kind: targets.Engine}}}})
		p, _ := v.Pool("reader")
		ranked := p.Rank(rapid.Uint64().Draw(t, "chat"))
		require.NotEmpty(t, ranked)
		for _, u := range ranked {
			i := 0
			for hosts[i].Name != u.Name() {
				i++
			}
			require.Equal(t, roster.Live, hosts[i].State)
		}
	})
}

// Two hosts with different lists both own an engine, and each counts only its own
// requests. The engine's own report must make up for the other's, so that the owner stops
// accepting.
func TestReportCountsOtherOwner(t *testing.T) {
	p := testPool(testHosts(4))
	b := newOwningBalancer(p)
	for _, u := range p.Upstreams() {
		b.Start(u, 20_000)
	}
	at := p.Upstreams()[0]
	c := Candidate{Chat: 1, Upstream: at, Cost: 1000, Returning: true, Urgency: targets.Urgent}
	placement, _ := b.Place(baseTime, p, c)
	require.Equal(t, Accept, placement)
	b.ReportResident(at, 45_000)
	placement, _ = b.Place(baseTime.Add(time.Second), p, c)
	require.Equal(t, Linger, placement)
}

// A chat was moved because of overload. Its next turns follow it until it has been idle
// for longer than the cached prefix lasts, or the engine has left.
func TestMovedChatStaysWhileCached(t *testing.T) {
	p := testPool(testHosts(4))
	b := newOwningBalancer(p)
	firstChoice := p.Rank(7)[0]
	b.Start(firstChoice, 90_000)
	c := Candidate{Chat: 7, Upstream: firstChoice, Cost: 1000, Returning: true, Urgency: targets.Normal}
	placement, to := b.Move(baseTime, p, c)
	require.Equal(t, Moved, placement)
	b.Finish(firstChoice, 90_000)

	_, next := b.Place(baseTime.Add(time.Minute), p, c)
	require.Equal(t, to, next)
	placement, _ = b.Place(baseTime.Add(time.Minute+moveTTL+time.Second), p, c)
	require.Equal(t, Accept, placement, "after moveTTL the chat returns to its first choice")

	_, to = b.Move(baseTime, p, c)
	var remaining []roster.Host
	for _, h := range testHosts(4) {
		if h.Name != to.Name() {
			remaining = append(remaining, h)
		}
	}
	smaller := testPool(remaining)
	_, at := b.Place(baseTime, smaller, Candidate{Chat: 7, Upstream: smaller.Rank(7)[0], Cost: 1000, Returning: true})
	require.Equal(t, smaller.Rank(7)[0], at)
}

// An owner remembers a chat at an engine that the sender's newer list no longer has. The
// Gone row must make it forget the move, or it would send the chat there forever.
func TestMoveToGoneUpstreamIsForgotten(t *testing.T) {
	p := testPool(testHosts(4))
	b := newOwningBalancer(p)
	firstChoice, gone := p.Rank(7)[0], p.Rank(7)[1]
	c := Candidate{Chat: 7, Upstream: firstChoice, Cost: 1000, Returning: true}
	b.rememberMove(baseTime, c, gone)
	placement, to := b.Place(baseTime, p, c)
	require.Equal(t, Moved, placement)
	require.Equal(t, gone, to)
	c.VisitedRows = []LoadRow{{Upstream: gone.Hash(), Gone: true}}
	placement, _ = b.Place(baseTime, p, c)
	require.Equal(t, Accept, placement)
}

// A request was moved away from a full engine. An outdated row with a low load must not
// send it back there.
func TestRequestIsNotMovedBack(t *testing.T) {
	p := testPool(testHosts(4))
	b := newOwningBalancer(p)
	ranked := p.Rank(7)
	b.Start(ranked[0], 90_000)
	c := Candidate{Chat: 7, Upstream: ranked[0], Cost: 1000, Returning: true, MoveCount: 1}
	_, to := b.Move(baseTime, p, c)
	require.Equal(t, ranked[1], to)
	c.VisitedRows = []LoadRow{{Upstream: ranked[1].Hash(), Load: 90_000}}
	_, to = b.Move(baseTime, p, c)
	require.Equal(t, ranked[2], to)
}

// A request that has been moved MaxMoves times reaches another full engine and must
// wait there; further moves would use up its attempts although room is likely soon.
func TestRequestWaitsAfterMaxMoves(t *testing.T) {
	p := testPool(testHosts(4))
	b := newOwningBalancer(p)
	at := p.Rank(7)[0]
	b.Start(at, 90_000)
	placement, _ := b.Place(baseTime, p, Candidate{Chat: 7, Upstream: at, Cost: 1000, MoveCount: MaxMoves - 1})
	require.Equal(t, Moved, placement)
	placement, _ = b.Place(baseTime, p, Candidate{Chat: 7, Upstream: at, Cost: 1000, MoveCount: MaxMoves})
	require.Equal(t, Wait, placement)
}

// Rows arrive through third hosts and out of order. The newest row on an engine counts,
// and a row older than rowTTL no longer does.
func TestMergeKeepsNewestRow(t *testing.T) {
	p := testPool(testHosts(2))
	u := p.Upstreams()[0]
	b := NewBalancer(rand.NewPCG(1, 2))
	b.Merge(baseTime, []LoadRow{{Upstream: u.Hash(), Load: 10, Age: time.Second}})
	b.Merge(baseTime, []LoadRow{{Upstream: u.Hash(), Load: 99, Age: 5 * time.Second}})
	load, known := b.Load(baseTime, u)
	require.True(t, known)
	require.EqualValues(t, 10, load)
	_, known = b.Load(baseTime.Add(rowTTL), u)
	require.False(t, known)
}

func TestRememberedMovesAreBounded(t *testing.T) {
	p := testPool(testHosts(4))
	b := newOwningBalancer(p)
	for chat := range uint64(maxRememberedMoves + 100) {
		b.rememberMove(baseTime, Candidate{Chat: chat}, p.Upstreams()[0])
	}
	require.Equal(t, maxRememberedMoves, b.MovedChats())
}

func benchView(engines, entryHosts int) (*View, *Pool) {
	hosts := testHosts(engines)
	for i := range entryHosts {
		hosts = append(hosts, roster.Host{Name: fmt.Sprintf("entry-%03d", i), Role: roster.EntryHost, State: roster.Live, FailureDomain: "r/a"})
	}
	v := NewView(ViewInput{Region: "r", Hosts: hosts, Document: targets.Document{Models: map[string]targets.Model{"reader": {Kind: targets.Engine}}}})
	p, _ := v.Pool("reader")
	return v, p
}

// BenchmarkDecision measures one request's whole decision: rank, owner and placement.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{14, 24, 38, 400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			v, p := benchView(engines, 360)
			balancer := newOwningBalancer(p)
			now := baseTime
			chat := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				chat += 0x9e3779b97f4a7c15
				now = now.Add(20 * time.Millisecond)
				at := p.Rank(chat)[0]
				v.Owner(at.Hash())
				balancer.Place(now, p, Candidate{Chat: chat, Upstream: at, Cost: 1000, Returning: true})
			}
		})
	}
}

// BenchmarkView measures building a view, as after each change of list or configuration.
func BenchmarkView(b *testing.B) {
	for _, engines := range []int{24, 220, 880} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				benchView(engines, 360)
			}
		})
	}
}

// BenchmarkViewHosts measures building a view by the number of entry hosts.
func BenchmarkViewHosts(b *testing.B) {
	for _, hosts := range []int{9, 90, 360} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				benchView(220, hosts)
			}
		})
	}
}

// BenchmarkMovedChat measures placing a moved chat by the number of remembered chats.
func BenchmarkMovedChat(b *testing.B) {
	for _, chats := range []int{1000, 8000, 64000} {
		b.Run(fmt.Sprintf("chats=%d", chats), func(b *testing.B) {
			p := testPool(testHosts(38))
			balancer := newOwningBalancer(p)
			for chat := range uint64(chats) {
				balancer.rememberMove(baseTime, Candidate{Chat: chat}, p.Upstreams()[0])
			}
			for i := uint64(0); b.Loop(); i++ {
				balancer.Place(baseTime, p, Candidate{Chat: i * 7919 % uint64(chats), Upstream: p.Upstreams()[1], Cost: 100, Returning: true})
			}
		})
	}
}
