package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

const maxServiceResponseBytes = 8 << 20

// errResponseTooLarge reports a response that was not read to its end.
var errResponseTooLarge = fmt.Errorf("response is larger than %d bytes", maxServiceResponseBytes)

// callService calls a plain service and delivers its response as one frame.
func (o *Owner) callService(ctx context.Context, item *work.Item, u *routing.Upstream, sink delivery.Sink) error {
	callCtx, cancel := context.WithTimeout(ctx, maxFirstFrameTimeout)
	defer cancel()
	response, err := o.requestService(callCtx, item, u)
	if delivery.IsDialError(err) {
		o.recordFailure(ctx, u)
		return work.NewRefusal(http.StatusServiceUnavailable, work.NoUpstream, "upstream %s cannot be reached", u.Name()).WithRetryAfter(overloadRetryAfter)
	}
	if err != nil {
		o.recordFailure(ctx, u)
		return work.NewUncertainRefusal(work.UpstreamFailed, "upstream %s gave no whole answer: %v", u.Name(), err)
	}
	o.observer.Observe(u.Name(), true)
	if err := sink(upstream.Frame{RequestID: item.ID, Finish: upstream.FinishStop, Response: response}); err != nil {
		return work.NewUncertainRefusal(work.Cancelled, "the reader of the answer left")
	}
	return nil
}

func (o *Owner) requestService(ctx context.Context, item *work.Item, u *routing.Upstream) (*upstream.ServiceResponse, error) {
	path := upstream.ServicePath + item.Model + "/" + item.Service.Path
	req, err := http.NewRequestWithContext(ctx, item.Service.Method, "http://"+u.Address()+path, bytes.NewReader(item.Service.Body))
	if err != nil {
		return nil, fmt.Errorf("call upstream %s: %w", u.Name(), err)
	}
	req.Header.Set(upstream.RequestIDHeader, item.ID)
	if item.Service.ContentType != "" {
		req.Header.Set("Content-Type", item.Service.ContentType)
	}
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := o.client.DoByIdempotency(req, item.Idempotent)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if id := resp.Header.Get(upstream.RequestIDHeader); id != "" && id != item.ID {
		return nil, &delivery.UnexpectedFrameError{WantID: item.ID, GotID: id}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxServiceResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxServiceResponseBytes {
		return nil, errResponseTooLarge
	}
	return &upstream.ServiceResponse{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body}, nil
}
