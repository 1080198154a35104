package traffic

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSharedPartOfAPrompt(t *testing.T) {
	for name, test := range map[string]struct {
		prompt []Part
		tokens int
		shared bool
	}{
		"none":           {nil, 0, false},
		"one part":       {[]Part{{"a", 800}}, 800, true},
		"an own last":    {[]Part{{"a", 800}, {"b", 50}}, 800, true},
		"several shared": {[]Part{{"a", 800}, {"b", 50}, {"c", 7}}, 850, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Request{Prompt: test.prompt}
			_, shared := r.CacheKey()
			require.Equal(t, test.shared, shared)
			require.Equal(t, test.tokens, r.SharedTokens())
		})
	}
}
