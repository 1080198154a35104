package plan

import (
	"fmt"
	"math"
	"strings"

	"jackdawhinge/capacity/internal/marked"
)

// The budgets of one host: the ratio of a core, bytes of memory, bytes per second, and appends per
// second of the whole fleet.
const (
	cpuBudget       = 0.035
	memoryBudget    = 64 << 20
	bandwidthBudget = 5 << 10
	appendBudget    = 300
)

// Rates and sizes of the implementation. They must match the code, or the tables are wrong.
const (
	exchangesPerSecond           = 2
	maxRowsPerExchange           = 12
	loadPollsPerSecond           = 0.5
	loadPollBytes                = 420
	hostListPollBytesPerSecond   = 90
	longPollSeconds              = 30
	longPollBytes                = 400
	checkpointIntervalSeconds    = 600
	partitions                   = 128
	maxAppendsPerPartitionSecond = 1.25
	recordEnvelopeBytes          = 28
	claimCallBytes               = 263
	secondsPerDay                = 86400
	evidenceChangesPerDay        = 2000
	processBaseBytes             = 22 << 20
	bytesPerStream               = 24 << 10
	claimRatio                   = 0.02
	retentionSeconds             = 3600
	meanResponseSeconds          = 10
	movedChatRatio               = 0.25
	hostReplacementsPerDay       = 102
	upstreamChangesPerDay        = 200
)

// A deployment is the size and the traffic of a fleet.
type deployment struct {
	name                                                       string
	hosts, upstreams, hostsPerRegion, pools, workspaces, chats float64
	requestsPerSecond, tokensPerSecond, configChangesPerDay    float64
	// maxConfigDelaySeconds is how long a changed configuration may take to be in force on all
	// hosts.
	maxConfigDelaySeconds float64
}

var deployments = []deployment{
	{"letters today", 9, 14, 9, 2, 10, 5e3, 50, 1.4e4, 20, 2},
	{"register today", 9, 23, 9, 2, 10, 5e3, 80, 2.3e4, 20, 2},
	{"target", 360, 880, 180, 23, 620, 1.8e6, 14000, 4e6, 2400, 18},
}

// row is one line of a table: an item, the mechanism that implements it, and its value in each
// deployment.
type row struct {
	role, item, mechanism string
	format                func(float64) string
	value                 func(deployment) float64
}

type model struct {
	fits map[string]LinearFit
}

func (m model) cost(name string, size float64) float64 {
	f := m.fits[name]
	return math.Max(f.Predict(size), 0)
}

func (m model) slope(name string) float64 { return m.fits[name].Slope }

func (d deployment) poolSize() float64         { return d.upstreams / d.pools }
func (d deployment) upstreamsPerHost() float64 { return d.upstreams / d.hosts }
func (d deployment) rowsPerExchange() float64  { return math.Min(d.poolSize(), maxRowsPerExchange) }
func (d deployment) claimsPerSecond() float64  { return d.requestsPerSecond * claimRatio }
func (d deployment) viewChangesPerDay() float64 {
	return d.configChangesPerDay + evidenceChangesPerDay + upstreamChangesPerDay
}
func (d deployment) partitionsPerHost() float64        { return math.Max(1, partitions/d.hosts) }
func (d deployment) partitionClaimsPerSecond() float64 { return d.claimsPerSecond() / partitions }

// exchangeBytes returns the bytes of one exchange in both directions.
func (m model) exchangeBytes(d deployment) float64 {
	fit := m.fits["exchange-bytes"]
	return fit.Intercept + 2*fit.Slope*d.rowsPerExchange()
}

func (m model) configBytesPerSecond(d deployment) float64 {
	changes := d.configChangesPerDay / secondsPerDay * 234
	checkpoint := m.cost("checkpoint-bytes", d.workspaces) / checkpointIntervalSeconds
	return changes + checkpoint + longPollBytes/longPollSeconds
}

func (m model) hostListBytesPerSecond(d deployment) float64 {
	changed := (hostReplacementsPerDay + upstreamChangesPerDay) * d.hosts / 360 * m.cost("host-list-bytes", d.hosts+d.upstreams) / secondsPerDay
	return hostListPollBytesPerSecond + changed
}

func (m model) claimBytesPerSecond(d deployment) float64 {
	log := d.partitionsPerHost() * (d.partitionClaimsPerSecond()*(m.slope("claim-log-bytes")+2*recordEnvelopeBytes)*2 + longPollBytes/longPollSeconds)
	calls := (d.claimsPerSecond()/d.hosts + d.partitionsPerHost()*d.partitionClaimsPerSecond()) * claimCallBytes
	return log + calls
}

