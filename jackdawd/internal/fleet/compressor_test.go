package fleet

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/traffic"
	"jackdawhinge/jackdawd/internal/membership"
)

// configurationDocument returns a configuration document with the given number of routes.
func configurationDocument(routes int) []byte {
	var b strings.Builder
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"letters-%d.example","pathPrefix":"/path-%d/","type":"streaming","timeoutMs":12000,"objectiveMs":400,"priority":0,"service":"reader","maxAttempts":1,"public":false,"sticky":true},`, i*7919, i%9, i*104729)
	}
	return []byte(b.String())
}

func TestDocumentIsCompressedOnce(t *testing.T) {
	var c compressor[int64]
	text := configurationDocument(250)
	compressed, err := c.compress(7, func() ([]byte, error) { return text, nil })
	require.NoError(t, err)
	require.Less(t, len(compressed), len(text)/6)
	again, err := c.compress(7, func() ([]byte, error) { return nil, errors.New("compressed twice") })
	require.NoError(t, err)
	require.Equal(t, &compressed[0], &again[0])
	whole, err := decompress(compressed)
	require.NoError(t, err)
	require.Equal(t, text, whole)
	other, err := c.compress(8, func() ([]byte, error) { return []byte("x"), nil })
	require.NoError(t, err)
	require.NotEqual(t, compressed, other)
}

func TestTruncatedDocumentIsAnError(t *testing.T) {
	var c compressor[int64]
	compressed, err := c.compress(7, func() ([]byte, error) { return configurationDocument(5), nil })
	require.NoError(t, err)
	_, err = decompress(compressed[:len(compressed)/2])
	require.Error(t, err)
}

// A follower that changes its parent is sent the complete list of upstreams, which is 0.4 MB
// uncompressed for 3,000 upstreams.
func TestUpstreamListCompressesWell(t *testing.T) {
	var c compressor[membership.Position]
	var entries []traffic.UpstreamEntry
	for i := range 3000 {
		entries = append(entries, traffic.ListedEntry(traffic.Upstream{
			ID: fmt.Sprintf("i-%010x", i*2654435761%(1<<40)), Pool: "reader", Address: fmt.Sprintf("10.%d.%d.%d:8545", i%4, i%64, i%251),
			FailureDomain: "hall-a", Slots: 12, State: traffic.Ready, Sequence: int64(i), Models: []string{"m"},
		}))
	}
	compressed, err := compressUpstreams(&c, membership.Position{Epoch: 1, Next: 3000}, entries)
	require.NoError(t, err)
	require.Less(t, len(compressed), 3000*45)
	decompressed, err := decompressUpstreams(compressed)
	require.NoError(t, err)
	require.Equal(t, entries, decompressed)
	_, err = decompressUpstreams(compressed[:len(compressed)/2])
	require.Error(t, err)
}
