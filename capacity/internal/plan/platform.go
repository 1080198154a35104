package plan

import (
	"fmt"
	"math"
	"strings"
)

// What hosts on the users' platform do, and how often; see packages fleet and membership.
const (
	readers = 2
	fanOut  = 4
	// followsASecond is how often a reader reads the upstreams, which ends followers' calls.
	followsASecond = 1.33
	// packetBytes is what the headers of TCP and IP take of a call: two packets and their acknowledgements.
	packetBytes    = 208
	mostLoads      = 32
	exchangeBudget = 2850
	leastPause     = 0.3
	// entryBytes is what an upstream writes of itself into the store, each entryEvery seconds.
	entryBytes   = 250
	entryEvery   = 1.2
	readerReads  = 1 + 1.33 + 0.33
	prompts      = 16384
	upstreamNews = 0.25
)

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

// loadsBytes returns the bytes of an exchange of loads.
func (m model) loadsBytes(s size) float64 {
	return m.at("loads-bytes", math.Min(s.upstreams, mostLoads)) + packetBytes
}

// linked returns the bytes a second of two hosts that tell each other, one of which has so many neighbors.
func (m model) linked(s size, neighbors float64) float64 {
	exchanges := math.Min(1/leastPause, exchangeBudget/(neighbors*m.loadsBytes(s)))
	return followsASecond*(m.at("follow-bytes", s.upstreams)+packetBytes) + exchanges*m.loadsBytes(s)
}

// above returns the bytes a second of a host that others follow, below of one that none does.
func (m model) above(s size) float64 { return (fanOut + 1) * m.linked(s, fanOut+1) }
func (m model) below(s size) float64 { return m.linked(s, fanOut+1) }

// entries returns the bytes a second that upstreams write of themselves, all of which a reader reads.
func (s size) entries() float64 { return s.upstreams * entryBytes / entryEvery }

func (m model) hostCPU(s size, neighbors float64) float64 {
	exchanges := math.Min(1/leastPause, exchangeBudget/(neighbors*m.loadsBytes(s)))
	ns := neighbors * (followsASecond*m.at("follow-time", s.upstreams) + exchanges*m.at("loads-time", math.Min(s.upstreams, mostLoads)))
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
		{"control", "steps from one to the last host", "a tree, 4 below each", number, size.steps},
		{"control", "calls to the store, all hosts", "readers alone", number, func(s size) float64 { return s.readers() * readerReads }},
		{"control", "calls to the store, if each host read it", "(not so)", number, func(s size) float64 { return s.nodes * readerReads }},
		{"control", "between two exchanges of loads", "by budget, 32 loads at most", seconds, func(s size) float64 { return math.Max(leastPause, (fanOut+1)*m.loadsBytes(s)/exchangeBudget) }},
		{"host that none follows", "bytes, both ways, headers included", "net/rpc, what has changed", perSecond, m.below},
		{"host that others follow", "bytes, both ways, headers included", "the same, five times", perSecond, m.above},
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