func (m model) controlBytesPerSecond(d deployment) float64 {
	// Each host starts exchangesPerSecond exchanges and is asked for as many.
	return 2*exchangesPerSecond*m.exchangeBytes(d) + d.upstreamsPerHost()*loadPollsPerSecond*loadPollBytes + m.configBytesPerSecond(d) + m.hostListBytesPerSecond(d) + m.claimBytesPerSecond(d)
}

func (m model) controlCores(d deployment) float64 {
	ns := 2*exchangesPerSecond*m.cost("exchange-time", 2*d.rowsPerExchange()) + d.upstreamsPerHost()*loadPollsPerSecond*1e5
	ns += d.viewChangesPerDay() / secondsPerDay * m.cost("view-time", d.upstreams)
	ns += d.configChangesPerDay / secondsPerDay * m.cost("change-time", d.workspaces)
	ns += d.partitionsPerHost() * d.partitionClaimsPerSecond() * 2 * m.slope("claim-time")
	ns += d.requestsPerSecond / d.hosts * 2 * m.cost("decision", d.poolSize())
	return ns / 1e9
}

func (m model) controlMemoryBytes(d deployment) float64 {
	moved := math.Min(d.chats*movedChatRatio/d.hosts, 1<<16) * m.slope("moved-chat-bytes")
	view := m.cost("view-bytes-upstream", d.upstreams) + m.slope("view-bytes-host")*d.hostsPerRegion
	claims := d.partitionsPerHost() * d.partitionClaimsPerSecond() * retentionSeconds * m.slope("claim-memory")
	return moved + view + 3*m.cost("checkpoint-bytes", d.workspaces) + claims
}

func (m model) rows() []row {
	return []row{
		{"traffic", "requests/s a node", "platform's balancer", formatNumber, func(d deployment) float64 { return d.requestsPerSecond / d.hosts }},
		{"traffic", "tokens/s a node, over two hops", "streamed frame by frame", formatNumber, func(d deployment) float64 { return 2 * d.tokensPerSecond / d.hosts }},
		{"traffic", "answers in progress a node, as entry and as owner", "one goroutine and buffers each", formatNumber, func(d deployment) float64 { return 2 * d.requestsPerSecond / d.hosts * meanResponseSeconds }},
		{"traffic", "memory for them", "buffers, bounded by limits", formatMegabytes, func(d deployment) float64 {
			return processBaseBytes + 2*d.requestsPerSecond/d.hosts*meanResponseSeconds*bytesPerStream
		}},
		{"traffic", "cores for them, callers and engine included", "two copies a token", formatNumber, func(d deployment) float64 {
			return d.tokensPerSecond / d.hosts * m.slope("token-time") / 1e9
		}},
		{"traffic", "one decision", "rendezvous hashing over the pool", formatMicroseconds, func(d deployment) float64 { return m.cost("decision", d.poolSize()) }},
		{"control", "upstreams owned a node", "sharded: rendezvous hashing over entry hosts", formatNumber, deployment.upstreamsPerHost},
		{"control", "view", "whole, rebuilt on change", formatMegabytes, func(d deployment) float64 {
			return m.cost("view-bytes-upstream", d.upstreams) + m.slope("view-bytes-host")*d.hostsPerRegion
		}},
		{"control", "a new view, on each change of list, configuration or evidence", "whole, rebuilt on change", formatMilliseconds, func(d deployment) float64 {
			return m.cost("view-time", d.upstreams)
		}},
		{"control", "moved chats remembered", "sharded by owner, LRU of 65,536", formatMegabytes, func(d deployment) float64 {
			return math.Min(d.chats*movedChatRatio/d.hosts, 1<<16) * m.slope("moved-chat-bytes")
		}},
		{"control", "load rows, both ways", "sampled: 12 rows, twice a second, inside a pool", formatBytesPerSecond, func(d deployment) float64 { return 2 * exchangesPerSecond * m.exchangeBytes(d) }},
		{"control", "load reports of own upstreams", "sharded by owner", formatBytesPerSecond, func(d deployment) float64 { return d.upstreamsPerHost() * loadPollsPerSecond * loadPollBytes }},
		{"control", "configuration stream", "small changes, a checkpoint each 10 min", formatBytesPerSecond, m.configBytesPerSecond},
		{"control", "host list", "whole list, compressed, on change only", formatBytesPerSecond, m.hostListBytesPerSecond},
		{"claims", "claims/s in the fleet (2 in 100 requests)", "128 partitions", formatNumber, deployment.claimsPerSecond},
		{"claims", "appends/s in the fleet, at most", "batched: one append each 800 ms a partition", formatNumber, func(d deployment) float64 {
			return math.Min(partitions*maxAppendsPerPartitionSecond, 2*d.claimsPerSecond())
		}},
		{"claims", "bytes, both ways, a node that owns partitions", "sharded by owner", formatBytesPerSecond, m.claimBytesPerSecond},
		{"claims", "claims kept (1 h), a node that owns partitions", "forgotten with the log's retention", formatMegabytes, func(d deployment) float64 {
			return d.partitionsPerHost() * d.partitionClaimsPerSecond() * retentionSeconds * m.slope("claim-memory")
		}},
		{"checkpoint", "one checkpoint", "its owner, or any host a turn later", formatMegabytes, func(d deployment) float64 { return m.cost("checkpoint-bytes", d.workspaces) }},
		{"command line", "apply --wait", "on demand: one call a host, 32 at a time", formatNumber, func(d deployment) float64 { return d.hosts }},
	}
}

