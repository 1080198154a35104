package marked

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestReplace(t *testing.T) {
	page, err := Replace("a <b> old <e> z", "<b>", "<e>", "new")
	require.NoError(t, err)
	require.Equal(t, "a <b>\n\nnew\n<e> z", page)
	_, err = Replace("a <e> z", "<b>", "<e>", "new")
	require.ErrorContains(t, err, "<b>")
}
