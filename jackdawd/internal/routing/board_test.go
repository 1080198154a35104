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

const capacity = 100_000

var start = time.Unix(1_800_000_000, 0)

func testHosts(n int) []roster.Host {
	hosts := make([]roster.Host, n)
	for i := range hosts {
		hosts[i] = roster.Host{
			Name: fmt.Sprintf("engine-%02d", i), Role: roster.Upstream, State: roster.Live,
			FailureDomain: fmt.Sprintf("r/%d", i%4), Models: []string{"reader"}, Capacity: capacity,
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

func owningBoard(p *Pool) *Board {
	b := NewBoard(rand.NewPCG(1, 2))
	b.Own(func(*Upstream) bool { return true }, map[string]*Pool{p.Model(): p})
	return b
}

// Whatever requests come and go, no upstream that accepted one then carries more
// than the multiple of the mean, unless it is below the floor or carries nothing else.
func TestAcceptKeepsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := testPool(testHosts(rapid.IntRange(2, 30).Draw(t, "engines")))
		b := owningBoard(p)
		now := start
		type running struct {
			at   *Upstream
			cost int64
		}
		var in []running
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(meanLifetime)
			if len(in) > 0 && rapid.Bool().Draw(t, "finish") {
				i := rapid.IntRange(0, len(in)-1).Draw(t, "which")
				b.Finish(in[i].at, in[i].cost)
				in = append(in[:i], in[i+1:]...)
				continue
			}
			chat := rapid.Uint64().Draw(t, "chat")
			c := Candidate{
				Chat: chat, At: p.Rank(chat)[0], Cost: rapid.Int64Range(1, 20_000).Draw(t, "cost"),
				Returning: rapid.Bool().Draw(t, "returning"), Urgency: targets.Urgent,
			}
			mean := b.Mean(now, p)
			placement, to := b.Place(now, p, c)
			if placement != Accept {
				continue
			}
			b.Start(to, c.Cost)
			in = append(in, running{to, c.Cost})
			load, _ := b.Load(now, to)
			after := mean + float64(c.Cost)/float64(len(p.Upstreams()))
			require.True(t, float64(load) <= p.Multiple()*after+1 || load <= capacity/floorShare || load == c.Cost,
				"load %d, mean %f, cost %d", load, after, c.Cost)
		}
	})
}

// When one engine joins or leaves, only the chats whose first choice it is move.
func TestMinimalMovement(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := testHosts(rapid.IntRange(2, 40).Draw(t, "engines"))
		gone := rapid.IntRange(0, len(hosts)-1).Draw(t, "gone")
		with := testPool(hosts)
		without := testPool(append(append([]roster.Host{}, hosts[:gone]...), hosts[gone+1:]...))
		for range 50 {
			chat := rapid.Uint64().Draw(t, "chat")
			before := with.Rank(chat)
			after := without.Rank(chat)[0].Name()
			if before[0].Name() != hosts[gone].Name {
				require.Equal(t, before[0].Name(), after)
				continue
			}
			require.Equal(t, before[1].Name(), after, "its second choice takes a chat over, so that a leaving engine's chats spread")
		}
	})
}

