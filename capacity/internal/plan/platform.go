package plan

import (
	"fmt"
	"math"
	"strings"
)

// What hosts on the users' platform do, and how often; see packages fleet and membership.
const (
	readers = 2
	fanOut  = 2
	// plansASecond is how often a plan is drawn, and listsASecond how often a reader reads the
	// upstreams where they may be sent work for 4 s once they leave; both end followers' calls.
	plansASecond = 2
	listsASecond = 0.67
	// packetBytes is what the headers of TCP and IP take of a call: two packets and their acknowledgements.
	packetBytes = 208
	// countsBytes is what a call tells of requests in progress at most: 40 engines and 8
	// prompts of 4 bytes each.
	countsBytes = 192
	// planLimit is how large a plan is at most; one with a pool for each of many models still names
	// some engines, which takes leastNamedBytes beside poolBytes for each pool.
	planLimit       = 172
	poolBytes       = 7
	leastNamedBytes = 64
	// planBudget is what a host may tell of plans to all its followers, in bytes a second.
	planBudget = 700
	// entryBytes is what an upstream writes of itself into the store, each entryEvery seconds.
	entryBytes   = 250
	entryEvery   = 1.2
	prompts      = 16384
	upstreamNews = 0.25
)

// readerReads returns how many calls to the store a reader makes a second: reads of the configuration, which wait an
// eighth of the operators' bound and one second at most, of the upstreams, and of notices.
func (s size) readerReads() float64 { return math.Max(1, 8/s.inForce) + 1.33 + 0.33 }

func (s size) readers() float64 { return readers * s.nodes / s.hostsPerRegion }

// domainHosts is how many hosts a failure domain has: there are four, or three of today.
func (s size) domainHosts() float64 { return math.Ceil(s.nodes / 4) }

// steps returns how many hosts news comes through from a reader to the last host.
func (s size) steps() float64 {
	steps, reached := 1.0, 1.0
	for n := 1.0; reached < s.domainHosts(); steps++ {
		n *= fanOut
		reached += n
	}
	return steps
}

// planBytes returns the bytes of one plan at most.
func (s size) planBytes() float64 { return math.Max(planLimit, poolBytes*s.pools+leastNamedBytes) }

// plans returns how often a follower is told a plan in a second.
func (s size) plans() float64 {
	return math.Min(plansASecond, planBudget/(fanOut*s.planBytes()))
}

// linked returns the bytes a second between a host and one that follows it.
func (m model) linked(s size) float64 {
	calls := (plansASecond + listsASecond) * (m.at("follow-bytes", s.upstreams) + packetBytes)
	return calls + plansASecond*countsBytes + s.plans()*s.planBytes()
}

// above returns the bytes a second of a host that others follow, below of one that none does.
func (m model) above(s size) float64 { return (fanOut + 1) * m.linked(s) }
func (m model) below(s size) float64 { return m.linked(s) }

// entries returns the bytes a second that upstreams write of themselves, all of which a reader reads.
func (s size) entries() float64 { return s.upstreams * entryBytes / entryEvery }

func (m model) hostCPU(s size, neighbors float64) float64 {
	ns := neighbors * (listsASecond*m.at("follow-time", s.upstreams) + plansASecond*m.at("plan-time", s.upstreams))
	ns += upstreamNews * m.at("snapshot-time", s.upstreams)
	ns += s.requests / s.nodes * m.at("choose-time", s.poolSize())
	return ns / 1e9
}

func (m model) platformMemory(s size) float64 {
	return prompts*m.perOne("warmth-bytes") + 2*m.at("snapshot-bytes", s.upstreams)
}

// platform writes the figures of hosts on the users' platform.
func (m model) platform(b *strings.Builder) {
	b.WriteString("\n### On the users' platform\n\n| role | item | mechanism | " + names() + " |\n|---|---|---|---|---|---|\n")
	rows := []row{
		{"traffic", "one choice of an upstream", "rendezvous hashing under a bound, one pass", micro, func(s size) float64 { return m.at("choose-time", s.poolSize()) }},
		{"traffic", "where prompts are cached", "LRU of 16,384 prompts a node", megabytes, func(size) float64 { return prompts * m.perOne("warmth-bytes") }},
		{"control", "hosts that read the store", "2 of each region", number, size.readers},
		{"control", "steps from one to the last host", "a tree, 2 below each", number, size.steps},
		{"control", "calls to the store, all hosts", "readers alone", number, func(s size) float64 { return s.readers() * s.readerReads() }},
		{"control", "calls to the store, if each host read it", "(not so)", number, func(s size) float64 { return s.nodes * s.readerReads() }},
		{"control", "between two plans at a host", "by budget", seconds, func(s size) float64 { return 1 / s.plans() }},
		{"host that none follows", "bytes, both ways, headers included", "net/rpc, what has changed", perSecond, m.below},
		{"host that others follow", "bytes, both ways, headers included", "the same, three times", perSecond, m.above},
		{"host that others follow", "share of a core", "", percent, func(s size) float64 { return m.hostCPU(s, fanOut+1) }},
		{"reader", "bytes from the store besides", "all that upstreams write of themselves", perSecond, size.entries},
		{"control", "a new snapshot", "whole, rebuilt on change", milli, func(s size) float64 { return m.at("snapshot-time", s.upstreams) }},
		{"control", "memory", "snapshots and warm prompts", megabytes, m.platformMemory},
	}
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s |", r.role, r.item, r.mechanism)
		for _, s := range sizes {
			fmt.Fprintf(b, " %s |", r.format(r.at(s)))
		}
		b.WriteString("\n")
	}
	target := sizes[len(sizes)-1]
	b.WriteString("\n| budget of one node at the target | allowed | none follow | others follow | reader | fits |\n|---|---|---|---|---|---|\n")
	budget := func(name string, limit float64, format func(float64) string, figures ...float64) {
		fits := "yes"
		for i, role := range []string{"all", "hosts that others follow", "readers"} {
			if figures[i] > limit {
				fits = "**NO** for " + role
				break
			}
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", name, format(limit), format(figures[0]), format(figures[1]), format(figures[2]), fits)
	}
	memory := m.platformMemory(target)
	budget("control, share of a core", cpuBudget, percent, m.hostCPU(target, 1), m.hostCPU(target, fanOut+1), m.hostCPU(target, fanOut+1))
	budget("control, memory", memoryBudget, megabytes, memory, memory, memory)
	budget("control, bytes both ways", byteBudget, perSecond, m.below(target), m.above(target), m.above(target)+target.entries())
	mean := (m.below(target)*(1-1.0/fanOut) + m.above(target)/fanOut) + target.entries()*target.readers()/target.nodes
	fmt.Fprintf(b, "\nIn the mean over all hosts, readers included: %s.\n", perSecond(mean))
}
