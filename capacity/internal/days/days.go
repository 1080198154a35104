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

// scored and hunted are the kinds of entry that the page shows.
const (
	scored = "score"
	hunted = "hunt"
	// quick marks entries that played some of a site's days only.
	quick = "quick"
)

// entry is one entry of the journal.
type entry struct {
	ID    string   `json:"id"`
	Began []string `json:"at"`
	Kind  string   `json:"cmd"`
	Why   string   `json:"why"`
	Mode  string   `json:"mode"`
	Site  string   `json:"site"`
	Score *float64 `json:"score"`
	Days  []day    `json:"days"`
}

// day is one day that was played. Prices are rows of name, amount and share of the worth.
type day struct {
	Worth  float64        `json:"G"`
	Name   string         `json:"name"`
	Broken map[string]int `json:"rules"`
	Served float64        `json:"served"`
	Prices [][]any        `json:"prices"`
	Slot   string         `json:"slot"`
}

// read returns the journal's entries in the order in which they began.
func read(dir string) ([]entry, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, fmt.Errorf("read journal: %w", err)
	}
	var all []entry
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("read journal: %w", err)
		}
		var e entry
		if err := json.Unmarshal(data, &e); err != nil {
			return nil, fmt.Errorf("read journal %s: %w", path, err)
		}
		if len(e.Began) > 0 && e.Mode != quick {
			all = append(all, e)
		}
	}
	slices.SortStableFunc(all, func(a, b entry) int { return cmp.Compare(a.Began[0], b.Began[0]) })
	return all, nil
}

// Page returns the tables of scores and hunts of a journal's entries that began at a
// time or later as Markdown.
func Page(dir, from string) (string, error) {
	entries, err := read(dir)
	if err != nil {
		return "", err
	}
	bySite := map[string][]entry{}
	for _, e := range entries {
		if e.Began[0] < from {
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
		if e.Kind != scored || e.Score == nil {
			continue
		}
		var worths, broken []string
		for _, d := range e.Days {
			worths = append(worths, fmt.Sprintf("%s %.3f", d.Name, d.Worth))
			if len(d.Broken) > 0 {
				broken = append(broken, d.Name+": "+names(d.Broken))
			}
		}
		fmt.Fprintf(b, "| %s | %s | %.3f | %s | %s |\n", e.ID, e.Why, *e.Score, strings.Join(worths, ", "), orNone(broken))
	}
	b.WriteString("\n")
}

func writeHunts(b *strings.Builder, entries []entry) {
	rows := ""
	for _, e := range entries {
		if e.Kind != hunted {
			continue
		}
		var broken []string
		least := 1.0
		for _, d := range e.Days {
			least = min(least, d.Served)
			if len(d.Broken) > 0 {
				broken = append(broken, d.Name+": "+names(d.Broken))
			}
		}
		rows += fmt.Sprintf("| %s | %s | %d | %.3f | %s |\n", e.ID, e.Why, len(e.Days), least, orNone(broken))
	}
	if rows != "" {
		b.WriteString("| entry | days of other luck | days | least served | promises broken |\n|---|---|---|---|---|\n" + rows + "\n")
	}
}

// smallPrice is the share of the worth below which a price is left out.
const smallPrice = 0.01

// writePrices writes what the last score's days were charged for.
func writePrices(b *strings.Builder, entries []entry) {
	for _, e := range slices.Backward(entries) {
		if e.Kind != scored || e.Score == nil {
			continue
		}
		fmt.Fprintf(b, "Prices of at least %.2f in %s:\n\n| day | served | prices |\n|---|---|---|\n", smallPrice, e.ID)
		for _, d := range e.Days {
			fmt.Fprintf(b, "| %s | %.3f | %s |\n", d.Name, d.Served, prices(d))
		}
		b.WriteString("\n")
		return
	}
}

func prices(d day) string {
	var out []string
	for _, p := range d.Prices {
		const name, share = 0, 2
		if len(p) <= share {
			continue
		}
		if v, ok := p[share].(float64); ok && v >= smallPrice {
			out = append(out, fmt.Sprintf("%v %.3f", p[name], v))
		}
	}
	return orNone(out)
}

func names(broken map[string]int) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(broken)) {
		out = append(out, fmt.Sprintf("%s %d", name, broken[name]))
	}
	return strings.Join(out, ", ")
}

func orNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, "; ")
}
