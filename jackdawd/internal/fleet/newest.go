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
}

// Newest returns this host's configuration if it is newer than the given version.
func (s *service) Newest(args *NewestArgs, reply *NewestReply) error {
	conf := s.state.Changes().Configuration()
	if conf == nil || conf.Version() <= args.Version {
		return nil
	}
	var err error
	reply.Document, err = s.documents.compress(conf.Version(), func() ([]byte, error) { return conf.Document(), nil })
	return err
}

// preferNewest returns the newest of the given configuration and those of one other host per
// failure domain. The store may have been restored from an older backup, which cannot be seen from
// the configuration it returns.
func (c configurations) preferNewest(ctx context.Context, newest *traffic.Configuration) *traffic.Configuration {
	ctx, cancel := context.WithTimeout(ctx, newestTimeout)
	defer cancel()
	others := c.directory.OnePerDomain(time.Now())
	answers, readVersion, evacuations := make(chan *traffic.Configuration, len(others)), newest.Version(), newest.Evacuations()
	for _, other := range others {
		go func() {
			newer, err := c.fetchNewest(ctx, other, readVersion)
			if err != nil {
				logrus.WithError(err).WithField("peer", other.Name).Info("fleet: Asking a host for its configuration failed.")
			}
			answers <- newer
		}()
	}
	for range others {
		if newer := <-answers; newer != nil && newer.Version() > newest.Version() {
			newest = newer
		}
	}
	newest = newest.WithEvacuations(evacuations)
	if newest.Version() > readVersion {
		logrus.WithFields(logrus.Fields{"read": readVersion, "version": newest.Version()}).Info("fleet: Other hosts have a newer configuration than the store.")
	}
	return newest
}

// fetchNewest returns another host's configuration, or nil if it is not newer than the given
// version.
func (c configurations) fetchNewest(ctx context.Context, other Peer, version int64) (*traffic.Configuration, error) {
	client := c.newClient(other.Secret)
	defer c.closeClient(client)
	var reply NewestReply
	if err := client.Call(ctx, other.Address, newestCall, &NewestArgs{Version: version}, &reply); err != nil {
		return nil, err
	}
	if len(reply.Document) == 0 {
		return nil, nil
	}
	document, err := decompress(reply.Document)
	if err != nil {
		return nil, err
	}
	return c.options.DecodeConfiguration(document)
}
