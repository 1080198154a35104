package days

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// kindScore and kindHunt are the kinds of entries that the tables show; hunts replay days with
// other random seeds.
const (
	kindScore = "score"
	kindHunt  = "hunt"
	// modeQuick marks entries with only some of a site's days; the tables leave them out.
	modeQuick = "quick"
)

// entry is one entry of the journal, a measurement of the days of a site.
type entry struct {
	ID        string   `json:"id"`
	StartedAt []string `json:"at"`
	Kind      string   `json:"cmd"`
	Reason    string   `json:"why"`
	Mode      string   `json:"mode"`
	Site      string   `json:"site"`
	Score     *float64 `json:"score"`
	Days      []day    `json:"days"`
}

// day is the result of one measured day. Prices are rows of name, amount and ratio of the worth.
type day struct {
	Worth      float64        `json:"G"`
	Name       string         `json:"name"`
	Violations map[string]int `json:"rules"`
	Served     float64        `json:"served"`
	Prices     [][]any        `json:"prices"`
	Slot       string         `json:"slot"`
}

// readEntries returns the entries of a journal in order of start, but for quick ones.
func readEntries(dir string) ([]entry, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	var entries []entry
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read journal: %w", err)
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("parse journal entry %s: %w", path, err)
		}
		if len(e.StartedAt) > 0 && e.Mode != modeQuick {
			entries = append(entries, e)
		}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return cmp.Compare(a.StartedAt[0], b.StartedAt[0]) })
	return entries, nil
}

// Tables returns, as Markdown, the tables of the entries in a journal directory that started at or
// after a time, which is compared as text. It returns an error if an entry cannot be read.
func Tables(dir, from string) (string, error) {
	entries, err := readEntries(dir)
	if err != nil {
		return "", err
	}
	bySite := map[string][]entry{}
	for _, e := range entries {
		if e.StartedAt[0] < from {
			continue
		}
		bySite[e.Site] = append(bySite[e.Site], e)
	}
	var b strings.Builder
	for _, site := range slices.Sorted(maps.Keys(bySite)) {
		writeScores(&b, site, bySite[site])
		writeHunts(&b, bySite[site])
		writePrices(&b, bySite[site])
	}
	return b.String(), nil
}

func writeScores(b *strings.Builder, site string, entries []entry) {
	fmt.Fprintf(b, "## %s\n\n| entry | what was changed | score | worth of its days | promises broken |\n|---|---|---|---|---|\n", site)
	for _, e := range entries {
		if e.Kind != kindScore || e.Score == nil {
			continue
		}
		var worths, violations []string
		for _, d := range e.Days {
			worths = append(worths, fmt.Sprintf("%s %.3f", d.Name, d.Worth))
			if len(d.Violations) > 0 {
				violations = append(violations, d.Name+": "+formatViolations(d.Violations))
			}
		}
		fmt.Fprintf(b, "| %s | %s | %.3f | %s | %s |\n", e.ID, e.Reason, *e.Score, strings.Join(worths, ", "), joinOrNone(violations))
	}
	b.WriteString("\n")
}

func writeHunts(b *strings.Builder, entries []entry) {
	rows := ""
	for _, e := range entries {
		if e.Kind != kindHunt {
			continue
		}
		var violations []string
		minServed := 1.0
		for _, d := range e.Days {
			minServed = min(minServed, d.Served)
			if len(d.Violations) > 0 {
				violations = append(violations, d.Name+": "+formatViolations(d.Violations))
			}
		}
		rows += fmt.Sprintf("| %s | %s | %d | %.3f | %s |\n", e.ID, e.Reason, len(e.Days), minServed, joinOrNone(violations))
	}
	if rows != "" {
		b.WriteString("| entry | days of other luck | days | least served | promises broken |\n|---|---|---|---|---|\n" + rows + "\n")
	}
}

// minPriceRatio is the minimum ratio of a price to the worth of its day for the table of prices.
const minPriceRatio = 0.01

// writePrices writes the table of the prices in the days of the last scored entry.
func writePrices(b *strings.Builder, entries []entry) {
	for _, e := range slices.Backward(entries) {
		if e.Kind != kindScore || e.Score == nil {
			continue
		}
		fmt.Fprintf(b, "Prices of at least %.2f in %s:\n\n| day | served | prices |\n|---|---|---|\n", minPriceRatio, e.ID)
		for _, d := range e.Days {
			fmt.Fprintf(b, "| %s | %.3f | %s |\n", d.Name, d.Served, formatPrices(d))
		}
		b.WriteString("\n")
		return
	}
}

func formatPrices(d day) string {
	var out []string
	for _, p := range d.Prices {
		const name, ratio = 0, 2
		if len(p) <= ratio {
			continue
		}
		if v, ok := p[ratio].(float64); ok && v >= minPriceRatio {
			out = append(out, fmt.Sprintf("%v %.3f", p[name], v))
		}
	}
	return joinOrNone(out)
}

func formatViolations(violations map[string]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(violations)) {
		out = append(out, fmt.Sprintf("%s %d", name, violations[name]))
	}
	return strings.Join(out, ", ")
}

func joinOrNone(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, "; ")
}
