package routing

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"jackdawhinge/common/roster"
	"jackdawhinge/common/targets"
)

// An Upstream is a model engine or plain service that takes new work.
type Upstream struct {
	name     string
	address  string
	domain   string
	hash     uint64
	capacity int64
}

// NewUpstream returns an upstream of a host list's line.
func NewUpstream(h roster.Host) *Upstream {
	return &Upstream{
		name:     h.Name,
		address:  h.Address,
		domain:   h.FailureDomain,
		hash:     HashOf(h.Name),
		capacity: h.Capacity,
	}
}

// HashOf returns the hash of an upstream of a name, also of one that has left.
func HashOf(name string) uint64 { return xxhash.Sum64String(name) }

// Name returns the name that the host list gives the upstream.
func (u *Upstream) Name() string { return u.name }

// Address returns the upstream's IP number and port.
func (u *Upstream) Address() string { return u.address }

// FailureDomain returns the failure domain that the upstream stands in.
func (u *Upstream) FailureDomain() string { return u.domain }

// Hash returns the hash of the upstream's name, by which hosts name it to each other.
func (u *Upstream) Hash() uint64 { return u.hash }

// Capacity returns how many tokens the upstream can hold, or 0 if that is not known.
func (u *Upstream) Capacity() int64 { return u.capacity }

// A Pool is the upstreams that serve one model or service, in order of name.
type Pool struct {
	model     string
	kind      targets.Kind
	multiple  float64
	upstreams []*Upstream
}

// NewPool returns the pool of a model.
func NewPool(model string, m targets.Model, upstreams []*Upstream) *Pool {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b *Upstream) int { return cmp.Compare(a.name, b.name) })
	return &Pool{model: model, kind: m.Kind, multiple: m.Multiple(), upstreams: sorted}
}

// Model returns the name of the model or service that the pool serves.
func (p *Pool) Model() string { return p.model }

// Kind returns whether the pool's upstreams are engines or services.
func (p *Pool) Kind() targets.Kind { return p.kind }

// Upstreams returns the pool's upstreams in order of name; the slice must not be changed.
func (p *Pool) Upstreams() []*Upstream { return p.upstreams }

// Find returns the upstream of a name.
func (p *Pool) Find(name string) (*Upstream, bool) {
	i, ok := slices.BinarySearchFunc(p.upstreams, name, func(u *Upstream, n string) int { return cmp.Compare(u.name, n) })
	if !ok {
		return nil, false
	}
	return p.upstreams[i], true
}

// rankDepth is how many candidates a chat has before any upstream of the pool will do.
const rankDepth = 4

// Rank returns the chat's candidates, best first, by rendezvous hashing:
// every host with the same list returns the same ones, without remembering anything.
func (p *Pool) Rank(chat uint64) []*Upstream {
	var best [rankDepth]*Upstream
	var scores [rankDepth]uint64
	n := 0
	for _, u := range p.upstreams {
		s := Score(chat, u.hash)
		i := n
		for i > 0 && s > scores[i-1] {
			i--
		}
		if i == rankDepth {
			continue
		}
		n = min(n+1, rankDepth)
		copy(best[i+1:n], best[i:n-1])
		copy(scores[i+1:n], scores[i:n-1])
		best[i], scores[i] = u, s
	}
	return append([]*Upstream(nil), best[:n]...)
}

// Score returns the rendezvous hash of two hashes: the higher it is, the better they fit.
func Score(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// ChatHash returns the hash by which a workspace's chat is placed.
func ChatHash(workspace, chat string) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + chat)
}

// An EntryHost is a host of the system's own that takes new work.
type EntryHost struct {
	name    string
	address string
	control string
	hash    uint64
}

// NewEntryHost returns the entry host of a host list's line.
func NewEntryHost(h roster.Host) EntryHost {
	return EntryHost{name: h.Name, address: h.Address, control: h.Control, hash: xxhash.Sum64String(h.Name)}
}

// Name returns the name that the host list gives the host.
func (h EntryHost) Name() string { return h.name }

// Address returns where the host takes requests from other entry hosts.
func (h EntryHost) Address() string { return h.address }

// Control returns where the host takes control messages from other entry hosts.
func (h EntryHost) Control() string { return h.control }

