package plan

import (
	"fmt"
	"math"
	"strings"
)

// What hosts on the users' platform do, and how often; see packages fleet and membership.
const (
	readersBase    = 2
	hostsPerReader = 40
	followsASecond = 2.5
	// followBytes is what a call and its answer carry beside loads, headers of TCP and IP included.
	followBytes  = 330
	mostLoads    = 230
	loadBytes    = 6
	readerReads  = 1 + 1.33 + 0.33
	prompts      = 16384
	upstreamNews = 0.25
)

func (s size) readers() float64   { return math.Floor(readersBase + s.nodes/hostsPerReader) }
func (s size) followers() float64 { return (s.nodes - s.readers()) / s.readers() }

// followed returns the bytes a second of one follower, both ways.
func (m model) followed(s size) float64 {
	told := math.Min(m.at("follow-bytes", s.upstreams), mostLoads*loadBytes)
	own := s.requests / s.nodes * loadBytes
	return followsASecond*(followBytes+told) + own
}

func (m model) followerCPU(s size) float64 {
	ns := followsASecond*m.at("follow-time", math.Min(s.upstreams, mostLoads)) + upstreamNews*m.at("snapshot-time", s.upstreams)
	ns += s.requests / s.nodes * m.at("choose-time", s.poolSize())
	return ns / 1e9
}

func (m model) readerCPU(s size) float64 {
	return m.followerCPU(s) + s.followers()*followsASecond*m.at("follow-time", math.Min(s.upstreams, mostLoads))/1e9
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
		{"control", "hosts that read the store", "2 and one for each 40 hosts", number, size.readers},
		{"control", "calls to the store, all hosts", "readers alone", number, func(s size) float64 { return s.readers() * readerReads }},
		{"control", "calls to the store, if each host read it", "(not so)", number, func(s size) float64 { return s.nodes * 1.33 }},
		{"follower", "bytes, both ways", "net/rpc, changes and 230 loads at most", perSecond, m.followed},
		{"follower", "share of a core", "", percent, m.followerCPU},
		{"reader", "followers", "the nearest reader", number, size.followers},
		{"reader", "bytes, both ways", "", perSecond, func(s size) float64 { return s.followers() * m.followed(s) }},
		{"reader", "share of a core", "", percent, m.readerCPU},
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
	b.WriteString("\n| budget of one node at the target | allowed | follower | reader | fits |\n|---|---|---|---|---|\n")
	budget := func(name string, limit, follower, reader float64, format func(float64) string) {
		fits := "yes"
		if math.Max(follower, reader) > limit {
			fits = "**NO** for readers"
		}
		if follower > limit {
			fits = "**NO**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s |\n", name, format(limit), format(follower), format(reader), fits)
	}
	budget("control, share of a core", cpuBudget, m.followerCPU(target), m.readerCPU(target), percent)
	budget("control, memory", memoryBudget, m.platformMemory(target), m.platformMemory(target), megabytes)
	budget("control, bytes both ways", byteBudget, m.followed(target), target.followers()*m.followed(target), perSecond)
}
