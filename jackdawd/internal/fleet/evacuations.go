package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
)

// encodeEnds returns the evacuations that ended recently, for another host, whose clock may differ.
func encodeEnds(now time.Time, evacuations traffic.Evacuations) []EndedEvacuation {
	var out []EndedEvacuation
	for domain, end := range evacuations.Ends() {
		out = append(out, EndedEvacuation{FailureDomain: domain, Record: end.Record, Ago: now.Sub(end.At)})
	}
	return out
}

// decodeEnds returns the evacuations that another host sent as ended recently.
func decodeEnds(now time.Time, ends []EndedEvacuation) map[string]traffic.EvacuationEnd {
	out := map[string]traffic.EvacuationEnd{}
	for _, end := range ends {
		out[end.FailureDomain] = traffic.EvacuationEnd{Record: end.Record, At: now.Add(-end.Ago)}
	}
	return out
}

// withRecentEnds returns a configuration read from the store, with the evacuations that ended
// recently. The store tells which these are, but not when. Hosts that have read of an end know it,
// and no longer have one after which no upstream is cold any more; replies are theirs.
func (c configurations) withRecentEnds(ctx context.Context, read *traffic.Configuration, replies []NewestReply) *traffic.Configuration {
	if read.MaxColdStart() == 0 {
		return read
	}
	now := time.Now()
	ends := map[string]traffic.EvacuationEnd{}
	for _, reply := range replies {
		ends = traffic.MergeEnds(ends, decodeEnds(now, reply.Ends))
	}
	records, err := c.options.Configurations.RecentEnds(ctx)
	if err != nil {
		logrus.WithError(err).Warn("fleet: Reading which evacuations have ended failed. Only other hosts tell.")
	}
	for domain, record := range records {
		if !hasReadTo(replies, record) {
			ends[domain] = traffic.EvacuationEnd{Record: record, At: now}
		}
	}
	return read.WithEvacuations(read.Evacuations().WithEnds(ends))
}

// hasReadTo reports whether one of the hosts that replied has the evacuations as of a position.
func hasReadTo(replies []NewestReply, position traffic.LogPosition) bool {
	for _, reply := range replies {
		if !reply.Evacuations.Before(position) {
			return true
		}
	}
	return false
}
