package node

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	klog "github.com/go-kratos/kratos/v2/log"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/register"
	"jackdawhinge/common/roster"
	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/settings"
	"jackdawhinge/standin/engine"
	"jackdawhinge/standin/platform"
)

// fastEngine streams tokens as fast as the client reads them.
func fastEngine(w http.ResponseWriter, r *http.Request) {
	var req upstream.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return
	}
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	for i := range req.MaxTokens {
		f := upstream.Frame{RequestID: req.ID, Position: i, Text: "word "}
		if i == req.MaxTokens-1 {
			f.Finish = upstream.FinishStop
		}
		_ = enc.Encode(f)
		if i%16 == 0 {
			_ = out.Flush()
			w.(http.Flusher).Flush()
		}
	}
	_ = out.Flush()
}

// testFleet is a set of nodes on loopback in front of one engine.
type testFleet struct {
	nodes    []*Node
	engine   *httptest.Server
	cleanups []func()
}

func freeLoopbackAddress(tb testing.TB) string {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newTestFleet(tb testing.TB, n, engines int) *testFleet {
	tb.Helper()
	logrus.SetLevel(logrus.ErrorLevel)
	klog.SetLogger(klog.NewFilter(klog.DefaultLogger, klog.FilterLevel(klog.LevelError)))
	f := &testFleet{engine: httptest.NewServer(http.HandlerFunc(fastEngine))}
	log, list := platform.NewLog(), platform.NewHostList()
	platformServer := httptest.NewServer(platform.Handler(log, list))
	f.cleanups = append(f.cleanups, platformServer.Close, f.engine.Close)
	for i := range engines {
		list.Put(roster.Host{
			Name: fmt.Sprintf("engine-%d", i), Role: roster.Upstream, State: roster.Live, FailureDomain: "r/a",
			Address: f.engine.Listener.Addr().String(), Models: []string{"reader"}, CapacityTokens: 1 << 30,
		})
	}
	mailbox := httptest.NewServer(engine.NewService("mailbox-1").Handler())
	f.cleanups = append(f.cleanups, mailbox.Close)
	list.Put(roster.Host{Name: "mailbox-1", Role: roster.Upstream, State: roster.Live, FailureDomain: "r/a", Address: mailbox.Listener.Addr().String(), Models: []string{"mailbox"}})
	appendConfiguration(tb, log)
	for i := range n {
		s := settings.Settings{Name: fmt.Sprintf("entry-%d", i), FailureDomain: "r/a", LogService: platformServer.URL, HostList: platformServer.URL + "/hosts", FleetSecret: "0123456789abcdef", StopTimeout: targets.Duration(5 * time.Second), MaxBodyBytes: 1 << 20}
		s.Listen.Callers, s.Listen.Peers, s.Listen.Control, s.Listen.Admin = freeLoopbackAddress(tb), freeLoopbackAddress(tb), freeLoopbackAddress(tb), freeLoopbackAddress(tb)
		list.Put(roster.Host{Name: s.Name, Role: roster.EntryHost, State: roster.Live, FailureDomain: "r/a", Address: s.Listen.Peers, ControlAddress: s.Listen.Control})
		node, err := New(s)
		require.NoError(tb, err)
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = node.Start(ctx) }()
		f.nodes = append(f.nodes, node)
		f.cleanups = append(f.cleanups, func() { cancel(); _ = node.Stop() })
	}
	require.Eventually(tb, func() bool {
		for _, node := range f.nodes {
			if !node.Ready() || len(node.View().Hosts()) < n || node.View().Revision() == 0 {
				return false
			}
		}
		return true
	}, 10*time.Second, 10*time.Millisecond)
	return f
}

func appendConfiguration(tb testing.TB, log *platform.Log) {
	tb.Helper()
	data, err := register.Record{Kind: register.ChangeRecord, Change: &register.Change{ID: "first", Patch: register.Patch{
		Classes: map[string]*targets.Class{
			"notice": {FirstTokenWithin: targets.Duration(10 * time.Second), Urgency: targets.Normal},
			"portal": {FirstTokenWithin: targets.Duration(10 * time.Second), Share: 1, Urgency: targets.Normal, Idempotent: true},
		},
		Workspaces: map[string]*targets.Workspace{"mailroom": {TokenSHA256: targets.HashToken("try-me"), Classes: []string{"portal", "notice"}}},
		Models:     map[string]*targets.Model{"reader": {Kind: targets.Engine, LoadMultiple: 4}, "mailbox": {Kind: targets.Service}},
	}}}.Encode()
	require.NoError(tb, err)
	_, err = log.Append(tb.Context(), register.StreamName, data)
	require.NoError(tb, err)
}

