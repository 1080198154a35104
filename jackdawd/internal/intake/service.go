package intake

import (
	"net/http"
	"strings"

	"github.com/google/uuid"

	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/work"
)

// ServeService forwards a call to a plain service and answers it.
func (h *Handler) ServeService(w http.ResponseWriter, r *http.Request) {
	if refusal := h.acquireSlot(); refusal != nil {
		refusal.Write(w)
		return
	}
	defer h.releaseSlot()
	item, c, body, refusal := h.readServiceRequest(w, r)
	if refusal != nil {
		h.meter.RecordRefusal(c.className, refusal)
		refusal.Write(w)
		return
	}
	w.Header().Set(RequestIDHeader, item.ID)
	h.serve(r, c, item, body, &serviceWriter{w: w})
}

// readServiceRequest returns the work item and caller of a service call, and the bytes that identify
// it under an idempotency key.
func (h *Handler) readServiceRequest(w http.ResponseWriter, r *http.Request) (item *work.Item, c caller, body []byte, refusal *work.Refusal) {
	c, refusal = h.authenticate(r)
	if refusal != nil {
		return nil, c, nil, refusal
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, ServicePath), "/")
	if pool, ok := h.currentView().Pool(name); !ok || pool.Kind() != targets.Service {
		return nil, c, nil, work.NewRefusal(http.StatusNotFound, work.UnknownModel, "there is no service %q", name)
	}
	body, refusal = h.readBody(w, r)
	if refusal != nil {
		return nil, c, nil, refusal
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	item = c.newItem(name, uuid.NewString())
	item.Service = &work.ServiceCall{Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body}
	// Calls that share an idempotency key must also have the same method and path.
	identity := append([]byte(r.Method+" "+r.URL.RequestURI()+"\n"), body...)
	return item, c, identity, nil
}

// serviceWriter writes the response of a plain service.
type serviceWriter struct {
	w http.ResponseWriter
}

func (s *serviceWriter) writeFrame(f upstream.Frame) error {
	if f.Response == nil {
		return work.NewUncertainRefusal(work.UpstreamFailed, "the service's answer is empty")
	}
	s.w.Header().Set("Content-Type", f.Response.ContentType)
	s.w.WriteHeader(f.Response.Status)
	_, err := s.w.Write(f.Response.Body)
	return err
}

func (s *serviceWriter) writeRefusal(r *work.Refusal) {
	r.Write(s.w)
}
