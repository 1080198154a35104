package intake

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"jackdawhinge/common/targets"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/work"
)

// ServeChat answers a chat-completions request.
func (h *Handler) ServeChat(w http.ResponseWriter, r *http.Request) {
	if refusal := h.acquireSlot(); refusal != nil {
		refusal.Write(w)
		return
	}
	defer h.releaseSlot()
	item, c, body, stream, refusal := h.readChatRequest(w, r)
	if refusal != nil {
		h.meter.RecordRefusal(c.className, refusal)
		refusal.Write(w)
		return
	}
	w.Header().Set(RequestIDHeader, item.ID)
	if stream {
		h.serve(r, c, item, body, newEventWriter(w, item))
		return
	}
	response := &jsonWriter{w: w, item: item}
	h.serve(r, c, item, body, response)
}

// readChatRequest returns the work item, caller and body of a chat-completions request, and whether
// the response is to be streamed.
func (h *Handler) readChatRequest(w http.ResponseWriter, r *http.Request) (item *work.Item, c caller, body []byte, stream bool, refusal *work.Refusal) {
	if r.Method != http.MethodPost {
		return nil, c, nil, false, work.NewRefusal(http.StatusMethodNotAllowed, work.BadRequest, "only POST is answered here")
	}
	c, refusal = h.authenticate(r)
	if refusal != nil {
		return nil, c, nil, false, refusal
	}
	body, refusal = h.readBody(w, r)
	if refusal != nil {
		return nil, c, nil, false, refusal
	}
	chat, refusal := parseChatRequest(body)
	if refusal != nil {
		return nil, c, nil, false, refusal
	}
	if pool, ok := h.currentView().Pool(chat.model); !ok || pool.Kind() != targets.Engine {
		return nil, c, nil, false, work.NewRefusal(http.StatusNotFound, work.UnknownModel, "model: there is no model %q", chat.model)
	}
	chatID := r.Header.Get(ChatHeader)
	if chatID == "" {
		// Without a chat there is no cached prompt to return to, so any upstream will do.
		chatID = uuid.NewString()
	}
	item = c.newItem(chat.model, chatID)
	item.Messages, item.MaxTokens, item.Options = chat.messages, chat.maxTokens, chat.options
	return item, c, body, chat.stream, nil
}

// The JSON bodies of chat completions; completion is both a whole response and a streamed chunk.
type (
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *usage   `json:"usage,omitempty"`
	}
	choice struct {
		Index        int                    `json:"index"`
		Delta        *upstream.Message      `json:"delta,omitempty"`
		Message      *upstream.Message      `json:"message,omitempty"`
		FinishReason *upstream.FinishReason `json:"finish_reason"`
	}
	usage struct {
		PromptTokens     int          `json:"prompt_tokens"`
		CompletionTokens int          `json:"completion_tokens"`
		TotalTokens      int          `json:"total_tokens"`
		Details          tokenDetails `json:"prompt_tokens_details"`
	}
	tokenDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}
)

// usageCounter adds up the token usage of a response.
type usageCounter struct {
	prompt, cached, completion int
}

func (u *usageCounter) add(f upstream.Frame) {
	u.prompt += f.PromptTokens
	u.cached += f.CachedTokens
	u.completion++
}

func (u *usageCounter) totals() *usage {
	return &usage{
		PromptTokens:     u.prompt,
		CompletionTokens: u.completion,
		TotalTokens:      u.prompt + u.completion,
		Details:          tokenDetails{CachedTokens: u.cached},
	}
}

const assistantRole = "assistant"

// eventWriter writes a response as server-sent events.
type eventWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	item       *work.Item
	usage      usageCounter
	started    bool
	buf        []byte
	chunk      completion
	delta      upstream.Message
}

func newEventWriter(w http.ResponseWriter, item *work.Item) *eventWriter {
	e := &eventWriter{w: w, controller: http.NewResponseController(w), item: item}
	e.delta.Role = assistantRole
	e.chunk = completion{ID: item.ID, Object: "chat.completion.chunk", Model: item.Model, Choices: []choice{{Delta: &e.delta}}}
	return e
}

func (e *eventWriter) writeFrame(f upstream.Frame) error {
	if !e.started {
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.started = true
	}
	e.usage.add(f)
	e.delta.Content = f.Text
	if f.Finish != "" {
		e.chunk.Choices[0].FinishReason = &f.Finish
		e.chunk.Usage = e.usage.totals()
	}
	data, err := json.Marshal(&e.chunk)
	if err != nil {
		return err
	}
	trailer := ""
	if f.Finish != "" {
		// Only a complete response ends with this marker, so a caller can detect a
		// truncated one.
		trailer = "data: [DONE]\n\n"
	}
	return e.writeEvent(data, trailer)
}

func (e *eventWriter) writeEvent(data []byte, trailer string) error {
	e.buf = append(e.buf[:0], "data: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
	e.buf = append(e.buf, trailer...)
	// Without a deadline, a caller that stops reading would hold the upstream's slot forever.
	if err := e.controller.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.controller.Flush()
}

func (e *eventWriter) writeRefusal(r *work.Refusal) {
	if !e.started {
		r.Write(e.w)
		return
	}
	if _, err := e.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	// An error means that the caller has disconnected.
	_ = e.writeEvent(r.Body(), "")
}

// jsonWriter writes a response as one JSON body.
type jsonWriter struct {
	w     http.ResponseWriter
	item  *work.Item
	usage usageCounter
	text  strings.Builder
}

func (j *jsonWriter) writeFrame(f upstream.Frame) error {
	j.usage.add(f)
	j.text.WriteString(f.Text)
	if f.Finish == "" {
		return nil
	}
	j.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(j.w).Encode(completion{
		ID: j.item.ID, Object: "chat.completion", Model: j.item.Model, Usage: j.usage.totals(),
		Choices: []choice{{Message: &upstream.Message{Role: assistantRole, Content: j.text.String()}, FinishReason: &f.Finish}},
	})
}

func (j *jsonWriter) writeRefusal(r *work.Refusal) {
	r.Write(j.w)
}
