package dispatch

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"jackdawhinge/common/roster"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

// Guards against a response that is cut at the limit and delivered as whole.
func TestResponseOverLimitIsNotCut(t *testing.T) {
	for name, test := range map[string]struct {
		size  int
		whole bool
	}{
		"at the limit":   {maxServiceResponseBytes, true},
		"over the limit": {maxServiceResponseBytes + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(bytes.Repeat([]byte("x"), test.size))
			}))
			defer server.Close()
			client := delivery.NewClient()
			defer client.Close()
			o := &Owner{client: client}
			u := routing.NewUpstream(roster.Host{Name: "mailbox-1", Address: server.Listener.Addr().String()})
			item := &work.Item{ID: "r1", Service: &work.ServiceCall{Method: http.MethodGet}}
			response, err := o.requestService(t.Context(), item, u)
			if !test.whole {
				require.ErrorIs(t, err, errResponseTooLarge)
				return
			}
			require.NoError(t, err)
			require.Len(t, response.Body, test.size)
		})
	}
}
