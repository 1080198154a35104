package plan

import (
	"fmt"
	"math"
	"strings"

	"jackdawhinge/capacity/internal/marked"
)

// The budgets of one node.
const (
	cpuBudget    = 0.035
	memoryBudget = 64 << 20
	byteBudget   = 5 << 10
	appendBudget = 300
)

// What the code does, and how often; the tables are wrong where these differ from it.
const (
	exchangesASecond   = 2
	rowsAnExchange     = 12
	pollsASecond       = 0.5
	pollBytes          = 420
	listPollBytes      = 90
	longPollSeconds    = 30
	longPollBytes      = 400
	checkpointSeconds  = 600
	partitions         = 128
	appendsASecond     = 1.25
	recordEnvelope     = 28
	claimCallBytes     = 263
	secondsADay        = 86400
	evidenceViewsADay  = 2000
	processBaseBytes   = 22 << 20
	streamBytes        = 24 << 10
	claimShare         = 0.02
	retentionSeconds   = 3600
	meanAnswerSeconds  = 10
	movedShare         = 0.25
	hostReplacements   = 102
	upstreamListEvents = 200
)

// A size is a deployment.
type size struct {
	name                                                       string
	nodes, upstreams, hostsPerRegion, pools, workspaces, chats float64
	requests, tokens, changes                                  float64
	// inForce is within how many seconds a changed configuration must be in force.
	inForce float64
}

var sizes = []size{
	{"letters today", 9, 14, 9, 2, 10, 5e3, 50, 1.4e4, 20, 2},
	{"register today", 9, 23, 9, 2, 10, 5e3, 80, 2.3e4, 20, 2},
	{"target", 360, 880, 180, 23, 620, 1.8e6, 14000, 4e6, 2400, 18},
}

// row is one line of the table: the mechanism that carries an item, and its figures at each size.
type row struct {
	role, item, mechanism string
	format                func(float64) string
	at                    func(size) float64
}

type model struct {
	slopes map[string]Slope
}

func (m model) at(name string, x float64) float64 {
	s := m.slopes[name]
	return math.Max(s.At(x), 0)
}

func (m model) perOne(name string) float64 { return m.slopes[name].PerOne }

func (s size) poolSize() float64    { return s.upstreams / s.pools }
func (s size) owned() float64       { return s.upstreams / s.nodes }
func (s size) rows() float64        { return math.Min(s.poolSize(), rowsAnExchange) }
func (s size) claims() float64      { return s.requests * claimShare }
func (s size) viewsADay() float64   { return s.changes + evidenceViewsADay + upstreamListEvents }
func (s size) partsANode() float64  { return math.Max(1, partitions/s.nodes) }
func (s size) claimsApart() float64 { return s.claims() / partitions }

// exchange returns the bytes of one exchange, both ways.
func (m model) exchange(s size) float64 {
	e := m.slopes["exchange-bytes"]
	return e.Intercept + 2*e.PerOne*s.rows()
}

func (m model) configurationBytes(s size) float64 {
	changes := s.changes / secondsADay * 234
	checkpoint := m.at("checkpoint-bytes", s.workspaces) / checkpointSeconds
	return changes + checkpoint + longPollBytes/longPollSeconds
}

func (m model) listBytes(s size) float64 {
	changed := (hostReplacements + upstreamListEvents) * s.nodes / 360 * m.at("host-list-bytes", s.nodes+s.upstreams) / secondsADay
	return listPollBytes + changed
}

func (m model) claimBytes(s size) float64 {
	log := s.partsANode() * (s.claimsApart()*(m.perOne("claim-log-bytes")+2*recordEnvelope)*2 + longPollBytes/longPollSeconds)
	calls := (s.claims()/s.nodes + s.partsANode()*s.claimsApart()) * claimCallBytes
	return log + calls
}

func (m model) controlBytes(s size) float64 {
	// Each host asks exchangesASecond times and is asked as often.
	return 2*exchangesASecond*m.exchange(s) + s.owned()*pollsASecond*pollBytes + m.configurationBytes(s) + m.listBytes(s) + m.claimBytes(s)
}

