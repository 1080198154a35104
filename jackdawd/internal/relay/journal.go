package relay

import (
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/jackdawd/internal/work"
)

// An Entry is what is told of a request that has ended.
type Entry struct {
	Request string
	Route   string
	Pool    string
	Tried   []string
	Verdict string
	Took    time.Duration
	Err     error
}

// A Journal takes in how requests ended.
type Journal interface {
	Answered(e Entry)
	Left(e Entry)
	Broken(e Entry)
	Refused(e Entry, r *work.Refusal)
}

func (j *job) entry(r result) Entry {
	e := Entry{Request: j.request.ID, Pool: j.pool.Name, Tried: j.tried, Verdict: string(r.verdict), Took: time.Since(j.arrived), Err: r.err}
	if j.route != nil {
		e.Route = j.route.Name
	}
	return e
}

// A LogJournal writes how requests ended to the log.
type LogJournal struct{}

// Answered writes nothing: an answered request needs no explanation.
func (LogJournal) Answered(e Entry) {
	if len(e.Tried) > 1 {
		fields(e).Info("relay: Answered after more than one try.")
	}
}

// Left writes that the caller left.
func (LogJournal) Left(e Entry) { fields(e).Debug("relay: The caller left.") }

// Broken writes that an answer broke off.
func (LogJournal) Broken(e Entry) { fields(e).Warn("relay: The answer broke off.") }

// Refused writes why a request was refused.
func (LogJournal) Refused(e Entry, r *work.Refusal) {
	fields(e).WithFields(logrus.Fields{"code": r.Code, "outcome": r.Outcome, "status": r.Status, "reason": r.Message}).Info("relay: Refused.")
}

func fields(e Entry) *logrus.Entry {
	f := logrus.Fields{"request": e.Request, "route": e.Route, "pool": e.Pool, "tried": e.Tried, "verdict": e.Verdict, "took": e.Took.String()}
	if e.Err != nil {
		f["error"] = e.Err.Error()
	}
	return logrus.WithFields(f)
}
