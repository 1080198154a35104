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
	name          string
	address       string
	failureDomain string
	hash          uint64
	capacity      int64
}

// NewUpstream returns the upstream of a host list entry.
func NewUpstream(h roster.Host) *Upstream {
	return &Upstream{
		name:          h.Name,
		address:       h.Address,
		failureDomain: h.FailureDomain,
		hash:          NameHash(h.Name),
		capacity:      h.CapacityTokens,
	}
}

// NameHash returns the hash of an upstream's or host's name, which need not be listed.
func NameHash(name string) uint64 { return xxhash.Sum64String(name) }

// Name returns the upstream's name in the host list.
func (u *Upstream) Name() string { return u.name }

// Address returns the upstream's IP address and port.
func (u *Upstream) Address() string { return u.address }

// FailureDomain returns the upstream's failure domain.
func (u *Upstream) FailureDomain() string { return u.failureDomain }

// Hash returns the hash of the upstream's name, which identifies it between hosts.
func (u *Upstream) Hash() uint64 { return u.hash }

// Capacity returns the maximum number of tokens that the upstream can hold, or 0 if unknown.
func (u *Upstream) Capacity() int64 { return u.capacity }

// A Pool is the set of upstreams that serve one model or service, ordered by name.
type Pool struct {
	model        string
	kind         targets.ModelKind
	loadMultiple float64
	upstreams    []*Upstream
}

// NewPool returns the pool of a model.
func NewPool(model string, m targets.Model, upstreams []*Upstream) *Pool {
	sorted := slices.Clone(upstreams)
	slices.SortFunc(sorted, func(a, b *Upstream) int { return cmp.Compare(a.name, b.name) })
	return &Pool{model: model, kind: m.Kind, loadMultiple: m.EffectiveLoadMultiple(), upstreams: sorted}
}

// Model returns the name of the model or service that the pool serves.
func (p *Pool) Model() string { return p.model }

// Kind returns whether the pool's upstreams are engines or services.
func (p *Pool) Kind() targets.ModelKind { return p.kind }

// Upstreams returns the pool's upstreams ordered by name; the slice must not be changed.
func (p *Pool) Upstreams() []*Upstream { return p.upstreams }

// Find returns the upstream with that name, or false if the pool has none.
func (p *Pool) Find(name string) (*Upstream, bool) {
	i, ok := slices.BinarySearchFunc(p.upstreams, name, func(u *Upstream, n string) int { return cmp.Compare(u.name, n) })
	if !ok {
		return nil, false
	}
	return p.upstreams[i], true
}

// maxCandidates is the number of ranked candidates of a chat; beyond them any upstream of
// the pool may be used.
const maxCandidates = 4

// Rank returns the chat's candidates, best first, by rendezvous hashing, so that every
// host with the same list returns the same ones without shared state.
func (p *Pool) Rank(chat uint64) []*Upstream {
	var best [maxCandidates]*Upstream
	var scores [maxCandidates]uint64
	n := 0
	for _, u := range p.upstreams {
		score := RendezvousScore(chat, u.hash)
		i := n
		for i > 0 && score > scores[i-1] {
			i--
		}
		if i == maxCandidates {
			continue
		}
		n = min(n+1, maxCandidates)
		copy(best[i+1:n], best[i:n-1])
		copy(scores[i+1:n], scores[i:n-1])
		best[i], scores[i] = u, score
	}
	return append([]*Upstream(nil), best[:n]...)
}

// RendezvousScore returns the rendezvous score of two hashes; the highest score wins.
func RendezvousScore(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// ChatHash returns the hash by which a workspace's chat is ranked.
func ChatHash(workspace, chat string) uint64 {
	return xxhash.Sum64String(workspace + "\x00" + chat)
}

// An EntryHost is a host that accepts requests and owns upstreams.
type EntryHost struct {
	name           string
	address        string
	controlAddress string
	hash           uint64
}

// NewEntryHost returns the entry host of a host list entry.
func NewEntryHost(h roster.Host) EntryHost {
	return EntryHost{name: h.Name, address: h.Address, controlAddress: h.ControlAddress, hash: xxhash.Sum64String(h.Name)}
}

// Name returns the host's name in the host list.
func (h EntryHost) Name() string { return h.name }

// Address returns the host's address for requests from other entry hosts.
func (h EntryHost) Address() string { return h.address }

// ControlAddress returns the host's address for control messages from other entry hosts.
func (h EntryHost) ControlAddress() string { return h.controlAddress }

// A View is an immutable snapshot of the configuration and the hosts known to this host.
type View struct {
	self     string
	revision int64
	document targets.Document
	pools    map[string]*Pool
	hosts    []EntryHost
	// owners caches each upstream's owner, to avoid a pass over all hosts for each decision.
	owners map[uint64]EntryHost
}

// ViewInput holds the inputs of a View.
type ViewInput struct {
	Self     string
	Region   string
	Revision int64
	Document targets.Document
	Hosts    []roster.Host
	// Avoid reports whether a host is excluded because its calls fail.
	Avoid func(name string) bool
}

// NewView returns a view of the live hosts that are not avoided.
func NewView(in ViewInput) *View {
	v := &View{self: in.Self, revision: in.Revision, document: in.Document, pools: map[string]*Pool{}}
	byModel := map[string][]*Upstream{}
	for _, h := range hostsForRegion(in.Region, in.Hosts) {
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

// hostsForRegion returns the region's hosts, and other regions' upstreams for those models
// that no live upstream of the region serves.
func hostsForRegion(region string, hosts []roster.Host) []roster.Host {
	servedModels := map[string]bool{}
	for _, h := range hosts {
		if h.Region() == region && h.State == roster.Live {
			for _, m := range h.Models {
				servedModels[m] = true
			}
		}
	}
	var selected []roster.Host
	for _, h := range hosts {
		if h.Region() == region {
			selected = append(selected, h)
			continue
		}
		remote := h
		remote.Models = slices.DeleteFunc(slices.Clone(h.Models), func(m string) bool { return servedModels[m] })
		if h.Role == roster.Upstream && len(remote.Models) > 0 {
			selected = append(selected, remote)
		}
	}
	return selected
}

// Self returns the name of this host.
func (v *View) Self() string { return v.self }

// Revision returns the revision of the view's configuration.
func (v *View) Revision() int64 { return v.revision }

// Document returns the view's configuration; it must not be changed.
func (v *View) Document() targets.Document { return v.document }

// Hosts returns the live entry hosts ordered by name; the slice must not be changed.
func (v *View) Hosts() []EntryHost { return v.hosts }

// Pools returns the pools by model; the map must not be changed.
func (v *View) Pools() map[string]*Pool { return v.pools }

// Pool returns the pool of a model, or false if the configuration has no such model.
func (v *View) Pool(model string) (*Pool, bool) {
	p, ok := v.pools[model]
	return p, ok
}

// Owner returns the entry host that owns a key, such as an upstream's hash, by rendezvous
// hashing over the entry hosts that are not excluded, or false if there is none.
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
		if score := RendezvousScore(key, h.hash); !found || score > bestScore {
			best, bestScore, found = h, score, true
		}
	}
	return best, found
}

// unlimitedLoad is the load bound of an upstream without others to compare with.
const unlimitedLoad = math.MaxInt64

// LoadMultiple returns the pool's load multiple: the maximum load of an upstream as a multiple
// of the mean.
func (p *Pool) LoadMultiple() float64 { return p.loadMultiple }
