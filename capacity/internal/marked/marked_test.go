package marked

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInsert(t *testing.T) {
	page, err := Insert("a <b> old <e> z", "<b>", "<e>", "new")
	require.NoError(t, err)
	require.Equal(t, "a <b>\n\nnew\n<e> z", page)
	_, err = Insert("a <e> z", "<b>", "<e>", "new")
	require.ErrorContains(t, err, "<b>")
}
