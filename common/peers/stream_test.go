package peers

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// A stream reaches the handler of its name only with the secret of the process.
func TestStreamsNeedSecretAndName(t *testing.T) {
	server, err := NewServer("127.0.0.1:0", []string{"secret"}, nil)
	require.NoError(t, err)
	server.HandleStreams("echo", func(conn net.Conn) { _, _ = io.Copy(conn, conn) })
	go func() { _ = server.Start(t.Context()) }()
	defer func() { require.NoError(t, server.Stop(t.Context())) }()
	tests := map[string]struct {
		secret, name string
		served       bool
	}{
		"right":        {secret: "secret", name: "echo", served: true},
		"wrong secret": {secret: "other", name: "echo"},
		"unknown name": {secret: "secret", name: "other"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var dialer net.Dialer
			conn, err := DialStream(t.Context(), dialer.DialContext, server.Address(), test.secret, test.name)
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, "hello")
			require.NoError(t, err)
			got := make([]byte, 5)
			_, err = io.ReadFull(conn, got)
			require.Equal(t, test.served, err == nil)
		})
	}
}
