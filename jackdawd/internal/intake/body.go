package intake

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/work"
)

// readBody returns the request's body, or a refusal if it is too large or too slow in coming.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *work.Refusal) {
	control := http.NewResponseController(w)
	// A caller that sends a byte a minute would hold a connection and its memory for ever.
	if err := control.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, work.Refuse(http.StatusInternalServerError, work.BadRequest, "the connection takes no deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBody))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, work.Refuse(http.StatusRequestEntityTooLarge, work.TooLarge, "the body is larger than %d bytes", h.maxBody)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, work.Refuse(http.StatusRequestTimeout, work.TooSlow, "the body did not come within %s", bodyTimeout)
	case err != nil:
		return nil, work.Refuse(http.StatusBadRequest, work.BadRequest, "the body cannot be read")
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return nil, work.Refuse(http.StatusInternalServerError, work.BadRequest, "the connection takes no deadline")
	}
	return body, nil
}

// chatBody is a chat-completions request; fields that it does not name go to the engine as they are.
type chatBody struct {
	model     string
	messages  []upstream.Message
	maxTokens int
	stream    bool
	options   map[string]json.RawMessage
}

func parseChat(body []byte) (chatBody, *work.Refusal) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return chatBody{}, work.Refuse(http.StatusBadRequest, work.BadRequest, "the body is no JSON object: %v", err)
	}
	var c chatBody
	known := []struct {
		name string
		to   any
	}{{"model", &c.model}, {"messages", &c.messages}, {"max_tokens", &c.maxTokens}, {"stream", &c.stream}}
	for _, k := range known {
		raw, ok := fields[k.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, k.to); err != nil {
			return chatBody{}, work.Refuse(http.StatusBadRequest, work.BadRequest, "%s: %v", k.name, err)
		}
		delete(fields, k.name)
	}
	c.options = fields
	return c, c.check()
}

func (c chatBody) check() *work.Refusal {
	switch {
	case c.model == "":
		return work.Refuse(http.StatusBadRequest, work.BadRequest, "model: is missing")
	case len(c.messages) == 0:
		return work.Refuse(http.StatusBadRequest, work.BadRequest, "messages: there are none")
	case c.maxTokens < 0:
		return work.Refuse(http.StatusBadRequest, work.BadRequest, "max_tokens: is negative")
	}
	for _, m := range c.messages {
		if m.Role == "" {
			return work.Refuse(http.StatusBadRequest, work.BadRequest, "messages: one has no role")
		}
	}
	return nil
}