// A View is what this host knows of configuration and hosts, as one immutable snapshot.
type View struct {
	self     string
	revision int64
	document targets.Document
	pools    map[string]*Pool
	hosts    []EntryHost
	// owners holds each upstream's owner, so that a decision need not walk all hosts.
	owners map[uint64]EntryHost
}

// ViewInput is what a view is made from.
type ViewInput struct {
	Self     string
	Region   string
	Revision int64
	Document targets.Document
	Hosts    []roster.Host
	// Avoid names the hosts that this host's own evidence speaks against.
	Avoid func(name string) bool
}

// NewView returns the view of a configuration and a host list.
func NewView(in ViewInput) *View {
	v := &View{self: in.Self, revision: in.Revision, document: in.Document, pools: map[string]*Pool{}}
	byModel := map[string][]*Upstream{}
	for _, h := range nearest(in.Region, in.Hosts) {
		if h.State != roster.Live || (in.Avoid != nil && in.Avoid(h.Name)) {
			continue
		}
		if h.Role == roster.EntryHost {
			v.hosts = append(v.hosts, NewEntryHost(h))
			continue
		}
		u := NewUpstream(h)
		for _, m := range h.Models {
			byModel[m] = append(byModel[m], u)
		}
	}
	for name, m := range in.Document.Models {
		v.pools[name] = NewPool(name, m, byModel[name])
	}
	slices.SortFunc(v.hosts, func(a, b EntryHost) int { return strings.Compare(a.name, b.name) })
	v.owners = make(map[uint64]EntryHost)
	for _, pool := range v.pools {
		for _, u := range pool.upstreams {
			if owner, ok := v.findOwner(u.hash, nil); ok {
				v.owners[u.hash] = owner
			}
		}
	}
	return v
}

// nearest returns the hosts of the region, and for models that no live upstream
// of the region serves also the other regions' upstreams.
func nearest(region string, hosts []roster.Host) []roster.Host {
	served := map[string]bool{}
	for _, h := range hosts {
		if h.Region() == region && h.State == roster.Live {
			for _, m := range h.Models {
				served[m] = true
			}
		}
	}
	var near []roster.Host
	for _, h := range hosts {
		if h.Region() == region {
			near = append(near, h)
			continue
		}
		far := h
		far.Models = slices.DeleteFunc(slices.Clone(h.Models), func(m string) bool { return served[m] })
		if h.Role == roster.Upstream && len(far.Models) > 0 {
			near = append(near, far)
		}
	}
	return near
}

// Self returns the name of this host.
func (v *View) Self() string { return v.self }

// Revision returns the revision of the configuration in force here.
func (v *View) Revision() int64 { return v.revision }

// Document returns the configuration in force here; it must not be changed.
func (v *View) Document() targets.Document { return v.document }

// Hosts returns the entry hosts that take new work; the slice must not be changed.
func (v *View) Hosts() []EntryHost { return v.hosts }

// Pools returns the pools by model; the map must not be changed.
func (v *View) Pools() map[string]*Pool { return v.pools }

// Pool returns the pool of a model.
func (v *View) Pool(model string) (*Pool, bool) {
	p, ok := v.pools[model]
	return p, ok
}

// Owner returns the entry host that counts an upstream's load, by rendezvous
// hashing over the entry hosts other than those excluded; false if there is none.
func (v *View) Owner(key uint64, exclude ...string) (EntryHost, bool) {
	if len(exclude) == 0 {
		if owner, ok := v.owners[key]; ok {
			return owner, true
		}
	}
	return v.findOwner(key, exclude)
}

func (v *View) findOwner(key uint64, exclude []string) (EntryHost, bool) {
	var best EntryHost
	bestScore := uint64(0)
	found := false
	for _, h := range v.hosts {
		if slices.Contains(exclude, h.name) {
			continue
		}
		if s := Score(key, h.hash); !found || s > bestScore {
			best, bestScore, found = h, s, true
		}
	}
	return best, found
}

// maxLoad stands for a load that nothing exceeds.
const maxLoad = math.MaxInt64

// Multiple returns the most that an upstream of the pool may carry, as a multiple of the mean.
func (p *Pool) Multiple() float64 { return p.multiple }
