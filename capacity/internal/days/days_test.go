package days

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestTables(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600))
	}
	write("2.json", `{"id":"b","at":["2026-01-02"],"cmd":"score","why":"second","site":"letters","score":0.9,"days":[
		{"name":"quiet-1","G":0.88,"served":0.99,"rules":{},"prices":[["bytes",1,0.02],["calls",1,0.001]]},
		{"name":"trouble-1","G":0.7,"served":0.9,"rules":{"LOST":3},"prices":[]}]}`)
	write("1.json", `{"id":"a","at":["2026-01-01"],"cmd":"hunt","why":"first","site":"letters","score":null,"days":[{"name":"mix","G":0.8,"served":0.95,"rules":{}}]}`)
	write("3.json", `{"id":"c","at":["2026-01-03"],"cmd":"score","why":"some days","mode":"quick","site":"letters","score":0.1,"days":[]}`)
	write("0.json", `{"id":"z","at":["2025-12-31"],"cmd":"score","why":"before","site":"letters","score":0.5,"days":[]}`)
	page, err := Tables(dir, "2026-01-01")
	require.NoError(t, err)
	require.Equal(t, `## letters

| entry | what was changed | score | worth of its days | promises broken |
|---|---|---|---|---|
| b | second | 0.900 | quiet-1 0.880, trouble-1 0.700 | trouble-1: LOST 3 |

| entry | days of other luck | days | least served | promises broken |
|---|---|---|---|---|
| a | first | 1 | 0.950 | none |

Prices of at least 0.01 in b:

| day | served | prices |
|---|---|---|
| quiet-1 | 0.990 | bytes 0.020 |
| trouble-1 | 0.900 | none |

`, page)
}

func TestInvalidJournalEntry(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "1.json"), []byte("{"), 0o600))
	_, err := Tables(dir, "2026-01-01")
	require.ErrorContains(t, err, "1.json")
}
