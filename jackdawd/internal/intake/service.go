package intake

import (
	"net/http"
	"strings"

	"github.com/google/uuid"

	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/work"
)

// ServeService passes a call through to a plain service.
func (h *Handler) ServeService(w http.ResponseWriter, r *http.Request) {
	if refusal := h.enter(); refusal != nil {
		refusal.Write(w)
		return
	}
	defer h.leave()
	item, c, body, refusal := h.serviceItem(w, r)
	if refusal != nil {
		h.meter.Refused(c.class, refusal)
		refusal.Write(w)
		return
	}
	w.Header().Set(RequestIDHeader, item.ID)
	h.serve(r, c, item, body, &serviceWriter{w: w})
}

func (h *Handler) serviceItem(w http.ResponseWriter, r *http.Request) (item *work.Item, c caller, body []byte, refusal *work.Refusal) {
	c, refusal = h.authenticate(r)
	if refusal != nil {
		return nil, c, nil, refusal
	}
	name, path, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, ServicePath), "/")
	if pool, ok := h.views().Pool(name); !ok || pool.Kind() != targets.Service {
		return nil, c, nil, work.Refuse(http.StatusNotFound, work.UnknownModel, "there is no service %q", name)
	}
	body, refusal = h.readBody(w, r)
	if refusal != nil {
		return nil, c, nil, refusal
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	item = c.item(name, uuid.NewString())
	item.Service = &work.ServiceCall{Method: r.Method, Path: path, ContentType: r.Header.Get("Content-Type"), Body: body}
	// Two calls with one key must also agree on method and path.
	identity := append([]byte(r.Method+" "+r.URL.RequestURI()+"\n"), body...)
	return item, c, identity, nil
}

// serviceWriter writes the answer of a plain service.
type serviceWriter struct {
	w http.ResponseWriter
}

func (s *serviceWriter) frame(f upstream.Frame) error {
	if f.Answer == nil {
		return work.Uncertain(work.UpstreamFailed, "the service's answer is empty")
	}
	s.w.Header().Set("Content-Type", f.Answer.ContentType)
	s.w.WriteHeader(f.Answer.Status)
	_, err := s.w.Write(f.Answer.Body)
	return err
}

func (s *serviceWriter) refuse(r *work.Refusal) {
	r.Write(s.w)
}
