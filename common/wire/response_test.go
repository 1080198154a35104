package wire

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// endless yields the same bytes again and again, and counts them.
type endless struct {
	text string
	read int
}

func (e *endless) Read(p []byte) (int, error) {
	n := copy(p, e.text)
	e.read += n
	return n, nil
}

// Guards against memory that grows with a body without end, and against a part of a body that is taken for the whole.
func TestReadBodyIsBounded(t *testing.T) {
	const limit = 1000
	for name, test := range map[string]struct {
		body    io.Reader
		wantErr bool
	}{
		"within the limit": {strings.NewReader(strings.Repeat("x", limit)), false},
		"over the limit":   {strings.NewReader(strings.Repeat("x", limit+1)), true},
		"without end":      {&endless{text: "xx"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			data, err := ReadBody(test.body, limit)
			if !test.wantErr {
				require.NoError(t, err)
				require.Len(t, data, limit)
				return
			}
			require.ErrorIs(t, err, ErrBodyTooLarge)
			require.Empty(t, data)
			if e, ok := test.body.(*endless); ok {
				require.LessOrEqual(t, e.read, 2*limit)
			}
		})
	}
}

// Guards against memory that grows with a header without end in a response to a counted client.
func TestCountedClientBoundsHeaders(t *testing.T) {
	sent := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func(c net.Conn) { _ = c.Close() }(c)
		for part := "HTTP/1.1 200 OK\r\n"; sent < 8<<20; part = "X-Line: " + strings.Repeat("x", 1000) + "\r\n" {
			n, err := io.WriteString(c, part)
			if sent += n; err != nil {
				return
			}
		}
	}))
	var counter Counter
	client := counter.NewHTTPClient()
	_, err := client.Get(server.URL)
	require.Error(t, err)
	require.Less(t, counter.Bytes(), int64(2*MaxHeaderBytes))
	server.Close()
}
