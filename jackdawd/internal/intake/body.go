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

// readBody returns the request's body, or a refusal if the body is too large or arrives too slowly.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *work.Refusal) {
	controller := http.NewResponseController(w)
	// Without a deadline, a caller that sends one byte per minute would hold its connection and
	// memory forever.
	if err := controller.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, work.NewRefusal(http.StatusInternalServerError, work.BadRequest, "the connection takes no deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.maxBodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, work.NewRefusal(http.StatusRequestEntityTooLarge, work.TooLarge, "the body is larger than %d bytes", h.maxBodyBytes)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, work.NewRefusal(http.StatusRequestTimeout, work.CallerTooSlow, "the body did not come within %s", bodyTimeout)
	case err != nil:
		return nil, work.NewRefusal(http.StatusBadRequest, work.BadRequest, "the body cannot be read")
	}
	if err := controller.SetReadDeadline(time.Time{}); err != nil {
		return nil, work.NewRefusal(http.StatusInternalServerError, work.BadRequest, "the connection takes no deadline")
	}
	return body, nil
}

// chatRequest is the body of a chat-completions request. Its options are the fields that intake does
// not know; they are passed to the engine unchanged.
type chatRequest struct {
	model     string
	messages  []upstream.Message
	maxTokens int
	stream    bool
	options   map[string]json.RawMessage
}

func parseChatRequest(body []byte) (chatRequest, *work.Refusal) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return chatRequest{}, work.NewRefusal(http.StatusBadRequest, work.BadRequest, "the body is no JSON object: %v", err)
	}
	var chat chatRequest
	known := []struct {
		name string
		dest any
	}{{"model", &chat.model}, {"messages", &chat.messages}, {"max_tokens", &chat.maxTokens}, {"stream", &chat.stream}}
	for _, field := range known {
		raw, ok := fields[field.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, field.dest); err != nil {
			return chatRequest{}, work.NewRefusal(http.StatusBadRequest, work.BadRequest, "%s: %v", field.name, err)
		}
		delete(fields, field.name)
	}
	chat.options = fields
	return chat, chat.check()
}

func (c chatRequest) check() *work.Refusal {
	switch {
	case c.model == "":
		return work.NewRefusal(http.StatusBadRequest, work.BadRequest, "model: is missing")
	case len(c.messages) == 0:
		return work.NewRefusal(http.StatusBadRequest, work.BadRequest, "messages: there are none")
	case c.maxTokens < 0:
		return work.NewRefusal(http.StatusBadRequest, work.BadRequest, "max_tokens: is negative")
	}
	for _, m := range c.messages {
		if m.Role == "" {
			return work.NewRefusal(http.StatusBadRequest, work.BadRequest, "messages: one has no role")
		}
	}
	return nil
}
