package plan

import (
	"fmt"
	"math"
	"strings"
)

// Rates and sizes of hosts on the users' platform; they must match packages fleet and membership.
const (
	readersPerRegion = 2
	fanOut           = 2
	// plansPerSecond is how often a plan is made. upstreamReadsPerSecond is how often a reader
	// reads the list of upstreams if they may be sent requests for 4 s after they leave. Both end
	// the long polls of followers.
	plansPerSecond         = 2
	upstreamReadsPerSecond = 0.67
	// headerBytesPerCall is the size of the TCP and IP headers of a call: two packets and their
	// acknowledgements.
	headerBytesPerCall = 208
	// maxLoadBytesPerCall is the maximum size of the numbers of requests in progress in a call:
	// those of 40 engines and 8 prompts, of 4 bytes each.
	maxLoadBytesPerCall = 192
	// maxPlanBytes is the maximum size of a plan, unless it has many pools: besides
	// planBytesPerPool for each pool, a plan always names some engines, in minPlanEngineBytes.
	maxPlanBytes       = 172
	planBytesPerPool   = 7
	minPlanEngineBytes = 64
	// maxPlanBytesPerSecond is the bandwidth that a host may use for plans to all its followers.
	maxPlanBytesPerSecond = 700
	// upstreamEntryBytes is the size of the entry that an upstream writes to the store every
	// entryIntervalSeconds.
	upstreamEntryBytes   = 250
	entryIntervalSeconds = 1.2
	maxCachedPrompts     = 16384
	snapshotsPerSecond   = 0.25
)

// readsPerReader returns the calls per second of a reader to the store: reads of the configuration,
// which are long polls of an eighth of the maximum configuration delay and at most one second, of
// the upstreams, and of notices.
func (d deployment) readsPerReader() float64 {
	return math.Max(1, 8/d.maxConfigDelaySeconds) + 1.33 + 0.33
}

func (d deployment) readerCount() float64 { return readersPerRegion * d.hosts / d.hostsPerRegion }

// hostsPerFailureDomain returns the number of hosts in a failure domain. The target has four
// domains; the deployments of today have three, for which the result is the same.
func (d deployment) hostsPerFailureDomain() float64 { return math.Ceil(d.hosts / 4) }

// treeDepth returns the number of levels in the tree of hosts that follow a reader.
func (d deployment) treeDepth() float64 {
	depth, reached := 1.0, 1.0
	for width := 1.0; reached < d.hostsPerFailureDomain(); depth++ {
		width *= fanOut
		reached += width
	}
	return depth
}

// planBytes returns the maximum size of a plan.
func (d deployment) planBytes() float64 {
	return math.Max(maxPlanBytes, planBytesPerPool*d.pools+minPlanEngineBytes)
}

// plansPerFollower returns the plans per second that a follower receives.
func (d deployment) plansPerFollower() float64 {
	return math.Min(plansPerSecond, maxPlanBytesPerSecond/(fanOut*d.planBytes()))
}

// linkBytesPerSecond returns the bytes per second between a host and one follower.
func (m model) linkBytesPerSecond(d deployment) float64 {
	calls := (plansPerSecond + upstreamReadsPerSecond) * (m.cost("follow-bytes", d.upstreams) + headerBytesPerCall)
	return calls + plansPerSecond*maxLoadBytesPerCall + d.plansPerFollower()*d.planBytes()
}

// interiorBytesPerSecond returns the bytes per second of a host with followers, leafBytesPerSecond
// of one without.
func (m model) interiorBytesPerSecond(d deployment) float64 {
	return (fanOut + 1) * m.linkBytesPerSecond(d)
}
func (m model) leafBytesPerSecond(d deployment) float64 { return m.linkBytesPerSecond(d) }

// entryBytesPerSecond returns the bytes per second that all upstreams write as entries; a reader
// reads all of them.
func (d deployment) entryBytesPerSecond() float64 {
	return d.upstreams * upstreamEntryBytes / entryIntervalSeconds
}

func (m model) hostCores(d deployment, neighbors float64) float64 {
	ns := neighbors * (upstreamReadsPerSecond*m.cost("follow-time", d.upstreams) + plansPerSecond*m.cost("plan-time", d.upstreams))
	ns += snapshotsPerSecond * m.cost("snapshot-time", d.upstreams)
	ns += d.requestsPerSecond / d.hosts * m.cost("choose-time", d.poolSize())
	return ns / 1e9
}

