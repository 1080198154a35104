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
	// stallTimeout is the longest pause between two frames before the connection counts as broken.
	stallTimeout = 5 * time.Second
	// The timeout for the first frame is firstFrameFactor times the class's target, within
	// minFirstFrameTimeout and maxFirstFrameTimeout, which leave time to read long prompts.
	firstFrameFactor     = 4
	minFirstFrameTimeout = 5 * time.Second
	maxFirstFrameTimeout = 30 * time.Second
	maxResumes           = 3
	// maxEmptyResumes limits resumes before the first frame to one, enough to tell
	// a broken connection from a hanging upstream.
	maxEmptyResumes = 1
	resumeBackoff   = 50 * time.Millisecond
)

// deliver sends an item to the upstream and streams the response to the sink.
func (o *Owner) deliver(ctx context.Context, item *work.Item, u *routing.Upstream, limit *queue.Limit, sink delivery.Sink) error {
	ctx, span := o.tracer.Start(ctx, "upstream", trace.WithAttributes(
		attribute.String("upstream", u.Name()), attribute.String("model", item.Model), attribute.String("class", item.Class)))
	defer span.End()
	if item.Service != nil {
		return o.callService(ctx, item, u, sink)
	}
	progress := &delivery.Progress{RequestID: item.ID}
	lastFrameAt := time.Now()
	observingSink := func(f upstream.Frame) error {
		now := time.Now()
		if f.Position > 0 {
			limit.Observe(now, now.Sub(lastFrameAt))
		}
		lastFrameAt = now
		return sink(f)
	}
	if err := o.generate(ctx, item, u, progress, observingSink); err != nil {
		return err
	}
	o.outputLengths.Observe(item.Class, progress.NextPosition)
	return nil
}

// generate sends the request to a model engine, and resumes the response after a broken connection.
func (o *Owner) generate(ctx context.Context, item *work.Item, u *routing.Upstream, progress *delivery.Progress, sink delivery.Sink) error {
	body, err := json.Marshal(upstream.Request{
		ID: item.ID, Model: item.Model, Messages: item.Messages, MaxTokens: item.MaxTokens, Priority: item.Urgency.Rank(), Options: item.Options,
	})
	if err != nil {
		return work.NewRefusal(http.StatusBadRequest, work.BadRequest, "the request cannot be encoded")
	}
	err = o.doCall(ctx, u, call{
		method: http.MethodPost, path: upstream.GeneratePath, body: body, idempotent: item.Idempotent,
		firstFrameTimeout: min(max(firstFrameFactor*item.FirstTokenTarget, minFirstFrameTimeout), maxFirstFrameTimeout),
	}, progress, sink)
	if delivery.IsDialError(err) {
		o.recordFailure(ctx, u)
		return work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "upstream %s cannot be reached", u.Name()).WithRetryAfter(overloadRetryAfter)
	}
	return o.resume(ctx, u, progress, sink, err)
}

// recordFailure reports a failed call to the observer, unless the caller cancelled it.
func (o *Owner) recordFailure(ctx context.Context, u *routing.Upstream) {
	if ctx.Err() == nil {
		o.observer.Observe(u.Name(), false)
	}
}

// Resume streams the rest of a partly delivered response from the upstream to the sink.
func (o *Owner) Resume(ctx context.Context, u *routing.Upstream, progress *delivery.Progress, sink delivery.Sink) error {
	return o.resume(ctx, u, progress, sink, delivery.ErrIncomplete)
}

// resume retries a response that broke off with err until it is complete or the attempts
// are used up.
func (o *Owner) resume(ctx context.Context, u *routing.Upstream, progress *delivery.Progress, sink delivery.Sink, err error) error {
	for attempt := 0; err != nil; attempt++ {
		if ctx.Err() != nil || errors.Is(err, delivery.ErrSinkClosed) {
			return work.NewUncertainRefusal(work.Cancelled, "the reader of the answer left")
		}
		var refusal *work.Refusal
		if errors.As(err, &refusal) && attempt == 0 {
			// Only a refusal of the request itself proves that it was not run;
			// a refusal to resume says nothing about its execution.
			return refusal
		}
		if attempt == maxResumes || (progress.NextPosition == 0 && attempt == maxEmptyResumes) {
			o.recordFailure(ctx, u)
			return work.NewUncertainRefusal(work.UpstreamFailed, "upstream %s broke off at position %d: %v", u.Name(), progress.NextPosition, err)
		}
		pause.For(ctx, resumeBackoff<<attempt)
		path := upstream.RequestsPath + progress.RequestID + "?from=" + strconv.Itoa(progress.NextPosition)
		err = o.doCall(ctx, u, call{method: http.MethodGet, path: path, idempotent: true, firstFrameTimeout: stallTimeout}, progress, sink)
	}
	o.observer.Observe(u.Name(), true)
	return nil
}

// A call is one HTTP request to an upstream.
type call struct {
	method            string
	path              string
	body              []byte
	idempotent        bool
	firstFrameTimeout time.Duration
}

// doCall makes one HTTP request and copies the frames of its response to the sink.
func (o *Owner) doCall(ctx context.Context, u *routing.Upstream, c call, progress *delivery.Progress, sink delivery.Sink) error {
	ctx, stall := withStallTimeout(ctx, c.firstFrameTimeout)
	defer stall.stop()
	resp, err := o.send(ctx, u, c, progress.RequestID)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errorForStatus(resp, u)
	}
	return delivery.Copy(resp.Body, progress, func(f upstream.Frame) error {
		stall.reset(stallTimeout)
		return sink(f)
	})
}

func (o *Owner) send(ctx context.Context, u *routing.Upstream, c call, requestID string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+u.Address()+c.path, bytes.NewReader(c.body))
	if err != nil {
		return nil, fmt.Errorf("call upstream %s: %w", u.Name(), err)
	}
	req.Header.Set(upstream.RequestIDHeader, requestID)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	return o.client.DoByIdempotency(req, c.idempotent)
}

// errorForStatus returns the error for an upstream's HTTP status. Only 400 and 429
// prove that the request was not run: by the protocol they are sent before execution.
func errorForStatus(resp *http.Response, u *routing.Upstream) error {
	switch resp.StatusCode {
	case http.StatusBadRequest:
		return work.NewRefusal(http.StatusBadRequest, work.BadRequest, "upstream %s refused the request", u.Name())
	case http.StatusTooManyRequests:
		return work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "upstream %s is full", u.Name()).WithRetryAfter(overloadRetryAfter)
	default:
		return fmt.Errorf("upstream %s answered with status %d", u.Name(), resp.StatusCode)
	}
}
