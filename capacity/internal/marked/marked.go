// Package marked replaces the text between two markers of a page. Packages plan and cmd use it to
// update the generated parts of pages.
package marked

import (
	"fmt"
	"strings"
)

// Replace returns the page with the text between the markers begin and end replaced. It returns an
// error if a marker is missing.
func Replace(page, begin, end, text string) (string, error) {
	before, rest, hasBegin := strings.Cut(page, begin)
	_, after, hasEnd := strings.Cut(rest, end)
	if !hasBegin || !hasEnd {
		return "", fmt.Errorf("replace generated text: the page lacks the marker %q or %q", begin, end)
	}
	return before + begin + "\n\n" + text + "\n" + end + after, nil
}
