package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"jackdawhinge/common/peers"
	"jackdawhinge/common/upstream"
	"jackdawhinge/jackdawd/internal/work"
)

const (
	// executionStartTimeout is how long after its claim was requested a request may start
	// executing. The log's retention must be many times as long.
	executionStartTimeout = 5 * time.Second
	// maxStoredResponseBytes is the size of the largest response stored in the log for
	// duplicate requests.
	maxStoredResponseBytes = 4 << 10
	claimRetryAfter        = 2 * time.Second
	endTimeout             = 5 * time.Second
)

// A Claimer claims keys and ends claims, on this host or through another one.
type Claimer interface {
	Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error)
	End(ctx context.Context, args peers.CloseArgs) error
}

// RunFunc executes a request and passes the response to sink. A *work.Refusal as its error
// tells whether the request was executed.
type RunFunc func(ctx context.Context, sink func(upstream.Frame) error) error

// An Executor executes a request with an idempotency key at most once.
type Executor struct {
	claims Claimer
}

// NewExecutor returns an executor that claims keys through claims.
func NewExecutor(claims Claimer) *Executor {
	return &Executor{claims: claims}
}

// A Request identifies a request with an idempotency key. Only hashes of it are written to
// the log.
type Request struct {
	ID        string
	Workspace string
	Key       string
	Body      []byte
}

// Execute runs a request if its claim is granted; otherwise it passes on the stored response
// or returns a *work.Refusal.
func (e *Executor) Execute(ctx context.Context, r Request, run RunFunc, sink func(upstream.Frame) error) error {
	requestedAt := time.Now()
	args := peers.ClaimArgs{Claim: newClaimID(), Key: hash(r.Workspace, r.Key), Body: hash(string(r.Body))}
	reply, err := e.claims.Claim(ctx, args)
	if err != nil {
		e.end(args, peers.CloseArgs{Void: true})
		return work.NewRefusal(http.StatusServiceUnavailable, work.LogUnavailable, "the key could not be claimed").WithRetryAfter(claimRetryAfter)
	}
	if reply.State != peers.Granted {
		return respondToDuplicate(r, reply, sink)
	}
	if time.Since(requestedAt) > executionStartTimeout || ctx.Err() != nil {
		// A host that was paused may resume after retention removed its claim from the
		// log and another host's claim was granted. Only this host can execute this
		// claim, so voiding it here proves that the request was not executed.
		e.end(args, peers.CloseArgs{Void: true})
		return work.NewRefusal(http.StatusServiceUnavailable, work.LogUnavailable, "the claim came too late to be used").WithRetryAfter(claimRetryAfter)
	}
	return e.runAndRecord(ctx, args, run, sink)
}

func (e *Executor) runAndRecord(ctx context.Context, args peers.ClaimArgs, run RunFunc, sink func(upstream.Frame) error) error {
	var response responseBuffer
	err := run(ctx, func(f upstream.Frame) error {
		response.add(f)
		return sink(f)
	})
	var refusal *work.Refusal
	switch {
	case err == nil:
		e.end(args, peers.CloseArgs{State: peers.Finished, Answer: response.encode()})
	case errors.As(err, &refusal) && refusal.Outcome == work.NotRun:
		e.end(args, peers.CloseArgs{Void: true})
	default:
		e.end(args, peers.CloseArgs{State: peers.Uncertain})
	}
	return err
}

// end records the end of a claim in the background. If the record is lost, the claim stays
// running: duplicates see it as in progress and later as uncertain, never as free.
func (e *Executor) end(args peers.ClaimArgs, closeArgs peers.CloseArgs) {
	closeArgs.Claim, closeArgs.Key, closeArgs.Body = args.Claim, args.Key, args.Body
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	go func() {
		defer cancel()
		if err := e.claims.End(ctx, closeArgs); err != nil {
			logrus.WithError(err).Warn("ledger: Recording the end of a claim failed.")
		}
	}()
}

// respondToDuplicate answers a request whose claim was not granted.
func respondToDuplicate(r Request, reply peers.ClaimReply, sink func(upstream.Frame) error) error {
	switch reply.State {
	case peers.Unavailable:
		return work.NewRefusal(http.StatusServiceUnavailable, work.LogUnavailable, "the ledger cannot be read now").WithRetryAfter(claimRetryAfter)
	case peers.BodyMismatch:
		return work.NewRefusal(http.StatusUnprocessableEntity, work.KeyReused, "the key was used for another request")
	case peers.Running:
		refusal := work.NewRefusal(http.StatusConflict, work.KeyInProgress, "the first request with this key has not ended")
		refusal.Outcome = work.InProgress
		return refusal.WithRetryAfter(claimRetryAfter)
	case peers.Finished:
		var f upstream.Frame
		if len(reply.Answer) > 0 && json.Unmarshal(reply.Answer, &f) == nil {
			f.RequestID = r.ID
			return sink(f)
		}
		refusal := work.NewRefusal(http.StatusConflict, work.AnswerGone, "the request was executed, its answer was too long to keep")
		refusal.Outcome = work.Done
		return refusal
	default:
		refusal := work.NewRefusal(http.StatusConflict, work.KeyOutcomeUnknown, "whether the request was executed is not known, and it is not run again")
		refusal.Outcome = work.Unknown
		return refusal
	}
}

// responseBuffer joins a response's frames into one, up to maxStoredResponseBytes.
type responseBuffer struct {
	frame upstream.Frame
	size  int
}

func (b *responseBuffer) add(f upstream.Frame) {
	b.size += len(f.Text)
	if f.Response != nil {
		b.size += len(f.Response.Body)
		b.frame.Response = f.Response
	}
	if b.size > maxStoredResponseBytes {
		return
	}
	b.frame.Text += f.Text
	b.frame.Finish = f.Finish
	b.frame.PromptTokens += f.PromptTokens
	b.frame.CachedTokens += f.CachedTokens
}

func (b *responseBuffer) encode() []byte {
	if b.size > maxStoredResponseBytes || b.frame.Finish == "" {
		return nil
	}
	data, err := json.Marshal(b.frame)
	if err != nil {
		return nil
	}
	return data
}

func hash(parts ...string) string {
	h := sha256.New()
	for _, part := range parts {
		// The length prefix gives parts that differ but concatenate to the same text
		// different hashes.
		h.Write([]byte{byte(len(part) >> 8), byte(len(part))})
		h.Write([]byte(part))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:16])
}

// newClaimID returns a unique claim ID, base64-encoded because that is shorter in the log than
// a UUID's usual form.
func newClaimID() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}