// Tables returns the fits, the values in each deployment and the budgets as Markdown tables.
func Tables(fits []LinearFit) string {
	m := model{fits: map[string]LinearFit{}}
	var b strings.Builder
	b.WriteString("### Slopes\n\n| slope | benchmark | unit | per one | intercept | worst distance from the line |\n|---|---|---|---|---|---|\n")
	for _, f := range fits {
		m.fits[f.Name] = f
		fmt.Fprintf(&b, "| %s | `%s` | %s | %.4g | %.4g | %.0f%% |\n", f.Name, f.Benchmark, f.Unit, f.Slope, f.Intercept, 100*f.MaxRelativeError)
	}
	b.WriteString("\n### Figures\n\n| role | item | mechanism | " + deploymentNames() + " |\n|---|---|---|---|---|---|\n")
	for _, r := range m.rows() {
		fmt.Fprintf(&b, "| %s | %s | %s |", r.role, r.item, r.mechanism)
		for _, d := range deployments {
			fmt.Fprintf(&b, " %s |", r.format(r.value(d)))
		}
		b.WriteString("\n")
	}
	m.writeBudgets(&b)
	m.writePlatform(&b)
	return b.String()
}

func deploymentNames() string {
	var names []string
	for _, d := range deployments {
		names = append(names, d.name)
	}
	return strings.Join(names, " | ")
}

func (m model) writeBudgets(b *strings.Builder) {
	target := deployments[len(deployments)-1]
	b.WriteString("\n### Budgets at the target size\n\n| budget of one node | allowed | worked out | used | fits |\n|---|---|---|---|---|\n")
	rows := []struct {
		name   string
		limit  float64
		value  float64
		format func(float64) string
	}{
		{"control, share of a core", cpuBudget, m.controlCores(target), formatPercent},
		{"control, memory", memoryBudget, m.controlMemoryBytes(target), formatMegabytes},
		{"control, bytes both ways", bandwidthBudget, m.controlBytesPerSecond(target), formatBytesPerSecond},
		{"appends/s of the whole fleet", appendBudget, math.Min(partitions*maxAppendsPerPartitionSecond, 2*target.claimsPerSecond()), formatNumber},
		{"appends/s with configuration", appendBudget, math.Min(partitions*maxAppendsPerPartitionSecond, 2*target.claimsPerSecond()) + target.configChangesPerDay/secondsPerDay + 1.0/checkpointIntervalSeconds, formatNumber},
	}
	for _, r := range rows {
		withinBudget := "yes"
		if r.value > r.limit {
			withinBudget = "**NO**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.0f%% | %s |\n", r.name, r.format(r.limit), r.format(r.value), 100*r.value/r.limit, withinBudget)
	}
}

func formatNumber(v float64) string         { return fmt.Sprintf("%.3g", v) }
func formatMicroseconds(v float64) string   { return fmt.Sprintf("%.2g µs", v/1e3) }
func formatMilliseconds(v float64) string   { return fmt.Sprintf("%.2g ms", v/1e6) }
func formatPercent(v float64) string        { return fmt.Sprintf("%.2f%%", 100*v) }
func formatBytesPerSecond(v float64) string { return fmt.Sprintf("%.0f B/s", v) }
func formatSeconds(v float64) string        { return fmt.Sprintf("%.2g s", v) }
func formatMegabytes(v float64) string      { return fmt.Sprintf("%.2g MB", v/(1<<20)) }

// The markers around the tables of the page.
const (
	beginMarker = "<!-- begin worked out by capacity table -->"
	endMarker   = "<!-- end worked out by capacity table -->"
)

// ReplaceTables returns the page with the tables between its markers replaced. It returns an error
// if a marker is missing.
func ReplaceTables(page, tables string) (string, error) {
	return marked.Replace(page, beginMarker, endMarker, tables)
}
