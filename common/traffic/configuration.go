package traffic

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// A Workspace is a customer whose requests carry one of its keys.
type Workspace struct {
	Name string
	// Urgency is the workspace's rank; 0 is the most urgent. It goes before a route's.
	Urgency int
}

// A Pool is upstreams that answer the same requests.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the connections to each upstream, from all hosts together.
	MaxConnections int
	// Engine reports whether the upstreams are model engines.
	Engine bool
	// Slots is how many requests an engine works on at once; 0 if not known.
	Slots int
	// CacheTokens is the memory of an engine for cached and running prompts, in tokens.
	CacheTokens int64
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Configuration is one immutable version of what operators state.
type Configuration struct {
	version    int64
	routes     map[string][]*Route
	pools      map[string]Pool
	limits     Limits
	workspaces map[string]Workspace
	keyed      bool
	document   []byte
}

// ConfigurationInput is what a configuration is made from.
type ConfigurationInput struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	Limits  Limits
	// Keys gives the workspace of each key; nil means that no key is asked for.
	Keys map[string]Workspace
	// Document is what the configuration was decoded from.
	Document []byte
}

// NewConfiguration returns a configuration.
func NewConfiguration(in ConfigurationInput) *Configuration {
	c := &Configuration{
		version: in.Version, limits: in.Limits, workspaces: in.Keys, keyed: in.Keys != nil, document: in.Document,
		routes: map[string][]*Route{}, pools: map[string]Pool{},
	}
	for _, p := range in.Pools {
		c.pools[p.Name] = p
	}
	for i := range in.Routes {
		r := &in.Routes[i]
		host := strings.ToLower(r.Host)
		c.routes[host] = append(c.routes[host], r)
	}
	for _, routes := range c.routes {
		// The longest prefix that fits is then the first one.
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Version returns the version's number; later versions have higher ones.
func (c *Configuration) Version() int64 { return c.version }

// Document returns what the configuration was decoded from, to be passed on to
// other hosts; it must not be changed.
func (c *Configuration) Document() []byte { return c.document }

// Limits returns the bounds on callers.
func (c *Configuration) Limits() Limits { return c.limits }

// Pool returns what is known of a pool.
func (c *Configuration) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Match returns the route of a host with the longest prefix of a path, or false if there is none.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if r.covers(path) {
			return r, true
		}
	}
	return nil, false
}

// Keyed reports whether requests need a key.
func (c *Configuration) Keyed() bool { return c.keyed }

// Workspace returns the workspace that a key belongs to, or false for an unknown key.
func (c *Configuration) Workspace(key string) (Workspace, bool) {
	w, ok := c.workspaces[key]
	return w, ok
}

// Routes returns how many routes there are.
func (c *Configuration) Routes() int {
	n := 0
	for _, routes := range c.routes {
		n += len(routes)
	}
	return n
}
