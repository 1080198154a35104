package traffic

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCacheKeyAndSharedTokens(t *testing.T) {
	for name, test := range map[string]struct {
		prompt []PromptPart
		tokens int
		shared bool
	}{
		"no prompt":            {nil, 0, false},
		"one part":             {[]PromptPart{{"a", 800}}, 800, true},
		"unshared last part":   {[]PromptPart{{"a", 800}, {"b", 50}}, 800, true},
		"several shared parts": {[]PromptPart{{"a", 800}, {"b", 50}, {"c", 7}}, 850, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Request{Prompt: test.prompt}
			_, shared := r.CacheKey()
			require.Equal(t, test.shared, shared)
			require.Equal(t, test.tokens, r.SharedTokens())
		})
	}
}

func TestSharedPartIDs(t *testing.T) {
	var long []PromptPart
	for n := range 1000 {
		long = append(long, PromptPart{ID: strconv.Itoa(n)})
	}
	for name, test := range map[string]struct {
		prompt []PromptPart
		want   []string
	}{
		"no prompt":           {nil, nil},
		"one part":            {[]PromptPart{{"a", 800}}, nil},
		"several parts":       {[]PromptPart{{"a", 800}, {"b", 50}, {"c", 7}}, []string{"a", "b"}},
		"a part twice":        {[]PromptPart{{"a", 800}, {"b", 50}, {"a", 800}, {"c", 7}}, []string{"a", "b"}},
		"last part is shared": {[]PromptPart{{"a", 800}, {"a", 800}}, []string{"a"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := &Request{Prompt: test.prompt}
			require.Equal(t, test.want, r.SharedPartIDs())
		})
	}
	r := &Request{Prompt: long}
	require.Len(t, r.SharedPartIDs(), maxSharedParts)
}
