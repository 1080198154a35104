package intake

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
	"jackdawhinge/standin/network"
)

// fakeRouter responds with two frames; if err is set, it fails with err in place of the second one.
type fakeRouter struct {
	err  error
	item *work.Item
}

func (f *fakeRouter) Route(_ context.Context, item *work.Item, sink delivery.Sink) error {
	f.item = item
	for i, text := range []string{"Dear ", "club"} {
		frame := upstream.Frame{RequestID: item.ID, Position: i, Text: text}
		if i == 1 {
			if f.err != nil {
				return f.err
			}
			frame.Finish = upstream.FinishStop
		}
		if err := sink(frame); err != nil {
			return err
		}
	}
	return nil
}

type nopMeter struct{}

func (nopMeter) RecordResponse(string, time.Duration, time.Duration, time.Duration) {}
func (nopMeter) RecordRefusal(string, *work.Refusal)                                {}

func newTestHandler(router Router) *Handler {
	view := routing.NewView(routing.ViewInput{Document: targets.Document{
		Classes: map[string]targets.Class{
			"portal": {FirstTokenWithin: targets.Duration(time.Second), Urgency: targets.Normal, Idempotent: true},
			"notice": {FirstTokenWithin: targets.Duration(time.Second), Urgency: targets.Normal},
			"secret": {FirstTokenWithin: targets.Duration(time.Second), Urgency: targets.Normal, Idempotent: true},
		},
		Workspaces: map[string]targets.Workspace{
			"mailroom": {TokenSHA256: targets.HashToken("try-me"), Classes: []string{"portal", "notice"}},
			"registry": {TokenSHA256: targets.HashToken("other"), Classes: []string{"portal"}},
		},
		Models: map[string]targets.Model{"reader": {Kind: targets.Engine}, "mailbox": {Kind: targets.Service}},
	}})
	return NewHandler(func() *routing.View { return view }, router, nil, nopMeter{}, 1000)
}

const validBody = `{"model":"reader","temperature":0.2,"messages":[{"role":"user","content":"private words"}]}`

func post(t *testing.T, h http.HandlerFunc, body string, headers map[string]string) (int, string, http.Header) {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, server.URL, strings.NewReader(body))
	require.NoError(t, err)
	sent := map[string]string{"Authorization": "Bearer try-me", WorkspaceHeader: "mailroom", ClassHeader: "portal", ChatHeader: "c1"}
	for name, value := range headers {
		sent[name] = value
	}
	for name, value := range sent {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return resp.StatusCode, string(data), resp.Header
}

func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		body       string
		headers    map[string]string
		wantStatus int
		wantCode   work.Code
		wantText   string
	}{
		"no workspace":             {validBody, map[string]string{WorkspaceHeader: "nobody"}, 401, work.Unauthenticated, ""},
		"wrong token":              {validBody, map[string]string{"Authorization": "Bearer wrong"}, 401, work.Unauthenticated, ""},
		"token of other workspace": {validBody, map[string]string{"Authorization": "Bearer other"}, 401, work.Unauthenticated, ""},
		"unknown class":            {validBody, map[string]string{ClassHeader: "huge"}, 400, work.UnknownClass, ClassHeader},
		"class not allowed":        {validBody, map[string]string{ClassHeader: "secret"}, 403, work.Forbidden, ClassHeader},
		"key missing":              {validBody, map[string]string{ClassHeader: "notice"}, 400, work.KeyMissing, KeyHeader},
		"invalid JSON":             {`{"model":`, nil, 400, work.BadRequest, "JSON"},
		"no model":                 {`{"messages":[{"role":"user","content":"x"}]}`, nil, 400, work.BadRequest, "model"},
		"model is a service":       {`{"model":"mailbox","messages":[{"role":"user","content":"x"}]}`, nil, 404, work.UnknownModel, "model"},
		"no messages":              {`{"model":"reader","messages":[]}`, nil, 400, work.BadRequest, "messages"},
		"messages of wrong type":   {`{"model":"reader","messages":"x"}`, nil, 400, work.BadRequest, "messages"},
		"negative max_tokens":      {`{"model":"reader","max_tokens":-1,"messages":[{"role":"user"}]}`, nil, 400, work.BadRequest, "max_tokens"},
		"body too large":           {strings.Repeat(" ", 1001), nil, 413, work.TooLarge, "1000 bytes"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			router := &fakeRouter{}
			status, body, _ := post(t, newTestHandler(router).ServeChat, test.body, test.headers)
			require.Equal(t, test.wantStatus, status)
			require.Contains(t, body, `"code":"`+string(test.wantCode)+`"`)
			require.Contains(t, body, `"outcome":"not-run"`)
			require.Contains(t, body, test.wantText)
			require.Nil(t, router.item, "a refused request must not reach the router")
		})
	}
}