func (m model) controlCPU(s size) float64 {
	ns := 2*exchangesASecond*m.at("exchange-time", 2*s.rows()) + s.owned()*pollsASecond*1e5
	ns += s.viewsADay() / secondsADay * m.at("view-time", s.upstreams)
	ns += s.changes / secondsADay * m.at("change-time", s.workspaces)
	ns += s.partsANode() * s.claimsApart() * 2 * m.perOne("claim-time")
	ns += s.requests / s.nodes * 2 * m.at("decision", s.poolSize())
	return ns / 1e9
}

func (m model) controlMemory(s size) float64 {
	moved := math.Min(s.chats*movedShare/s.nodes, 1<<16) * m.perOne("moved-chat-bytes")
	view := m.at("view-bytes-upstream", s.upstreams) + m.perOne("view-bytes-host")*s.hostsPerRegion
	claims := s.partsANode() * s.claimsApart() * retentionSeconds * m.perOne("claim-memory")
	return moved + view + 3*m.at("checkpoint-bytes", s.workspaces) + claims
}

func (m model) table() []row {
	return []row{
		{"traffic", "requests/s a node", "platform's balancer", number, func(s size) float64 { return s.requests / s.nodes }},
		{"traffic", "tokens/s a node, over two hops", "streamed frame by frame", number, func(s size) float64 { return 2 * s.tokens / s.nodes }},
		{"traffic", "answers in progress a node, as entry and as owner", "one goroutine and buffers each", number, func(s size) float64 { return 2 * s.requests / s.nodes * meanAnswerSeconds }},
		{"traffic", "memory for them", "buffers, bounded by limits", megabytes, func(s size) float64 { return processBaseBytes + 2*s.requests/s.nodes*meanAnswerSeconds*streamBytes }},
		{"traffic", "cores for them, callers and engine included", "two copies a token", number, func(s size) float64 {
			return s.tokens / s.nodes * m.perOne("token-time") / 1e9
		}},
		{"traffic", "one decision", "rendezvous hashing over the pool", micro, func(s size) float64 { return m.at("decision", s.poolSize()) }},
		{"control", "upstreams owned a node", "sharded: rendezvous hashing over entry hosts", number, size.owned},
		{"control", "view", "whole, rebuilt on change", megabytes, func(s size) float64 {
			return m.at("view-bytes-upstream", s.upstreams) + m.perOne("view-bytes-host")*s.hostsPerRegion
		}},
		{"control", "a new view, on each change of list, configuration or evidence", "whole, rebuilt on change", milli, func(s size) float64 {
			return m.at("view-time", s.upstreams)
		}},
		{"control", "moved chats remembered", "sharded by owner, LRU of 65,536", megabytes, func(s size) float64 {
			return math.Min(s.chats*movedShare/s.nodes, 1<<16) * m.perOne("moved-chat-bytes")
		}},
		{"control", "load rows, both ways", "sampled: 12 rows, twice a second, inside a pool", perSecond, func(s size) float64 { return 2 * exchangesASecond * m.exchange(s) }},
		{"control", "load reports of own upstreams", "sharded by owner", perSecond, func(s size) float64 { return s.owned() * pollsASecond * pollBytes }},
		{"control", "configuration stream", "small changes, a checkpoint each 10 min", perSecond, m.configurationBytes},
		{"control", "host list", "whole list, compressed, on change only", perSecond, m.listBytes},
		{"claims", "claims/s in the fleet (2 in 100 requests)", "128 partitions", number, size.claims},
		{"claims", "appends/s in the fleet, at most", "batched: one append each 800 ms a partition", number, func(s size) float64 {
			return math.Min(partitions*appendsASecond, 2*s.claims())
		}},
		{"claims", "bytes, both ways, a node that owns partitions", "sharded by owner", perSecond, m.claimBytes},
		{"claims", "claims kept (1 h), a node that owns partitions", "forgotten with the log's retention", megabytes, func(s size) float64 {
			return s.partsANode() * s.claimsApart() * retentionSeconds * m.perOne("claim-memory")
		}},
		{"checkpoint", "one checkpoint", "its owner, or any host a turn later", megabytes, func(s size) float64 { return m.at("checkpoint-bytes", s.workspaces) }},
		{"command line", "apply --wait", "on demand: one call a host, 32 at a time", number, func(s size) float64 { return s.nodes }},
	}
}

