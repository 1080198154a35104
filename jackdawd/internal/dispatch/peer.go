package dispatch

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

// PeerPath is where an entry host takes items from other entry hosts.
const PeerPath = "/peer/v1/items"

const (
	upstreamHeader = "X-Upstream"
	attemptHeader  = "X-Attempt"
	secretHeader   = "X-Fleet-Secret"
	maxItemBytes   = 16 << 20
	// ownerStallTimeout leaves the owner time to resume a stalled upstream.
	ownerStallTimeout = 4 * stallTimeout
)

// An HTTPPeer passes items on to other entry hosts by HTTP.
type HTTPPeer struct {
	client *delivery.Client
	secret string
}

// NewHTTPPeer returns a peer that shows the fleet's secret.
func NewHTTPPeer(client *delivery.Client, secret string) *HTTPPeer {
	return &HTTPPeer{client: client, secret: secret}
}

// Serve passes an item to its owner and the frames of the answer to the sink.
func (p *HTTPPeer) Serve(ctx context.Context, to routing.EntryHost, item *work.Item, name string, attempt int, sink delivery.Sink) (Move, error) {
	// The owner resumes a stalled upstream itself; only an owner that hangs takes longer.
	ctx, watch := watchStall(ctx, item.BeginWithin+firstFrameTimeout+stallTimeout)
	defer watch.stop()
	resp, err := p.send(ctx, to, item, name, attempt)
	if err != nil {
		return Move{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return Move{}, delivery.Copy(resp.Body, &delivery.Progress{ID: item.ID}, func(f upstream.Frame) error {
			watch.frame(ownerStallTimeout)
			return sink(f)
		})
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return Move{}, fmt.Errorf("read answer of host %s: %w", to.Name(), err)
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		var m Move
		if err := json.Unmarshal(body, &m); err != nil || m.To == "" {
			return Move{}, work.Refuse(http.StatusBadGateway, work.UpstreamFailed, "host %s moved the request nowhere", to.Name())
		}
		return m, nil
	}
	return Move{}, work.ReadRefusal(resp, body)
}

func (p *HTTPPeer) send(ctx context.Context, to routing.EntryHost, item *work.Item, name string, attempt int) (*http.Response, error) {
	body, err := json.Marshal(item)
	if err != nil {
		return nil, work.Refuse(http.StatusBadRequest, work.BadRequest, "the request cannot be encoded")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address()+PeerPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("pass item to host %s: %w", to.Name(), err)
	}
	req.Header.Set(upstreamHeader, name)
	req.Header.Set(attemptHeader, strconv.Itoa(attempt))
	req.Header.Set(secretHeader, p.secret)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return p.client.DoFor(req, item.Idempotent)
}

// PeerHandler returns the handler of items that other entry hosts pass on.
func PeerHandler(owner *Owner, secrets []string, stopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Callers can perhaps reach this address too; without the secret they
		// could skip authentication and name another's workspace.
		if !isOneOf(r.Header.Get(secretHeader), secrets) {
			work.Refuse(http.StatusForbidden, work.Forbidden, "the fleet secret is wrong").Write(w)
			return
		}
		if stopping() {
			// Other hosts keep connections to this one. Were they just closed, a
			// request sent at that moment could neither be called run nor not run;
			// so this host refuses, and asks for each connection to be closed.
			w.Header().Set("Connection", "close")
			work.Refuse(http.StatusServiceUnavailable, work.Stopping, "the host is stopping").Write(w)
			return
		}
		var item work.Item
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxItemBytes)).Decode(&item); err != nil {
			work.Refuse(http.StatusBadRequest, work.BadRequest, "the item cannot be read").Write(w)
			return
		}
		servePeer(owner, &item, w, r)
	})
}

func servePeer(owner *Owner, item *work.Item, w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(r.Header.Get(attemptHeader))
	if err != nil {
		work.Refuse(http.StatusBadRequest, work.BadRequest, "%s is no number", attemptHeader).Write(w)
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := owner.tracer.Start(ctx, "owner")
	defer span.End()
	frames := &frameWriter{w: w, enc: json.NewEncoder(w), out: http.NewResponseController(w)}
	move, err := owner.Serve(ctx, item, r.Header.Get(upstreamHeader), attempt, frames.write)
	var refusal *work.Refusal
	switch {
	case frames.begun && err != nil:
		// The entry host sees an answer without an end and resumes it.
		panic(http.ErrAbortHandler)
	case frames.begun:
		return
	case move.To != "":
		w.WriteHeader(http.StatusMisdirectedRequest)
		// A host that has gone away needs no answer.
		_ = json.NewEncoder(w).Encode(move)
	case errors.As(err, &refusal):
		refusal.Write(w)
	default:
		work.Uncertain(work.UpstreamFailed, "no answer: %v", err).Write(w)
	}
}

// frameWriter writes frames as lines of JSON, each at once.
type frameWriter struct {
	w     http.ResponseWriter
	enc   *json.Encoder
	out   *http.ResponseController
	begun bool
}

func (f *frameWriter) write(frame upstream.Frame) error {
	if !f.begun {
		f.w.Header().Set("Content-Type", "application/x-ndjson")
		f.begun = true
	}
	if err := f.enc.Encode(frame); err != nil {
		return err
	}
	return f.out.Flush()
}

// isOneOf reports whether a secret is one of those given, in a time that does not depend on it.
func isOneOf(secret string, secrets []string) bool {
	match := 0
	for _, s := range secrets {
		match |= subtle.ConstantTimeCompare([]byte(secret), []byte(s))
	}
	return match == 1
}