// Any chat has a candidate as long as one engine of any region is live.
func TestCandidateWhileOneIsLive(t *testing.T) {
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

// Two hosts hold different lists, so that both own an engine and each counts only
// its own requests. The engine's late report makes up for the other's: the owner
// that saw nothing of them stops accepting.
func TestReportCountsOtherOwner(t *testing.T) {
	p := testPool(testHosts(4))
	b := owningBoard(p)
	for _, u := range p.Upstreams() {
		b.Start(u, 20_000)
	}
	at := p.Upstreams()[0]
	c := Candidate{Chat: 1, At: at, Cost: 1000, Returning: true, Urgency: targets.Urgent}
	placement, _ := b.Place(start, p, c)
	require.Equal(t, Accept, placement)
	b.Report(at, 45_000)
	placement, _ = b.Place(start.Add(time.Second), p, c)
	require.Equal(t, Linger, placement)
}

// A chat was moved by overload. Its next turns go where it was moved, until it
// has been idle for so long that nothing is warm there, or that engine is gone.
func TestMovedChatStaysWhileWarm(t *testing.T) {
	p := testPool(testHosts(4))
	b := owningBoard(p)
	home := p.Rank(7)[0]
	b.Start(home, 90_000)
	c := Candidate{Chat: 7, At: home, Cost: 1000, Returning: true, Urgency: targets.Normal}
	placement, to := b.Move(start, p, c)
	require.Equal(t, Moved, placement)
	b.Finish(home, 90_000)

	_, again := b.Place(start.Add(time.Minute), p, c)
	require.Equal(t, to, again)
	placement, _ = b.Place(start.Add(time.Minute+moveLifetime+time.Second), p, c)
	require.Equal(t, Accept, placement, "idle for too long: home again")

	_, to = b.Move(start, p, c)
	var rest []roster.Host
	for _, h := range testHosts(4) {
		if h.Name != to.Name() {
			rest = append(rest, h)
		}
	}
	smaller := testPool(rest)
	_, at := b.Place(start, smaller, Candidate{Chat: 7, At: smaller.Rank(7)[0], Cost: 1000, Returning: true})
	require.Equal(t, smaller.Rank(7)[0], at)
}

// Hosts hold different lists: an owner remembers a chat at an engine that the sender no
// longer has. Told so, it forgets that, rather than sending the chat there for ever.
func TestMoveToGoneUpstreamIsForgotten(t *testing.T) {
	p := testPool(testHosts(4))
	b := owningBoard(p)
	home, gone := p.Rank(7)[0], p.Rank(7)[1]
	c := Candidate{Chat: 7, At: home, Cost: 1000, Returning: true}
	b.remember(start, c, gone)
	placement, to := b.Place(start, p, c)
	require.Equal(t, Moved, placement)
	require.Equal(t, gone, to)
	c.Seen = []Row{{Upstream: gone.Hash(), Gone: true}}
	placement, _ = b.Place(start, p, c)
	require.Equal(t, Accept, placement)
}

// A request is moved on from an engine that was full. It is not sent back there by a
// row that has not caught up.
func TestNotMovedBack(t *testing.T) {
	p := testPool(testHosts(4))
	b := owningBoard(p)
	ranked := p.Rank(7)
	b.Start(ranked[0], 90_000)
	c := Candidate{Chat: 7, At: ranked[0], Cost: 1000, Returning: true, Attempt: 1}
	_, to := b.Move(start, p, c)
	require.Equal(t, ranked[1], to)
	c.Seen = []Row{{Upstream: ranked[1].Hash(), Load: 90_000}}
	_, to = b.Move(start, p, c)
	require.Equal(t, ranked[2], to)
}

// A request has been moved often and meets one more full engine. It waits there: moved
// on and on, it would use up its tries while every engine has room in a moment.
func TestMovedTwiceWaits(t *testing.T) {
	p := testPool(testHosts(4))
	b := owningBoard(p)
	at := p.Rank(7)[0]
	b.Start(at, 90_000)
	placement, _ := b.Place(start, p, Candidate{Chat: 7, At: at, Cost: 1000, Attempt: LastAttempt - 1})
	require.Equal(t, Moved, placement)
	placement, _ = b.Place(start, p, Candidate{Chat: 7, At: at, Cost: 1000, Attempt: LastAttempt})
	require.Equal(t, Wait, placement)
}

// Rows travel by way of third hosts. Of two rows on one engine the newer counts,
// whichever arrives first, and a row that has grown old counts no more.
func TestMergeKeepsNewestRow(t *testing.T) {
	p := testPool(testHosts(2))
	u := p.Upstreams()[0]
	b := NewBoard(rand.NewPCG(1, 2))
	b.Merge(start, []Row{{Upstream: u.Hash(), Load: 10, Age: time.Second}})
	b.Merge(start, []Row{{Upstream: u.Hash(), Load: 99, Age: 5 * time.Second}})
	load, known := b.Load(start, u)
	require.True(t, known)
	require.EqualValues(t, 10, load)
	_, known = b.Load(start.Add(rowLifetime), u)
	require.False(t, known)
}

func TestMovesAreBounded(t *testing.T) {
	p := testPool(testHosts(4))
	b := owningBoard(p)
	for chat := range uint64(maxMoves + 100) {
		b.remember(start, Candidate{Chat: chat}, p.Upstreams()[0])
	}
	require.Equal(t, maxMoves, b.Moves())
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

// BenchmarkDecision is the whole decision of one request: rank, owner and placement.
func BenchmarkDecision(b *testing.B) {
	for _, engines := range []int{14, 24, 38, 400} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			v, p := benchView(engines, 360)
			board := owningBoard(p)
			now := start
			chat := uint64(0)
			b.ReportAllocs()
			for b.Loop() {
				chat += 0x9e3779b97f4a7c15
				now = now.Add(20 * time.Millisecond)
				at := p.Rank(chat)[0]
				v.Owner(at.Hash())
				board.Place(now, p, Candidate{Chat: chat, At: at, Cost: 1000, Returning: true})
			}
		})
	}
}

// BenchmarkView is the cost of a new view, which each change of list or configuration makes.
func BenchmarkView(b *testing.B) {
	for _, engines := range []int{24, 220, 880} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			for b.Loop() {
				benchView(engines, 360)
			}
		})
	}
}

// BenchmarkViewHosts is the cost of a new view against the entry hosts known.
func BenchmarkViewHosts(b *testing.B) {
	for _, hosts := range []int{9, 90, 360} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for b.Loop() {
				benchView(220, hosts)
			}
		})
	}
}

// BenchmarkMovedChat is the decision on a chat that was moved, against the chats remembered.
func BenchmarkMovedChat(b *testing.B) {
	for _, chats := range []int{1000, 8000, 64000} {
		b.Run(fmt.Sprintf("chats=%d", chats), func(b *testing.B) {
			p := testPool(testHosts(38))
			board := owningBoard(p)
			for chat := range uint64(chats) {
				board.remember(start, Candidate{Chat: chat}, p.Upstreams()[0])
			}
			for i := uint64(0); b.Loop(); i++ {
				board.Place(start, p, Candidate{Chat: i * 7919 % uint64(chats), At: p.Upstreams()[1], Cost: 100, Returning: true})
			}
		})
	}
}
