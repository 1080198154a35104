package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
)

// newestTimeout is how long a starting host waits for the versions of other hosts. Hosts that have
// just failed do not answer, and until then this host serves nobody.
const newestTimeout = 300 * time.Millisecond

// NewestArgs hold the version that a starting host has read from the store.
type NewestArgs struct {
	Version int64
}

// NewestReply holds a newer configuration, compressed, or nothing if there is none.
type NewestReply struct {
	Document []byte
	// Evacuations is the position of the evacuations that the host has, Ends are those that ended
	// recently.
	Evacuations traffic.LogPosition
	Ends        []EndedEvacuation
}

// Newest returns this host's configuration if it is newer than the given version, and the evacuations
// that ended recently.
func (s *service) Newest(args *NewestArgs, reply *NewestReply) error {
	conf := s.state.Changes().Configuration()
	if conf == nil {
		return nil
	}
	reply.Evacuations, reply.Ends = conf.Evacuations().Position, encodeEnds(time.Now(), conf.Evacuations())
	if conf.Version() <= args.Version {
		return nil
	}
	var err error
	reply.Document, err = s.documents.compress(conf.Version(), func() ([]byte, error) { return conf.Document(), nil })
	return err
}

// withOthersKnowledge returns the newest of a configuration read from the store and those of one other
// host per failure domain, with the evacuations that ended recently. The store may have been restored
// from an older backup, which cannot be seen from the configuration it returns.
func (c configurations) withOthersKnowledge(ctx context.Context, read *traffic.Configuration) *traffic.Configuration {
	replies := c.askOthers(ctx, read.Version())
	newest := read
	for _, reply := range replies {
		newer, err := c.decodeDocument(reply.Document)
		if err != nil {
			logrus.WithError(err).Warn("fleet: A host's configuration cannot be decoded.")
		}
		if newer != nil && newer.Version() > newest.Version() {
			newest = newer
		}
	}
	if newest.Version() > read.Version() {
		logrus.WithFields(logrus.Fields{"read": read.Version(), "version": newest.Version()}).Info("fleet: Other hosts have a newer configuration than the store.")
	}
	return c.withRecentEnds(ctx, newest.WithEvacuations(read.Evacuations()), replies)
}

// askOthers returns the replies of one other host per failure domain that has a configuration newer
// than the given version, or recent ends of evacuations.
func (c configurations) askOthers(ctx context.Context, version int64) []NewestReply {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	others := c.directory.OnePerDomain(time.Now())
	answers := make(chan *NewestReply, len(others))
	for _, other := range others {
		go func() {
			reply, err := c.fetchNewest(ctx, other, version)
			if err != nil {
				logrus.WithError(err).WithField("peer", other.Name).Info("fleet: Asking a host for its configuration failed.")
			}
			answers <- reply
		}()
	}
	replies := make([]NewestReply, 0, len(others))
	for range others {
		if reply := <-answers; reply != nil {
			replies = append(replies, *reply)
		}
	}
	return replies
}

// fetchNewest returns another host's configuration if it is newer than the given version, and the
// evacuations that ended recently as that host knows; nil if it did not answer.
func (c configurations) fetchNewest(ctx context.Context, other Peer, version int64) (*NewestReply, error) {
	client := c.newClient(other.Secret)
	defer c.closeClient(client)
	var reply NewestReply
	if err := client.Call(ctx, other.Address, newestCall, &NewestArgs{Version: version}, &reply); err != nil {
		return nil, err
	}
	return &reply, nil
}

// decodeDocument returns a configuration that another host sent, or nil if it sent none.
func (c configurations) decodeDocument(document []byte) (*traffic.Configuration, error) {
	if len(document) == 0 {
		return nil, nil
	}
	decompressed, err := decompress(document)
	if err != nil {
		return nil, err
	}
	return c.options.DecodeConfiguration(decompressed)
}
