package work

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// An Outcome states whether a request without a response may have run.
type Outcome string

// The outcomes of a request without a response.
const (
	// NotRun means that it is certain that no upstream has begun or will begin to run the request.
	NotRun Outcome = "not-run"
	// Unknown means that an upstream may have run the request.
	Unknown Outcome = "unknown"
	// InProgress means that the first request with the same idempotency key is still in progress.
	InProgress Outcome = "in-progress"
	// Done means that the request has run but its response is not available.
	Done Outcome = "done"
)

// A Code is the reason for a refusal.
type Code string

// The codes of refusals.
const (
	BadRequest        Code = "bad-request"
	Unauthenticated   Code = "unauthenticated"
	Forbidden         Code = "forbidden"
	UnknownClass      Code = "unknown-class"
	UnknownModel      Code = "unknown-model"
	TooLarge          Code = "too-large"
	CallerTooSlow     Code = "caller-too-slow"
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
	// Quarantined refuses a request because upstreams crashed while they ran it.
	Quarantined Code = "quarantined"
)

// A Refusal is the error that a caller gets instead of a response.
type Refusal struct {
	Status     int           `json:"status"`
	Code       Code          `json:"code"`
	Outcome    Outcome       `json:"outcome"`
	Message    string        `json:"message"`
	RetryAfter time.Duration `json:"-"`
}

// NewRefusal returns a refusal of a request that has not run.
func NewRefusal(status int, code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: status, Code: code, Outcome: NotRun, Message: fmt.Sprintf(format, args...)}
}

// NewUncertainRefusal returns a refusal, with status 502, of a request that may have run.
func NewUncertainRefusal(code Code, format string, args ...any) *Refusal {
	return &Refusal{Status: http.StatusBadGateway, Code: code, Outcome: Unknown, Message: fmt.Sprintf(format, args...)}
}

// WithRetryAfter sets the time after which the caller may retry and returns the refusal.
// It adds jitter of up to half of the delay, so that callers refused together don't retry at the
// same time.
func (r *Refusal) WithRetryAfter(delay time.Duration) *Refusal {
	r.RetryAfter = delay + rand.N(delay/2+1)
	return r
}

// Error returns the code, the outcome and the message.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.Code, r.Outcome, r.Message)
}

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Error *Refusal `json:"error"`
}

// Body returns the refusal as a JSON body.
func (r *Refusal) Body() []byte {
	data, err := json.Marshal(refusalBody{Error: r})
	if err != nil {
		// Encoding can't fail, because a refusal holds only numbers and text.
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
	// Ignore a write error: the caller has disconnected.
	_, _ = w.Write(r.Body())
}

// DecodeRefusal decodes the refusal in the body of an HTTP response. It returns a refusal with outcome
// unknown if the body holds none.
func DecodeRefusal(resp *http.Response, body []byte) *Refusal {
	var decoded refusalBody
	if err := json.Unmarshal(body, &decoded); err != nil || decoded.Error == nil || decoded.Error.Code == "" {
		return NewUncertainRefusal(UpstreamFailed, "the host answered with status %d", resp.StatusCode)
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		decoded.Error.RetryAfter = time.Duration(seconds) * time.Second
	}
	return decoded.Error
}
