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
	// bodyTimeout is how long a caller may take to send the body of its request.
	bodyTimeout = 15 * time.Second
	// writeTimeout is how long a caller may take to receive one event of its response.
	writeTimeout = 15 * time.Second
	maxKeyBytes  = 255
	// maxInProgress is the maximum number of requests in progress on a host, which limits its memory.
	// It is ten times the number expected on a host of a fleet of the size that it is designed for.
	maxInProgress      = 8192
	overloadRetryAfter = 2 * time.Second
)

// A Router routes an item to an upstream and passes the response to sink.
type Router interface {
	Route(ctx context.Context, item *work.Item, sink delivery.Sink) error
}

// A Meter records responses and refusals.
type Meter interface {
	RecordResponse(class string, target, firstToken, total time.Duration)
	RecordRefusal(class string, refusal *work.Refusal)
}

// A Handler serves requests of callers.
type Handler struct {
	currentView  func() *routing.View
	router       Router
	executor     *ledger.Executor
	meter        Meter
	maxBodyBytes int64
	tracer       trace.Tracer
	slots        chan struct{}
}

// NewHandler returns a handler that routes requests with the router, those of non-idempotent classes
// through the executor. It refuses bodies of more than maxBodyBytes.
func NewHandler(currentView func() *routing.View, router Router, executor *ledger.Executor, meter Meter, maxBodyBytes int64) *Handler {
	return &Handler{
		currentView: currentView, router: router, executor: executor, meter: meter, maxBodyBytes: maxBodyBytes,
		tracer: otel.Tracer("jackdawd/intake"), slots: make(chan struct{}, maxInProgress),
	}
}

// acquireSlot takes a slot for a request, or returns a refusal if none is free, so that a surge
// cannot exhaust the host's memory. Each slot taken must be released with releaseSlot.
func (h *Handler) acquireSlot() *work.Refusal {
	select {
	case h.slots <- struct{}{}:
		return nil
	default:
		return work.NewRefusal(http.StatusServiceUnavailable, work.Overloaded, "the host has too many requests in progress").WithRetryAfter(overloadRetryAfter)
	}
}

func (h *Handler) releaseSlot() {
	<-h.slots
}

// caller is the workspace that sent a request, and the class of the request.
type caller struct {
	workspace string
	className string
	class     targets.Class
}

// authenticate returns the caller of a request, or a refusal if the token is wrong, the workspace may
// not use the class, or the idempotency key is missing or too long.
func (h *Handler) authenticate(r *http.Request) (caller, *work.Refusal) {
	doc := h.currentView().Document()
	workspaceName := r.Header.Get(WorkspaceHeader)
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	workspace, ok := doc.Workspaces[workspaceName]
	if !ok || !workspace.Authenticates(token) {
		return caller{}, work.NewRefusal(http.StatusUnauthorized, work.Unauthenticated, "the workspace or its token is wrong")
	}
	className := r.Header.Get(ClassHeader)
	class, ok := doc.Classes[className]
	if !ok {
		return caller{}, work.NewRefusal(http.StatusBadRequest, work.UnknownClass, "%s: there is no class %q", ClassHeader, className)
	}
	if !workspace.AllowsClass(className) {
		return caller{}, work.NewRefusal(http.StatusForbidden, work.Forbidden, "%s: the workspace may not use class %q", ClassHeader, className)
	}
	if !class.Idempotent && r.Header.Get(KeyHeader) == "" {
		return caller{}, work.NewRefusal(http.StatusBadRequest, work.KeyMissing, "%s: requests of class %q need one", KeyHeader, className)
	}
	if len(r.Header.Get(KeyHeader)) > maxKeyBytes {
		return caller{}, work.NewRefusal(http.StatusBadRequest, work.BadRequest, "%s: is longer than %d bytes", KeyHeader, maxKeyBytes)
	}
	return caller{workspace: workspaceName, className: className, class: class}, nil
}

// newItem returns a work item with the fields common to chats and services.
func (c caller) newItem(model, chat string) *work.Item {
	return &work.Item{
		ID:               uuid.NewString(),
		Workspace:        c.workspace,
		Class:            c.className,
		Chat:             routing.ChatHash(c.workspace, chat),
		Model:            model,
		Idempotent:       c.class.Idempotent,
		Urgency:          c.class.Urgency,
		FirstTokenTarget: time.Duration(c.class.FirstTokenWithin),
		RemainingTarget:  time.Duration(c.class.FirstTokenWithin),
	}
}

// responseWriter writes one response in the form that the caller requested.
type responseWriter interface {
	writeFrame(f upstream.Frame) error
	writeRefusal(r *work.Refusal)
}

// serve executes an item and writes its response.
func (h *Handler) serve(r *http.Request, c caller, item *work.Item, body []byte, w responseWriter) {
	start := time.Now()
	ctx := otel.GetTextMapPropagator().Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, span := h.tracer.Start(ctx, "intake", trace.WithAttributes(
		attribute.String("request", item.ID), attribute.String("class", c.className), attribute.String("model", item.Model)))
	defer span.End()
	var firstToken time.Duration
	sink := func(f upstream.Frame) error {
		if firstToken == 0 {
			firstToken = time.Since(start)
		}
		return w.writeFrame(f)
	}
	err := h.execute(ctx, r.Header.Get(KeyHeader), c, item, body, sink)
	if err == nil {
		h.meter.RecordResponse(c.className, time.Duration(c.class.FirstTokenWithin), firstToken, time.Since(start))
		return
	}
	var refusal *work.Refusal
	if !errors.As(err, &refusal) {
		refusal = work.NewUncertainRefusal(work.UpstreamFailed, "the answer broke off")
	}
	span.SetAttributes(attribute.String("refusal", string(refusal.Code)))
	h.meter.RecordRefusal(c.className, refusal)
	w.writeRefusal(refusal)
}

// execute routes an item, through the ledger if its class is not idempotent.
func (h *Handler) execute(ctx context.Context, key string, c caller, item *work.Item, body []byte, sink delivery.Sink) error {
	if c.class.Idempotent {
		return h.router.Route(ctx, item, sink)
	}
	request := ledger.Request{ID: item.ID, Workspace: c.workspace, Key: key, Body: body}
	return h.executor.Execute(ctx, request, func(ctx context.Context, sink func(upstream.Frame) error) error {
		return h.router.Route(ctx, item, sink)
	}, sink)
}
