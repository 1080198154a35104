package intake

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/delivery"
	"jackdawhinge/jackdawd/internal/ledger"
	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/work"
)

// The paths and headers of the callers' interface.
const (
	ChatPath        = "/v1/chat/completions"
	ServicePath     = "/v1/services/"
	WorkspaceHeader = "X-Workspace"
	ClassHeader     = "X-Class"
	ChatHeader      = "X-Chat"
	KeyHeader       = "Idempotency-Key"
	RequestIDHeader = "X-Request-Id"
)

const (
	// bodyTimeout is how long a caller may take to send its request.
	bodyTimeout = 15 * time.Second
	// writeTimeout is how long a caller may take to accept one piece of its answer.
	writeTimeout = 15 * time.Second
	maxKeyBytes  = 255
	// maxInProgress bounds the requests that one host has in progress, and so its
	// memory: ten times what a host has at the size that the fleet is made for.
	maxInProgress = 8192
	retryWhenFull = 2 * time.Second
)

// A Router brings an item's answer to a sink.
type Router interface {
	Route(ctx context.Context, item *work.Item, sink delivery.Sink) error
}

// A Meter counts what callers were given.
type Meter interface {
	Answered(class string, target, firstToken, total time.Duration)
	Refused(class string, refusal *work.Refusal)
}

// A Handler answers callers.
type Handler struct {
	views    func() *routing.View
	router   Router
	executor *ledger.Executor
	meter    Meter
	maxBody  int64
	tracer   trace.Tracer
	slots    chan struct{}
}

// NewHandler returns a handler that passes work to the router.
func NewHandler(views func() *routing.View, router Router, executor *ledger.Executor, meter Meter, maxBody int64) *Handler {
	return &Handler{
		views: views, router: router, executor: executor, meter: meter, maxBody: maxBody,
		tracer: otel.Tracer("jackdawd/intake"), slots: make(chan struct{}, maxInProgress),
	}
}

// enter takes a slot, or refuses: a crowd must not take the host down with it. The
// slot is given back by leave.
func (h *Handler) enter() *work.Refusal {
	select {
	case h.slots <- struct{}{}:
		return nil
	default:
		return work.Refuse(http.StatusServiceUnavailable, work.Overloaded, "the host has too many requests in progress").Retry(retryWhenFull)
	}
}

func (h *Handler) leave() {
	<-h.slots
}

// caller is who asks, and for which class of work.
type caller struct {
	workspace string
	class     string
	target    targets.Class
}

// authenticate returns the caller of a request.
func (h *Handler) authenticate(r *http.Request) (caller, *work.Refusal) {
	doc := h.views().Document()
	name := r.Header.Get(WorkspaceHeader)
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	ws, ok := doc.Workspaces[name]
	if !ok || !ws.Authenticates(token) {
		return caller{}, work.Refuse(http.StatusUnauthorized, work.Unauthenticated, "the workspace or its token is wrong")
	}
	class := r.Header.Get(ClassHeader)
	target, ok := doc.Classes[class]
	if !ok {
		return caller{}, work.Refuse(http.StatusBadRequest, work.UnknownClass, "%s: there is no class %q", ClassHeader, class)
	}
	if !ws.Allows(class) {
		return caller{}, work.Refuse(http.StatusForbidden, work.Forbidden, "%s: the workspace may not use class %q", ClassHeader, class)
	}
	if !target.Idempotent && r.Header.Get(KeyHeader) == "" {
		return caller{}, work.Refuse(http.StatusBadRequest, work.KeyMissing, "%s: requests of class %q need one", KeyHeader, class)
	}
	if len(r.Header.Get(KeyHeader)) > maxKeyBytes {
		return caller{}, work.Refuse(http.StatusBadRequest, work.BadRequest, "%s: is longer than %d bytes", KeyHeader, maxKeyBytes)
	}
	return caller{workspace: name, class: class, target: target}, nil
}

// item returns the item of work common to chats and services.
func (c caller) item(model, chat string) *work.Item {
	return &work.Item{
		ID:          uuid.NewString(),
		Workspace:   c.workspace,
		Class:       c.class,
		Chat:        routing.ChatHash(c.workspace, chat),
		Model:       model,
		Idempotent:  c.target.Idempotent,
		Urgency:     c.target.Urgency,
		Target:      time.Duration(c.target.FirstTokenWithin),
		BeginWithin: time.Duration(c.target.FirstTokenWithin),
	}
}

// writer writes one answer in the form that its caller asked for.
type writer interface {
	frame(f upstream.Frame) error
	refuse(r *work.Refusal)
}

// serve runs an item and writes its answer.
func (h *Handler) serve(r *http.Request, c caller, item *work.Item, body []byte, w writer) {
	begin := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "intake", trace.WithAttributes(
		attribute.String("request", item.ID), attribute.String("class", c.class), attribute.String("model", item.Model)))
	defer span.End()
	var firstToken time.Duration
	sink := func(f upstream.Frame) error {
		if firstToken == 0 {
			firstToken = time.Since(begin)
		}
		return w.frame(f)
	}
	err := h.run(ctx, r.Header.Get(KeyHeader), c, item, body, sink)
	if err == nil {
		h.meter.Answered(c.class, time.Duration(c.target.FirstTokenWithin), firstToken, time.Since(begin))
		return
	}
	var refusal *work.Refusal
	if !errors.As(err, &refusal) {
		refusal = work.Uncertain(work.UpstreamFailed, "the answer broke off")
	}
	span.SetAttributes(attribute.String("refusal", string(refusal.Code)))
	h.meter.Refused(c.class, refusal)
	w.refuse(refusal)
}

func (h *Handler) run(ctx context.Context, key string, c caller, item *work.Item, body []byte, sink delivery.Sink) error {
	if c.target.Idempotent {
		return h.router.Route(ctx, item, sink)
	}
	request := ledger.Request{ID: item.ID, Workspace: c.workspace, Key: key, Body: body}
	return h.executor.Execute(ctx, request, func(ctx context.Context, sink func(upstream.Frame) error) error {
		return h.router.Route(ctx, item, sink)
	}, sink)
}