func (f *testFleet) close() {
	for i := len(f.cleanups) - 1; i >= 0; i-- {
		f.cleanups[i]()
	}
}

// chat sends one chat request and reads its response to the end.
func chat(client *http.Client, url string, chatID string, tokens int) error {
	body := fmt.Sprintf(`{"model":"reader","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, tokens)
	req := newRequest(url, "portal", strings.NewReader(body))
	req.Header.Set("X-Chat", chatID)
	return drain(client, req, "[DONE]")
}

func newRequest(url, class string, body io.Reader) *http.Request {
	req, err := http.NewRequest(http.MethodPost, url, body)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer try-me")
	req.Header.Set("X-Workspace", "mailroom")
	req.Header.Set("X-Class", class)
	return req
}

func drain(client *http.Client, req *http.Request, end string) error {
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || !bytes.Contains(data[max(0, len(data)-200):], []byte(end)) {
		return fmt.Errorf("status %d: %s", resp.StatusCode, data[:min(len(data), 200)])
	}
	return nil
}

// BenchmarkAddedLatency compares requests sent to an engine directly, through the entry host that owns
// the engine, and through an entry host that forwards them to the owner.
func BenchmarkAddedLatency(b *testing.B) {
	for name, hosts := range map[string]int{"direct": 0, "one-host": 1, "two-hosts": 2} {
		b.Run(name, func(b *testing.B) {
			f := newTestFleet(b, max(hosts, 1), 1)
			defer f.close()
			client := &http.Client{}
			latencies := hdrhistogram.New(1, int64(10*time.Second), 3)
			call := func(i int) error {
				if hosts == 0 {
					body := fmt.Sprintf(`{"request-id":"r%d","model":"reader","max-tokens":16}`, i)
					req, err := http.NewRequest(http.MethodPost, f.engine.URL+upstream.GeneratePath, strings.NewReader(body))
					if err != nil {
						return err
					}
					return drain(client, req, "stop")
				}
				node := f.nodes[0]
				if owner, _ := node.View().Owner(firstUpstreamHash(node)); hosts == 2 && owner.Name() == node.View().Self() {
					node = f.nodes[1]
				}
				return chat(client, "http://"+node.settings.Listen.Callers+"/v1/chat/completions", fmt.Sprint(i), 16)
			}
			i := 0
			for b.Loop() {
				i++
				start := time.Now()
				if err := call(i); err != nil {
					b.Fatal(err)
				}
				_ = latencies.RecordValue(int64(time.Since(start)))
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

func firstUpstreamHash(n *Node) uint64 {
	pool, _ := n.View().Pool("reader")
	return pool.Upstreams()[0].Hash()
}

// frameLine is the encoding of one token between hosts.
const frameLine = `{"request-id":"01234567-89ab-cdef-0123-456789abcdef","position":1234,"text":"word "}` + "\n"

// BenchmarkStreaming reports the CPU time per token that is streamed through two hosts, one that
// forwards to the owner and the owner itself. Callers and engine run in the same process and count too.
func BenchmarkStreaming(b *testing.B) {
	const tokens = 2000
	for _, streams := range []int{16, 64, 256} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			f := newTestFleet(b, 2, 8)
			defer f.close()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for b.Loop() {
				var wg sync.WaitGroup
				for i := range streams {
					wg.Go(func() {
						url := "http://" + f.nodes[0].settings.Listen.Callers + "/v1/chat/completions"
						if err := chat(client, url, fmt.Sprint(i), tokens); err != nil {
							b.Error(err)
						}
					})
				}
				wg.Wait()
			}
			runtime.ReadMemStats(&after)
			total := float64(b.N*streams) * tokens
			perSecond := total / b.Elapsed().Seconds()
			b.ReportMetric(perSecond, "tokens/s")
			b.ReportMetric(float64(len(frameLine)), "hop-B/token")
			b.ReportMetric(float64(runtime.GOMAXPROCS(0))*1e9/perSecond, "core-ns/token")
			b.ReportMetric(float64(after.Mallocs-before.Mallocs)/total, "allocs/token")
		})
	}
}

// BenchmarkControlBytes reports the bytes on the wire of one load exchange, reply included, by the
// number of rows.
func BenchmarkControlBytes(b *testing.B) {
	for _, rows := range []int{8, 24, 38, 64} {
		b.Run(fmt.Sprintf("exchange-rows=%d", rows), func(b *testing.B) {
			f := newTestFleet(b, 2, rows)
			defer f.close()
			client := peers.NewClient("0123456789abcdef")
			defer client.Close()
			packed := peers.UpstreamLoads{}
			for i := range rows {
				packed.Upstreams = append(packed.Upstreams, uint64(i)*0x9e3779b97f4a7c15)
				packed.Loads = append(packed.Loads, 200_000)
				packed.AgeMillis = append(packed.AgeMillis, 1500)
			}
			call := func() {
				var reply peers.ExchangeReply
				require.NoError(b, client.Call(b.Context(), f.nodes[0].settings.Listen.Control, peers.ExchangeCall, &peers.ExchangeArgs{Pool: "model-07", Rows: packed}, &reply))
			}
			call()
			bytesBefore := client.Bytes()
			for b.Loop() {
				call()
			}
			// The node doesn't know the pool, so its reply is empty and rows are sent in one
			// direction only.
			b.ReportMetric(float64(client.Bytes()-bytesBefore)/float64(b.N), "B/message")
		})
	}
}

// BenchmarkClaimLatency compares calls of a plain service without and with a claim. Each key is new, so
// that no claim waits for another's append.
func BenchmarkClaimLatency(b *testing.B) {
	for _, class := range []string{"portal", "notice"} {
		b.Run("class="+class, func(b *testing.B) {
			f := newTestFleet(b, 1, 1)
			defer f.close()
			latencies := hdrhistogram.New(1, int64(10*time.Second), 3)
			url := "http://" + f.nodes[0].settings.Listen.Callers + "/v1/services/mailbox/notices"
			for i := 0; b.Loop(); i++ {
				req := newRequest(url, class, strings.NewReader("hello"))
				req.Header.Set("Idempotency-Key", fmt.Sprint(i))
				start := time.Now()
				require.NoError(b, drain(http.DefaultClient, req, "entry"))
				_ = latencies.RecordValue(int64(time.Since(start)))
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1e3, "p50-us")
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1e3, "p99-us")
		})
	}
}

// BenchmarkHostList reports the bytes of one read of a changed host list.
func BenchmarkHostList(b *testing.B) {
	for _, n := range []int{36, 310, 1240} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			list := platform.NewHostList()
			for i := range n {
				list.Put(roster.Host{
					Name: fmt.Sprintf("host-%04d", i), Role: roster.Upstream, State: roster.Live, FailureDomain: fmt.Sprintf("region-%d/domain-%d", i%2, i%4),
					Address: fmt.Sprintf("10.%d.%d.%d:8080", i%4, i/250, i%250), Models: []string{fmt.Sprintf("model-%02d", i%23)}, CapacityTokens: 400_000,
				})
			}
			platformServer := httptest.NewServer(platform.Handler(platform.NewLog(), list))
			defer platformServer.Close()
			client := roster.NewClient(platformServer.URL + "/hosts")
			for b.Loop() {
				_, _, _, err := client.Read(b.Context(), "")
				require.NoError(b, err)
			}
			b.ReportMetric(float64(client.Bytes())/float64(b.N), "B/list")
		})
	}
}

// BenchmarkClaimCall reports the bytes between the host that claims a key and the owner of the key's
// partition, for one claim and its end.
func BenchmarkClaimCall(b *testing.B) {
	f := newTestFleet(b, 1, 1)
	defer f.close()
	client := peers.NewClient("0123456789abcdef")
	defer client.Close()
	address := f.nodes[0].settings.Listen.Control
	key, body, claim := "0123456789abcdefghijkl", "0123456789abcdefghijkl", "0123456789abcdefghijkl"
	var reply peers.ClaimReply
	require.NoError(b, client.Call(b.Context(), address, peers.ClaimCall, &peers.ClaimArgs{Claim: claim, Key: key, Body: body}, &reply))
	bytesBefore := client.Bytes()
	for b.Loop() {
		require.NoError(b, client.Call(b.Context(), address, peers.ClaimCall, &peers.ClaimArgs{Claim: claim, Key: key, Body: body}, &reply))
		end := peers.CloseArgs{Claim: claim, Key: key + "x", Body: body, State: peers.Finished}
		require.NoError(b, client.Call(b.Context(), address, peers.CloseCall, &end, &peers.Empty{}))
	}
	b.ReportMetric(float64(client.Bytes()-bytesBefore)/float64(b.N), "B/claim")
}
