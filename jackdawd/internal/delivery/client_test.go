package delivery

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that an upstream answers with a redirect and that is then executed a
// second time, as another method, without the caller having asked for it.
func TestRedirectIsNotFollowed(t *testing.T) {
	var methods []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		methods = append(methods, r.Method)
		w.Header().Set("Location", "/elsewhere")
		w.WriteHeader(http.StatusFound)
	}))
	defer server.Close()
	client := NewClient()
	defer client.Close()
	for _, idempotent := range []bool{true, false} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader("body"))
		require.NoError(t, err)
		resp, err := client.DoByIdempotency(req, idempotent)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusFound, resp.StatusCode)
	}
	require.Equal(t, []string{http.MethodPost, http.MethodPost}, methods)
}