// Tables returns the slopes, the figures at each size and the budgets as Markdown.
func Tables(slopes []Slope) string {
	m := model{slopes: map[string]Slope{}}
	var b strings.Builder
	b.WriteString("### Slopes\n\n| slope | benchmark | unit | per one | intercept | worst distance from the line |\n|---|---|---|---|---|---|\n")
	for _, s := range slopes {
		m.slopes[s.Name] = s
		fmt.Fprintf(&b, "| %s | `%s` | %s | %.4g | %.4g | %.0f%% |\n", s.Name, s.Benchmark, s.Unit, s.PerOne, s.Intercept, 100*s.Worst)
	}
	b.WriteString("\n### Figures\n\n| role | item | mechanism | " + names() + " |\n|---|---|---|---|---|---|\n")
	for _, r := range m.table() {
		fmt.Fprintf(&b, "| %s | %s | %s |", r.role, r.item, r.mechanism)
		for _, s := range sizes {
			fmt.Fprintf(&b, " %s |", r.format(r.at(s)))
		}
		b.WriteString("\n")
	}
	m.budgets(&b)
	m.platform(&b)
	return b.String()
}

func names() string {
	var all []string
	for _, s := range sizes {
		all = append(all, s.name)
	}
	return strings.Join(all, " | ")
}

func (m model) budgets(b *strings.Builder) {
	target := sizes[len(sizes)-1]
	b.WriteString("\n### Budgets at the target size\n\n| budget of one node | allowed | worked out | used | fits |\n|---|---|---|---|---|\n")
	rows := []struct {
		name   string
		limit  float64
		value  float64
		format func(float64) string
	}{
		{"control, share of a core", cpuBudget, m.controlCPU(target), percent},
		{"control, memory", memoryBudget, m.controlMemory(target), megabytes},
		{"control, bytes both ways", byteBudget, m.controlBytes(target), perSecond},
		{"appends/s of the whole fleet", appendBudget, math.Min(partitions*appendsASecond, 2*target.claims()), number},
		{"appends/s with configuration", appendBudget, math.Min(partitions*appendsASecond, 2*target.claims()) + target.changes/secondsADay + 1.0/checkpointSeconds, number},
	}
	for _, r := range rows {
		fits := "yes"
		if r.value > r.limit {
			fits = "**NO**"
		}
		fmt.Fprintf(b, "| %s | %s | %s | %.0f%% | %s |\n", r.name, r.format(r.limit), r.format(r.value), 100*r.value/r.limit, fits)
	}
}

func number(v float64) string    { return fmt.Sprintf("%.3g", v) }
func micro(v float64) string     { return fmt.Sprintf("%.2g µs", v/1e3) }
func milli(v float64) string     { return fmt.Sprintf("%.2g ms", v/1e6) }
func percent(v float64) string   { return fmt.Sprintf("%.2f%%", 100*v) }
func perSecond(v float64) string { return fmt.Sprintf("%.0f B/s", v) }
func seconds(v float64) string   { return fmt.Sprintf("%.2g s", v) }
func megabytes(v float64) string { return fmt.Sprintf("%.2g MB", v/(1<<20)) }

// The marks between which the page's tables stand.
const (
	beginMark = "<!-- begin worked out by capacity table -->"
	endMark   = "<!-- end worked out by capacity table -->"
)

// Replace returns the page with the tables between its marks replaced.
func Replace(page, tables string) (string, error) {
	return marked.Insert(page, beginMark, endMark, tables)
}
