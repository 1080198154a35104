// Package marked replaces what stands between two marks of a page.
package marked

import (
	"fmt"
	"strings"
)

// Insert returns the page with the text between its marks replaced.
func Insert(page, begin, end, text string) (string, error) {
	before, rest, ok := strings.Cut(page, begin)
	_, after, ok2 := strings.Cut(rest, end)
	if !ok || !ok2 {
		return "", fmt.Errorf("the page lacks the marks %q and %q", begin, end)
	}
	return before + begin + "\n\n" + text + "\n" + end + after, nil
}
