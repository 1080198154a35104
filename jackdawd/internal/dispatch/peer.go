package dispatch

import (
	"bytes"
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"jackdawhinge/common/upstream"
	"jackdawhinge/common/wire"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

// PeerPath is the HTTP path where an entry host accepts items from other entry hosts.
const PeerPath = "/peer/v1/items"

const (
	upstreamHeader  = "X-Upstream"
	moveCountHeader = "X-Attempt"
	secretHeader    = "X-Fleet-Secret"
	maxItemBytes    = 16 << 20
	// maxAnswerBytes bounds an answer that is no stream; it may hold the response of a service.
	maxAnswerBytes = 2 * maxItemBytes
	// ownerStallTimeout gives the owner time to resume a stalled upstream first.
	ownerStallTimeout = 4 * stallTimeout
)

// An HTTPPeer forwards items to other entry hosts over HTTP.
type HTTPPeer struct {
	client *delivery.Client
	secret string
}

// NewHTTPPeer returns a peer that authenticates with the fleet's shared secret.
func NewHTTPPeer(client *delivery.Client, secret string) *HTTPPeer {
	return &HTTPPeer{client: client, secret: secret}
}

// Serve forwards an item to its owner and the frames of the response to the sink.
func (p *HTTPPeer) Serve(ctx context.Context, host routing.EntryHost, item *work.Item, upstreamName string, moveCount int, sink delivery.Sink) (Move, error) {
	// The owner resumes a stalled upstream itself, so only a hanging owner exceeds this timeout.
	ctx, stall := withStallTimeout(ctx, item.RemainingTarget+maxFirstFrameTimeout+stallTimeout)
	defer stall.stop()
	resp, err := p.send(ctx, host, item, upstreamName, moveCount)
	if err != nil {
		return Move{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return Move{}, delivery.Copy(resp.Body, &delivery.Progress{RequestID: item.ID}, func(f upstream.Frame) error {
			stall.reset(ownerStallTimeout)
			return sink(f)
		})
	}
	body, err := wire.ReadBody(resp.Body, maxAnswerBytes)
	if err != nil {
		return Move{}, fmt.Errorf("read answer of host %s: %w", host.Name(), err)
	}
	if resp.StatusCode == http.StatusMisdirectedRequest {
		var move Move
		if err := json.Unmarshal(body, &move); err != nil || move.To == "" {
			return Move{}, work.NewRefusal(http.StatusBadGateway, work.UpstreamFailed, "host %s moved the request nowhere", host.Name())
		}
		return move, nil
	}
	return Move{}, work.DecodeRefusal(resp, body)
}

func (p *HTTPPeer) send(ctx context.Context, host routing.EntryHost, item *work.Item, upstreamName string, moveCount int) (*http.Response, error) {
	body, err := json.Marshal(item)
	if err != nil {
		return nil, work.NewRefusal(http.StatusBadRequest, work.BadRequest, "the request cannot be encoded")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address()+PeerPath, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("pass item to host %s: %w", host.Name(), err)
	}
	req.Header.Set(upstreamHeader, upstreamName)
	req.Header.Set(moveCountHeader, strconv.Itoa(moveCount))
	req.Header.Set(secretHeader, p.secret)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return p.client.DoByIdempotency(req, item.Idempotent)
}

// PeerHandler returns the HTTP handler for items that other entry hosts forward.
func PeerHandler(owner *Owner, secrets []string, stopping func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Callers may be able to reach this address too; without the secret they
		// could bypass authentication and use another workspace's name.
		if !matchesAny(r.Header.Get(secretHeader), secrets) {
			work.NewRefusal(http.StatusForbidden, work.Forbidden, "the fleet secret is wrong").Write(w)
			return
		}
		if stopping() {
			// Other hosts keep idle connections to this one. If they were just closed, the
			// outcome of a request sent at that moment would be unknown; so the host refuses
			// requests as not run and asks the peer to close each connection.
			w.Header().Set("Connection", "close")
			work.NewRefusal(http.StatusServiceUnavailable, work.Stopping, "the host is stopping").Write(w)
			return
		}
		var item work.Item
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxItemBytes)).Decode(&item); err != nil {
			work.NewRefusal(http.StatusBadRequest, work.BadRequest, "the item cannot be read").Write(w)
			return
		}
		serveForwarded(owner, &item, w, r)
	})
}

func serveForwarded(owner *Owner, item *work.Item, w http.ResponseWriter, r *http.Request) {
	moveCount, err := strconv.Atoi(r.Header.Get(moveCountHeader))
	if err != nil {
		work.NewRefusal(http.StatusBadRequest, work.BadRequest, "%s is no number", moveCountHeader).Write(w)
		return
	}
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := owner.tracer.Start(ctx, "owner")
	defer span.End()
	frames := &frameWriter{w: w, enc: json.NewEncoder(w), controller: http.NewResponseController(w)}
	move, err := owner.Serve(ctx, item, r.Header.Get(upstreamHeader), moveCount, frames.write)
	var refusal *work.Refusal
	switch {
	case frames.started && err != nil:
		// Aborting the connection makes the entry host resume the response.
		panic(http.ErrAbortHandler)
	case frames.started:
		return
	case move.To != "":
		w.WriteHeader(http.StatusMisdirectedRequest)
		// A write error means that the peer has disconnected.
		_ = json.NewEncoder(w).Encode(move)
	case errors.As(err, &refusal):
		refusal.Write(w)
	default:
		work.NewUncertainRefusal(work.UpstreamFailed, "no answer: %v", err).Write(w)
	}
}

// frameWriter writes frames as newline-delimited JSON and flushes each one.
type frameWriter struct {
	w          http.ResponseWriter
	enc        *json.Encoder
	controller *http.ResponseController
	started    bool
}

func (f *frameWriter) write(frame upstream.Frame) error {
	if !f.started {
		f.w.Header().Set("Content-Type", "application/x-ndjson")
		f.started = true
	}
	if err := f.enc.Encode(frame); err != nil {
		return err
	}
	return f.controller.Flush()
}

// matchesAny reports whether the secret equals one of secrets, in constant time.
func matchesAny(secret string, secrets []string) bool {
	match := 0
	for _, s := range secrets {
		match |= subtle.ConstantTimeCompare([]byte(secret), []byte(s))
	}
	return match == 1
}
