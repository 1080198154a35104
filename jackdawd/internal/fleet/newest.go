package fleet

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"jackdawhinge/common/traffic"
)

// newestTimeout is how long a host that starts waits for what others know. Hosts that have just been lost do not answer, and
// until then this one serves nobody.
const newestTimeout = 300 * time.Millisecond

// NewestArgs say which configuration a host has read that starts.
type NewestArgs struct {
	Version int64
}

// NewestReply is a newer configuration, empty if the other host knows none.
type NewestReply struct {
	Document []byte
}

// Newest returns the configuration that is in force here if it is newer than the one given.
func (s *service) Newest(args *NewestArgs, reply *NewestReply) error {
	conf := s.beliefs.Changes().Configuration()
	if conf == nil || conf.Version() <= args.Version {
		return nil
	}
	var err error
	reply.Document, err = s.documents.pack(conf.Version(), func() ([]byte, error) { return conf.Document(), nil })
	return err
}

// preferNewest returns the newest of a configuration and those that other hosts know. A host that starts asks one of each
// failure domain: the store may have come back from an older copy, which says nothing of that.
func (c configurations) preferNewest(ctx context.Context, newest *traffic.Configuration) *traffic.Configuration {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	others := c.directory.OneOfEach(time.Now())
	answers, read := make(chan *traffic.Configuration, len(others)), newest.Version()
	for _, other := range others {
		go func() {
			known, err := c.askNewest(ctx, other, read)
			if err != nil {
				logrus.WithError(err).WithField("peer", other.Name).Info("fleet: A host does not tell which configuration it knows.")
			}
			answers <- known
		}()
	}
	for range others {
		if known := <-answers; known != nil && known.Version() > newest.Version() {
			newest = known
		}
	}
	if newest.Version() > read {
		logrus.WithFields(logrus.Fields{"read": read, "version": newest.Version()}).Info("fleet: Other hosts know a newer configuration than the store.")
	}
	return newest
}

// askNewest returns the configuration that another host knows, or nil if it knows none that is newer than the version given.
func (c configurations) askNewest(ctx context.Context, other Peer, version int64) (*traffic.Configuration, error) {
	client := c.newClient(other.Secret)
	defer c.closeClient(client)
	var reply NewestReply
	if err := client.Call(ctx, other.Address, newestCall, &NewestArgs{Version: version}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Document) == 0 {
		return nil, nil
	}
	document, err := unpack(reply.Document)
	if err != nil {
		return nil, err
	}
	return c.options.Decode(document)
}