func TestResponses(t *testing.T) {
	status, body, _ := post(t, newTestHandler(&fakeRouter{}).ServeChat, validBody, nil)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"content":"Dear club"`)

	router := &fakeRouter{}
	status, body, _ = post(t, newTestHandler(router).ServeChat, strings.Replace(validBody, "{", `{"stream":true,`, 1), nil)
	require.Equal(t, http.StatusOK, status)
	require.True(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	require.JSONEq(t, "0.2", string(router.item.Options["temperature"]), "unknown fields must be passed to the engine")
	require.Equal(t, routing.ChatHash("mailroom", "c1"), router.item.Chat)
	require.NotEqual(t, routing.ChatHash("registry", "c1"), router.item.Chat, "chats of other workspaces with the same name must be different")
}

// The response is truncated. A streaming caller must get an error event and no end marker, a
// caller without streaming only the error.
func TestTruncatedResponseHasNoEndMarker(t *testing.T) {
	truncated := &fakeRouter{err: work.NewUncertainRefusal(work.UpstreamFailed, "broke off")}
	_, body, _ := post(t, newTestHandler(truncated).ServeChat, strings.Replace(validBody, "{", `{"stream":true,`, 1), nil)
	require.Contains(t, body, "event: error")
	require.Contains(t, body, `"outcome":"unknown"`)
	require.NotContains(t, body, "[DONE]")

	status, body, _ := post(t, newTestHandler(truncated).ServeChat, validBody, nil)
	require.Equal(t, http.StatusBadGateway, status)
	require.NotContains(t, body, "Dear")
}

func TestRetryAfter(t *testing.T) {
	overloaded := &fakeRouter{err: work.NewRefusal(503, work.Overloaded, "full").WithRetryAfter(2 * time.Second)}
	_, _, header := post(t, newTestHandler(overloaded).ServeChat, validBody, nil)
	require.Contains(t, []string{"2", "3"}, header.Get("Retry-After"))
}

// All slots of a host are taken. The next request is refused as not run immediately; once a slot is
// released, a request is served.
func TestTooManyRequestsInProgress(t *testing.T) {
	h := newTestHandler(&fakeRouter{})
	for range maxInProgress {
		require.Nil(t, h.acquireSlot())
	}
	status, body, _ := post(t, h.ServeChat, validBody, nil)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"outcome":"not-run"`)
	h.releaseSlot()
	status, _, _ = post(t, h.ServeChat, validBody, nil)
	require.Equal(t, http.StatusOK, status)
}

// Neither the text nor the token of a request may be logged, also if it fails or is refused.
func TestLogsOmitTextAndToken(t *testing.T) {
	hook := logtest.NewGlobal()
	defer logrus.StandardLogger().ReplaceHooks(logrus.LevelHooks{})
	post(t, newTestHandler(&fakeRouter{err: work.NewUncertainRefusal(work.UpstreamFailed, "broke off")}).ServeChat, validBody, nil)
	post(t, newTestHandler(&fakeRouter{}).ServeChat, validBody, map[string]string{"Authorization": "Bearer wrong"})
	for _, entry := range hook.AllEntries() {
		line, err := entry.String()
		require.NoError(t, err)
		require.NotContains(t, line, "private words")
		require.NotContains(t, line, "try-me")
	}
}

// A caller sends its headers and then nothing. It must get a timeout after bodyTimeout, or it would
// hold a connection forever.
func TestBodyTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := network.New()
		n.Serve("entry-1", http.HandlerFunc(newTestHandler(&fakeRouter{}).ServeChat))
		conn, err := n.Dial(t.Context(), "tcp", "entry-1")
		require.NoError(t, err)
		start := time.Now()
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\nAuthorization: Bearer try-me\r\nX-Workspace: mailroom\r\nX-Class: portal\r\n\r\n{")
		require.NoError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
		require.Equal(t, bodyTimeout, time.Since(start))
		n.Kill("entry-1")
	})
}
