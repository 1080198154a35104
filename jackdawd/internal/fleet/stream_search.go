package fleet

import (
	"context"
	"slices"
	"time"

	"jackdawhinge/jackdawd/internal/resumption"
)

// maxOnlyVersionAge is the age up to which a list of upstreams says that there is no other version.
// Hosts that are not cut off have a newer one.
const maxOnlyVersionAge = 3 * time.Second

// FindStream finds out which software began a stream of a pool. A key of 0 stands for a stream whose
// caller does not name it.
func (s *Source) FindStream(ctx context.Context, pool string, key resumption.Key) resumption.Origin {
	now := time.Now()
	if software, ok := s.streams.Find(now, key); ok && key != 0 {
		return resumption.Origin{Software: software, Source: resumption.ThisHost}
	}
	only, hasOnly := s.options.History.Only(now, pool)
	if key == 0 {
		if hasOnly {
			return resumption.NewOrigin(pool, only, resumption.OnlyVersion)
		}
		return resumption.Origin{Source: resumption.Unknown}
	}
	origin, denials := s.askForStream(ctx, key)
	if origin.Software != 0 {
		return origin
	}
	listAge := s.ListAge()
	if hasOnly && (listAge <= maxOnlyVersionAge || s.isUnrecorded(key, denials, listAge)) {
		return origin.InferredFrom(pool, only, resumption.OnlyVersion)
	}
	version, since, ok := s.options.History.BeforeMix(now, pool)
	if ok && s.isUnrecorded(key, denials, now.Sub(since)) {
		return origin.InferredFrom(pool, version, resumption.BeforeOtherVersion)
	}
	return origin
}

// askForStream asks other hosts for the record of a stream, all at once, and returns the first one.
// Without any it returns how long the hosts that have none have held records, by name.
func (s *Source) askForStream(ctx context.Context, key resumption.Key) (origin resumption.Origin, denials map[string]time.Duration) {
	holders := slices.DeleteFunc(s.streamRanking(key), func(p rankedPeer) bool { return p.Name == s.options.Name })
	holders = holders[:min(len(holders), maxAskedHosts)]
	type answer struct {
		host  string
		reply StreamReply
		err   error
	}
	answers := make(chan answer, len(holders))
	for _, holder := range holders {
		go func() {
			a := answer{host: holder.Name}
			// The calls go on once one is answered: a call that is canceled closes the connection, which
			// other calls share.
			a.err = s.sideCall(context.WithoutCancel(ctx), holder.Peer, streamCall, &StreamArgs{Key: key}, &a.reply)
			answers <- a
		}()
	}
	origin, denials = resumption.Origin{Source: resumption.Unknown, Asked: len(holders)}, map[string]time.Duration{}
	for range holders {
		a := <-answers
		if a.err != nil {
			continue
		}
		origin.Answered++
		if a.reply.Software != 0 {
			origin.Software, origin.Source = a.reply.Software, resumption.OtherHost
			return origin, nil
		}
		denials[a.host] = a.reply.HeldFor
	}
	if 2*origin.Answered >= origin.Asked {
		// Records could not be sent to a host that is cut off from the others.
		denials[s.options.Name] = time.Since(s.startedAt)
	}
	return origin, denials
}

// isUnrecorded reports whether a stream has no record for certain, as those have none that began more
// than a duration ago, before records were sent. Its host has sent the record to the first host in
// rendezvous order, or to the second one if it is the first one itself, and to another failure domain;
// one of these has to say that it has no record.
func (s *Source) isUnrecorded(key resumption.Key, denials map[string]time.Duration, since time.Duration) bool {
	denies := func(p rankedPeer) bool {
		heldFor, ok := denials[p.Name]
		return ok && heldFor >= since
	}
	ranking := s.streamRanking(key)
	if len(ranking) < 2 || denies(ranking[0]) {
		return true
	}
	other := slices.IndexFunc(ranking, func(p rankedPeer) bool { return p.FailureDomain != ranking[0].FailureDomain })
	return denies(ranking[1]) && (other < 0 || denies(ranking[other]))
}
