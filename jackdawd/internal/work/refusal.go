package work

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// An Outcome says what is known of a request that has no answer.
type Outcome string

// The outcomes.
const (
	// NotRun is proved: no upstream's execution has begun or will begin.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have executed the request.
	Unknown Outcome = "unknown"
	// InProgress means that the first request with this key has not ended.
	InProgress Outcome = "in-progress"
	// Done means that the request was executed, but its answer is no longer to be had.
	Done Outcome = "done"
)

// A Code names the reason for a refusal.
type Code string

// The codes of refusals.
const (
	BadRequest        Code = "bad-request"
	Unauthenticated   Code = "unauthenticated"
	Forbidden         Code = "forbidden"
	UnknownClass      Code = "unknown-class"
	UnknownModel      Code = "unknown-model"
	TooLarge          Code = "too-large"
	TooSlow           Code = "caller-too-slow"
	KeyMissing        Code = "idempotency-key-missing"
	KeyReused         Code = "idempotency-key-reused"
	KeyInProgress     Code = "idempotency-key-in-progress"
	KeyOutcomeUnknown Code = "idempotency-key-outcome-unknown"
	AnswerGone        Code = "answer-gone"
	Overloaded        Code = "overloaded"
	NoUpstream        Code = "no-upstream"
	UpstreamFailed    Code = "upstream-failed"
	LogUnavailable    Code = "log-unavailable"
	Stopping          Code = "stopping"
	NotReady          Code = "not-ready"
	Cancelled         Code = "cancelled"
	// Quarantined requests are those under which upstreams have crashed.
	Quarantined Code = "quarantined"
)

// A Refusal is the typed error that a caller gets in place of an answer.
type Refusal struct {
	Status     int           `json:"status"`
	Code       Code          `json:"code"`
	Outcome    Outcome       `json:"outcome"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"-"`
}

// Refuse returns a refusal of a request that was not run.
func Refuse(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: NotRun, Message: fmt.Sprintf(format, args...)}
}

// Uncertain returns a refusal of a request that may have run.
func Uncertain(code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Code: code, Outcome: Unknown, Message: fmt.Sprintf(format, args...)}
}

// Retry returns the refusal with a time after which to retry, with jitter of half of it,
// so that a refused crowd does not come back as one.
func (r *Refusal) Retry(after time.Duration) *Refusal {
	r.RetryAfter = after + rand.N(after/2+1)
	return r
}

// Error returns the code, the outcome and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

// Body returns the refusal as a JSON body.
func (r *Refusal) Body() []byte {
	data, err := json.Marshal(refusalBody{Error: r})
	if err != nil {
		// A refusal holds only numbers and text, which always encode.
		panic(err)
	}
	return data
}

// Write sends the refusal as an HTTP response.
func (r *Refusal) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		seconds := int64((r.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(r.Status)
	// A caller that has gone away needs no refusal.
	_, _ = w.Write(r.Body())
}

// ReadRefusal returns the refusal in an HTTP response's body, or one of unknown outcome if it holds none.
func ReadRefusal(resp *http.Response, body []byte) *Refusal {
	var b refusalBody
	if err := json.Unmarshal(body, &b); err != nil || b.Error == nil || b.Error.Code == "" {
		return Uncertain(UpstreamFailed, "the host answered with status %d", resp.StatusCode)
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		b.Error.RetryAfter = time.Duration(s) * time.Second
	}
	return b.Error
}
