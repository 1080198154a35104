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
	// executeWithin is how long after asking for a claim its execution may begin.
	// The log must keep records many times as long.
	executeWithin = 5 * time.Second
	// maxKeptAnswer is the largest answer that is kept in the log for repeats.
	maxKeptAnswer = 4 << 10
	retryClaim    = 2 * time.Second
	endTimeout    = 5 * time.Second
)

// A Claims is the ledger as a claimant sees it, on this host or another.
type Claims interface {
	Claim(ctx context.Context, args peers.ClaimArgs) (peers.ClaimReply, error)
	End(ctx context.Context, args peers.CloseArgs) error
}

// Run executes a request and passes its answer on; its error says whether it was run.
type Run func(ctx context.Context, sink func(upstream.Frame) error) error

// An Executor executes requests with an idempotency key at most once.
type Executor struct {
	claims Claims
}

// NewExecutor returns an executor that claims keys from the ledger given.
func NewExecutor(claims Claims) *Executor {
	return &Executor{claims: claims}
}

// A Request is what identifies a keyed request; nothing of it reaches the log but hashes.
type Request struct {
	ID        string
	Workspace string
	Key       string
	Body      []byte
}

// Execute runs a request if its claim is the key's first, or passes on the answer kept.
func (e *Executor) Execute(ctx context.Context, r Request, run Run, sink func(upstream.Frame) error) error {
	asked := time.Now()
	args := peers.ClaimArgs{Claim: newClaim(), Key: hash(r.Workspace, r.Key), Body: hash(string(r.Body))}
	reply, err := e.claims.Claim(ctx, args)
	if err != nil {
		e.end(args, peers.CloseArgs{Void: true})
		return work.Refuse(http.StatusServiceUnavailable, work.LogUnavailable, "the key could not be claimed").Retry(retryClaim)
	}
	if reply.State != peers.Granted {
		return replay(r, reply, sink)
	}
	if time.Since(asked) > executeWithin || ctx.Err() != nil {
		// A host that was paused may wake after the log has trimmed its claim
		// and another host's claim has become the first. Only this host can
		// execute this claim, so giving it up here proves that it was not run.
		e.end(args, peers.CloseArgs{Void: true})
		return work.Refuse(http.StatusServiceUnavailable, work.LogUnavailable, "the claim came too late to be used").Retry(retryClaim)
	}
	return e.run(ctx, args, run, sink)
}

func (e *Executor) run(ctx context.Context, args peers.ClaimArgs, run Run, sink func(upstream.Frame) error) error {
	var kept keptAnswer
	err := run(ctx, func(f upstream.Frame) error {
		kept.add(f)
		return sink(f)
	})
	var refusal *work.Refusal
	switch {
	case err == nil:
		e.end(args, peers.CloseArgs{State: peers.Finished, Answer: kept.encode()})
	case errors.As(err, &refusal) && refusal.Outcome == work.NotRun:
		e.end(args, peers.CloseArgs{Void: true})
	default:
		e.end(args, peers.CloseArgs{State: peers.Uncertain})
	}
	return err
}

// end closes a claim. A close that is lost leaves the claim running, which
// repeats see as in progress and later as uncertain: never as free.
func (e *Executor) end(args peers.ClaimArgs, end peers.CloseArgs) {
	end.Claim, end.Key, end.Body = args.Claim, args.Key, args.Body
	ctx, cancel := context.WithTimeout(context.Background(), endTimeout)
	go func() {
		defer cancel()
		if err := e.claims.End(ctx, end); err != nil {
			logrus.WithError(err).Warn("ledger: The end of a claim was not recorded.")
		}
	}()
}

// replay answers a repeat of a request whose key another claim holds.
func replay(r Request, reply peers.ClaimReply, sink func(upstream.Frame) error) error {
	switch reply.State {
	case peers.Unready:
		return work.Refuse(http.StatusServiceUnavailable, work.LogUnavailable, "the ledger cannot be read now").Retry(retryClaim)
	case peers.Mismatch:
		return work.Refuse(http.StatusUnprocessableEntity, work.KeyReused, "the key was used for another request")
	case peers.Running:
		refusal := work.Refuse(http.StatusConflict, work.KeyInProgress, "the first request with this key has not ended")
		refusal.Outcome = work.InProgress
		return refusal.Retry(retryClaim)
	case peers.Finished:
		var f upstream.Frame
		if len(reply.Answer) > 0 && json.Unmarshal(reply.Answer, &f) == nil {
			f.RequestID = r.ID
			return sink(f)
		}
		refusal := work.Refuse(http.StatusConflict, work.AnswerGone, "the request was executed, its answer was too long to keep")
		refusal.Outcome = work.Done
		return refusal
	default:
		refusal := work.Refuse(http.StatusConflict, work.KeyOutcomeUnknown, "whether the request was executed is not known, and it is not run again")
		refusal.Outcome = work.Unknown
		return refusal
	}
}

// keptAnswer joins an answer's frames into one, as long as it is small enough to keep.
type keptAnswer struct {
	frame upstream.Frame
	size  int
}

func (k *keptAnswer) add(f upstream.Frame) {
	k.size += len(f.Text)
	if f.Answer != nil {
		k.size += len(f.Answer.Body)
		k.frame.Answer = f.Answer
	}
	if k.size > maxKeptAnswer {
		return
	}
	k.frame.Text += f.Text
	k.frame.Finish = f.Finish
	k.frame.PromptTokens += f.PromptTokens
	k.frame.CachedTokens += f.CachedTokens
}

func (k *keptAnswer) encode() []byte {
	if k.size > maxKeptAnswer || k.frame.Finish == "" {
		return nil
	}
	data, err := json.Marshal(k.frame)
	if err != nil {
		return nil
	}
	return data
}

func hash(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		// The length keeps apart what only together is the same text.
		h.Write([]byte{byte(len(p) >> 8), byte(len(p))})
		h.Write([]byte(p))
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:16])
}

// newClaim returns an identity that no other claim has; in this form it takes the fewest bytes in the log.
func newClaim() string {
	id := uuid.New()
	return base64.RawURLEncoding.EncodeToString(id[:])
}
