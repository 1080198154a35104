package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"jackdawhinge/common/pause"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/queue"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

const (
	// stallTimeout is how long an answer may pause before its connection counts as broken.
	stallTimeout = 5 * time.Second
	// An upstream may take this many times its class's target until its first
	// frame, within bounds that leave room for long prompts.
	firstFrameFactor  = 4
	minFirstFrame     = 5 * time.Second
	firstFrameTimeout = 30 * time.Second
	maxResumes        = 3
	// maxEmptyResumes is how often an answer without any frame is asked for again:
	// once, to tell a broken connection from an upstream that hangs.
	maxEmptyResumes = 1
	resumeBackoff   = 50 * time.Millisecond
)

// deliver brings an item's answer from the upstream to the sink.
func (o *Owner) deliver(ctx context.Context, item *work.Item, u *routing.Upstream, limit *queue.Limit, sink delivery.Sink) error {
	ctx, span := o.tracer.Start(ctx, "upstream", trace.WithAttributes(
		attribute.String("upstream", u.Name()), attribute.String("model", item.Model), attribute.String("class", item.Class)))
	defer span.End()
	if item.Service != nil {
		return o.callService(ctx, item, u, sink)
	}
	p := &delivery.Progress{ID: item.ID}
	last := time.Now()
	observed := func(f upstream.Frame) error {
		now := time.Now()
		if f.Position > 0 {
			limit.Observe(now, now.Sub(last))
		}
		last = now
		return sink(f)
	}
	if err := o.begin(ctx, item, u, p, observed); err != nil {
		return err
	}
	o.lengths.Observe(item.Class, p.Next)
	return nil
}

// begin asks the upstream for the answer and resumes it where it breaks off.
func (o *Owner) begin(ctx context.Context, item *work.Item, u *routing.Upstream, p *delivery.Progress, sink delivery.Sink) error {
	body, err := json.Marshal(upstream.Request{
		ID: item.ID, Model: item.Model, Messages: item.Messages, MaxTokens: item.MaxTokens, Priority: item.Urgency.Rank(), Options: item.Options,
	})
	if err != nil {
		return work.Refuse(http.StatusBadRequest, work.BadRequest, "the request cannot be encoded")
	}
	err = o.exchange(ctx, u, call{
		method: http.MethodPost, path: upstream.GeneratePath, body: body, idempotent: item.Idempotent,
		first: min(max(firstFrameFactor*item.Target, minFirstFrame), firstFrameTimeout),
	}, p, sink)
	if delivery.NeverSent(err) {
		o.blame(ctx, u)
		return work.Refuse(http.StatusServiceUnavailable, work.NoUpstream, "upstream %s cannot be reached", u.Name()).Retry(retryWhenFull)
	}
	return o.resume(ctx, u, p, sink, err)
}

// blame takes a failed call as evidence against the upstream, unless it failed because the caller left.
func (o *Owner) blame(ctx context.Context, u *routing.Upstream) {
	if ctx.Err() == nil {
		o.observer.Observe(u.Name(), false)
	}
}

// Resume brings the rest of an answer from the upstream to the sink.
func (o *Owner) Resume(ctx context.Context, u *routing.Upstream, p *delivery.Progress, sink delivery.Sink) error {
	return o.resume(ctx, u, p, sink, delivery.ErrBroken)
}

// resume goes on with an answer that broke off with err, until it is whole or the tries are used up.
func (o *Owner) resume(ctx context.Context, u *routing.Upstream, p *delivery.Progress, sink delivery.Sink, err error) error {
	for try := 0; err != nil; try++ {
		if ctx.Err() != nil || errors.Is(err, delivery.ErrSink) {
			return work.Uncertain(work.Cancelled, "the reader of the answer left")
		}
		var refused *work.Refusal
		if errors.As(err, &refused) && try == 0 {
			// Only the answer to the request itself can prove that it was not run;
			// a refusal to resume says nothing about what the request did.
			return refused
		}
		if try == maxResumes || (p.Next == 0 && try == maxEmptyResumes) {
			o.blame(ctx, u)
			return work.Uncertain(work.UpstreamFailed, "upstream %s broke off at position %d: %v", u.Name(), p.Next, err)
		}
		pause.For(ctx, resumeBackoff<<try)
		path := upstream.RequestsPath + p.ID + "?from=" + strconv.Itoa(p.Next)
		err = o.exchange(ctx, u, call{method: http.MethodGet, path: path, idempotent: true, first: stallTimeout}, p, sink)
	}
	o.observer.Observe(u.Name(), true)
	return nil
}

// A call is one HTTP call of an upstream.
type call struct {
	method     string
	path       string
	body       []byte
	idempotent bool
	// first is how long the first frame may take.
	first time.Duration
}

// exchange makes one call and copies the frames of its answer.
func (o *Owner) exchange(ctx context.Context, u *routing.Upstream, c call, p *delivery.Progress, sink delivery.Sink) error {
	ctx, watch := watchStall(ctx, c.first)
	defer watch.stop()
	resp, err := o.send(ctx, u, c, p.ID)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return refusedByUpstream(resp, u)
	}
	return delivery.Copy(resp.Body, p, func(f upstream.Frame) error {
		watch.frame(stallTimeout)
		return sink(f)
	})
}

func (o *Owner) send(ctx context.Context, u *routing.Upstream, c call, id string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+u.Address()+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("call upstream %s: %w", u.Name(), err)
	}
	req.Header.Set(upstream.RequestIDHeader, id)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return o.client.DoFor(req, c.idempotent)
}

// refusedByUpstream returns what an upstream's error status means. A status says
// nothing about execution, unless the protocol defines it so: 400 and 429 are
// sent before a request is taken in.
func refusedByUpstream(resp *http.Response, u *routing.Upstream) error {
	switch resp.StatusCode {
	case http.StatusBadRequest:
		return work.Refuse(http.StatusBadRequest, work.BadRequest, "upstream %s refused the request", u.Name())
	case http.StatusTooManyRequests:
		return work.Refuse(http.StatusServiceUnavailable, work.Overloaded, "upstream %s is full", u.Name()).Retry(retryWhenFull)
	default:
		return fmt.Errorf("upstream %s answered with status %d", u.Name(), resp.StatusCode)
	}
}
