package ledger

import "time"

const (
	// appendEvery is the mean time between two appends to a partition: claims that come between share one.
	appendEvery = 800 * time.Millisecond
	// appendBurst is how many appends may follow at once after a quiet time, so that
	// a lone claim and its outcome wait for nothing.
	appendBurst = 4
)

// A pacer spaces appends: at most appendBurst at once, and one each appendEvery in the long run.
type pacer struct {
	credit float64
	at     time.Time
}

// newPacer returns a pacer that lets a whole burst through.
func newPacer(now time.Time) *pacer {
	return &pacer{credit: appendBurst, at: now}
}

// next takes one append into account and returns how long to wait before it.
func (p *pacer) next(now time.Time) time.Duration {
	earned := now.Sub(p.at).Seconds() / appendEvery.Seconds()
	p.credit = min(appendBurst, p.credit+earned) - 1
	p.at = now
	if p.credit >= 0 {
		return 0
	}
	return time.Duration(-p.credit * float64(appendEvery))
}