func (m model) platformMemoryBytes(d deployment) float64 {
	return maxCachedPrompts*m.slope("warmth-bytes") + 2*m.cost("snapshot-bytes", d.upstreams)
}

// writePlatform writes the tables of hosts on the users' platform.
func (m model) writePlatform(b *strings.Builder) {
	b.WriteString("\n### On the users' platform\n\n| role | item | mechanism | " + deploymentNames() + " |\n|---|---|---|---|---|---|\n")
	rows := []row{
		{"traffic", "one choice of an upstream", "rendezvous hashing under a bound, one pass", formatMicroseconds, func(d deployment) float64 { return m.cost("choose-time", d.poolSize()) }},
		{"traffic", "where prompts are cached", "LRU of 16,384 prompts a node", formatMegabytes, func(deployment) float64 { return maxCachedPrompts * m.slope("warmth-bytes") }},
		{"control", "hosts that read the store", "2 of each region", formatNumber, deployment.readerCount},
		{"control", "steps from one to the last host", "a tree, 2 below each", formatNumber, deployment.treeDepth},
		{"control", "calls to the store, all hosts", "readers alone", formatNumber, func(d deployment) float64 { return d.readerCount() * d.readsPerReader() }},
		{"control", "calls to the store, if each host read it", "(not so)", formatNumber, func(d deployment) float64 { return d.hosts * d.readsPerReader() }},
		{"control", "between two plans at a host", "by budget", formatSeconds, func(d deployment) float64 { return 1 / d.plansPerFollower() }},
		{"host that none follows", "bytes, both ways, headers included", "net/rpc, what has changed", formatBytesPerSecond, m.leafBytesPerSecond},
		{"host that others follow", "bytes, both ways, headers included", "the same, three times", formatBytesPerSecond, m.interiorBytesPerSecond},
		{"host that others follow", "share of a core", "", formatPercent, func(d deployment) float64 { return m.hostCores(d, fanOut+1) }},
		{"reader", "bytes from the store besides", "all that upstreams write of themselves", formatBytesPerSecond, deployment.entryBytesPerSecond},
		{"control", "a new snapshot", "whole, rebuilt on change", formatMilliseconds, func(d deployment) float64 { return m.cost("snapshot-time", d.upstreams) }},
		{"control", "memory", "snapshots and warm prompts", formatMegabytes, m.platformMemoryBytes},
	}
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s | %s |", r.role, r.item, r.mechanism)
		for _, d := range deployments {
			fmt.Fprintf(b, " %s |", r.format(r.value(d)))
		}
		b.WriteString("\n")
	}
	target := deployments[len(deployments)-1]
	b.WriteString("\n| budget of one node at the target | allowed | none follow | others follow | reader | fits |\n|---|---|---|---|---|---|\n")
	budget := func(name string, limit float64, format func(float64) string, values ...float64) {
		withinBudget := "yes"
		for i, role := range []string{"all", "hosts that others follow", "readers"} {
			if values[i] > limit {
				withinBudget = "**NO** for " + role
				break
			}
		}
		fmt.Fprintf(b, "| %s | %s | %s | %s | %s | %s |\n", name, format(limit), format(values[0]), format(values[1]), format(values[2]), withinBudget)
	}
	memory := m.platformMemoryBytes(target)
	budget("control, share of a core", cpuBudget, formatPercent, m.hostCores(target, 1), m.hostCores(target, fanOut+1), m.hostCores(target, fanOut+1))
	budget("control, memory", memoryBudget, formatMegabytes, memory, memory, memory)
	budget("control, bytes both ways", bandwidthBudget, formatBytesPerSecond, m.leafBytesPerSecond(target), m.interiorBytesPerSecond(target), m.interiorBytesPerSecond(target)+target.entryBytesPerSecond())
	mean := (m.leafBytesPerSecond(target)*(1-1.0/fanOut) + m.interiorBytesPerSecond(target)/fanOut) + target.entryBytesPerSecond()*target.readerCount()/target.hosts
	fmt.Fprintf(b, "\nIn the mean over all hosts, readers included: %s.\n", formatBytesPerSecond(mean))
}
