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
	if refusal := h.enter(); refusal != nil {
		refusal.Write(w)
		return
	}
	defer h.leave()
	item, c, body, stream, refusal := h.chatItem(w, r)
	if refusal != nil {
		h.meter.Refused(c.class, refusal)
		refusal.Write(w)
		return
	}
	w.Header().Set(RequestIDHeader, item.ID)
	if stream {
		h.serve(r, c, item, body, newEventWriter(w, item))
		return
	}
	answer := &wholeWriter{w: w, item: item}
	h.serve(r, c, item, body, answer)
}

func (h *Handler) chatItem(w http.ResponseWriter, r *http.Request) (item *work.Item, c caller, body []byte, stream bool, refusal *work.Refusal) {
	if r.Method != http.MethodPost {
		return nil, c, nil, false, work.Refuse(http.StatusMethodNotAllowed, work.BadRequest, "only POST is answered here")
	}
	c, refusal = h.authenticate(r)
	if refusal != nil {
		return nil, c, nil, false, refusal
	}
	body, refusal = h.readBody(w, r)
	if refusal != nil {
		return nil, c, nil, false, refusal
	}
	chat, refusal := parseChat(body)
	if refusal != nil {
		return nil, c, nil, false, refusal
	}
	if pool, ok := h.views().Pool(chat.model); !ok || pool.Kind() != targets.Engine {
		return nil, c, nil, false, work.Refuse(http.StatusNotFound, work.UnknownModel, "model: there is no model %q", chat.model)
	}
	id := r.Header.Get(ChatHeader)
	if id == "" {
		// A request without a chat comes back to nothing, so any place will do.
		id = uuid.NewString()
	}
	item = c.item(chat.model, id)
	item.Messages, item.MaxTokens, item.Options = chat.messages, chat.maxTokens, chat.options
	return item, c, body, chat.stream, nil
}

// The JSON shapes of chat completions.
type (
	chunk struct {
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

// tally sums up an answer's usage.
type tally struct {
	prompt, cached, completion int
}

func (t *tally) add(f upstream.Frame) {
	t.prompt += f.PromptTokens
	t.cached += f.CachedTokens
	t.completion++
}

func (t *tally) usage() *usage {
	return &usage{
		PromptTokens:     t.prompt,
		CompletionTokens: t.completion,
		TotalTokens:      t.prompt + t.completion,
		Details:          tokenDetails{CachedTokens: t.cached},
	}
}

const assistant = "assistant"

// eventWriter writes an answer as server-sent events.
type eventWriter struct {
	w     http.ResponseWriter
	out   *http.ResponseController
	item  *work.Item
	tally tally
	begun bool
	buf   []byte
	chunk chunk
	delta upstream.Message
}

func newEventWriter(w http.ResponseWriter, item *work.Item) *eventWriter {
	e := &eventWriter{w: w, out: http.NewResponseController(w), item: item}
	e.delta.Role = assistant
	e.chunk = chunk{ID: item.ID, Object: "chat.completion.chunk", Model: item.Model, Choices: []choice{{Delta: &e.delta}}}
	return e
}

func (e *eventWriter) frame(f upstream.Frame) error {
	if !e.begun {
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.begun = true
	}
	e.tally.add(f)
	e.delta.Content = f.Text
	if f.Finish != "" {
		e.chunk.Choices[0].FinishReason = &f.Finish
		e.chunk.Usage = e.tally.usage()
	}
	data, err := json.Marshal(&e.chunk)
	if err != nil {
		return err
	}
	end := ""
	if f.Finish != "" {
		// Only a whole answer ends with this marker: a caller that does not
		// see it knows that its answer was cut.
		end = "data: [DONE]\n\n"
	}
	return e.write(data, end)
}

func (e *eventWriter) write(data []byte, end string) error {
	e.buf = append(e.buf[:0], "data: "...)
	e.buf = append(e.buf, data...)
	e.buf = append(e.buf, "\n\n"...)
	e.buf = append(e.buf, end...)
	// A caller that stops reading would hold the upstream's slot for ever.
	if err := e.out.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if _, err := e.w.Write(e.buf); err != nil {
		return err
	}
	return e.out.Flush()
}

func (e *eventWriter) refuse(r *work.Refusal) {
	if !e.begun {
		r.Write(e.w)
		return
	}
	if _, err := e.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	// A caller that has gone away needs no error.
	_ = e.write(r.Body(), "")
}

// wholeWriter writes an answer as one JSON body.
type wholeWriter struct {
	w     http.ResponseWriter
	item  *work.Item
	tally tally
	text  strings.Builder
}

func (a *wholeWriter) frame(f upstream.Frame) error {
	a.tally.add(f)
	a.text.WriteString(f.Text)
	if f.Finish == "" {
		return nil
	}
	a.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(a.w).Encode(chunk{
		ID: a.item.ID, Object: "chat.completion", Model: a.item.Model, Usage: a.tally.usage(),
		Choices: []choice{{Message: &upstream.Message{Role: assistant, Content: a.text.String()}, FinishReason: &f.Finish}},
	})
}

func (a *wholeWriter) refuse(r *work.Refusal) {
	r.Write(a.w)
}
