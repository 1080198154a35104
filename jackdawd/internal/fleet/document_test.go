package fleet

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// document returns a configuration of so many routes, as an operator writes it.
func document(routes int) []byte {
	var b strings.Builder
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"r-%d","host":"letters-%d.example","pathPrefix":"/path-%d/","type":"streaming","timeoutMs":12000,"objectiveMs":400,"priority":0,"service":"reader","maxAttempts":1,"public":false,"sticky":true},`, i*7919, i%9, i*104729)
	}
	return []byte(b.String())
}

func TestDocumentsArePackedOnce(t *testing.T) {
	var p packer
	text := document(250)
	packed, err := p.pack(7, text)
	require.NoError(t, err)
	require.Less(t, len(packed), len(text)/6)
	again, err := p.pack(7, nil)
	require.NoError(t, err)
	require.Equal(t, &packed[0], &again[0])
	whole, err := unpackDocument(packed)
	require.NoError(t, err)
	require.Equal(t, text, whole)
	other, err := p.pack(8, []byte("x"))
	require.NoError(t, err)
	require.NotEqual(t, packed, other)
}

func TestCutDocumentIsAnError(t *testing.T) {
	var p packer
	packed, err := p.pack(7, document(5))
	require.NoError(t, err)
	_, err = unpackDocument(packed[:len(packed)/2])
	require.Error(t, err)
}
