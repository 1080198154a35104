package traffic

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// A Workspace is a customer, identified by the API key that its requests carry.
type Workspace struct {
	Name string
	// Urgency ranks the workspace's requests, 0 being the most urgent; it is compared before the
	// route's.
	Urgency int
}

// A Pool is a group of interchangeable upstreams.
type Pool struct {
	Name       string
	HealthPath string
	// MaxConnections limits the connections to each upstream, summed over all hosts.
	MaxConnections int
	// Engine reports whether the upstreams are model engines.
	Engine bool
	// Slots is the number of requests an engine runs concurrently; 0 if unknown.
	Slots int
	// CacheTokens is an engine's memory for cached and running prompts, in tokens.
	CacheTokens int64
	// ColdStart is how long an upstream is cold after its start, ColdRate the number of requests per
	// second from all hosts together that it bears while it is; 0 if it bears as many as ever.
	ColdStart time.Duration
	ColdRate  float64
}

// Limits bound the size and the duration of what a caller sends.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Configuration is one immutable version of the operators' configuration, with the evacuations in
// force.
type Configuration struct {
	version     int64
	routes      map[string][]*Route
	pools       map[string]Pool
	limits      Limits
	workspaces  map[string]Workspace
	keyRequired bool
	document    []byte
	evacuations Evacuations
}

// ConfigurationInput holds the parts of a new Configuration.
type ConfigurationInput struct {
	Version int64
	Routes  []Route
	Pools   []Pool
	Limits  Limits
	// Keys maps each API key to its workspace; nil means that requests need no key.
	Keys map[string]Workspace
	// Document is the encoded form that the configuration was decoded from.
	Document []byte
}

// NewConfiguration returns a configuration that indexes the routes by host and the pools by name.
func NewConfiguration(in ConfigurationInput) *Configuration {
	c := &Configuration{
		version: in.Version, limits: in.Limits, workspaces: in.Keys, keyRequired: in.Keys != nil, document: in.Document,
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
		// Longest prefix first, so that the first match is the longest.
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c
}

// Version returns the version number, which grows with every version.
func (c *Configuration) Version() int64 { return c.version }

// Document returns the encoded form that the configuration was decoded from, for forwarding to
// other hosts; callers must not modify it.
func (c *Configuration) Document() []byte { return c.document }

// Evacuations returns the failure domains that operators have taken out of use.
func (c *Configuration) Evacuations() Evacuations { return c.evacuations }

// WithEvacuations returns the same version of the configuration with other evacuations in force.
func (c *Configuration) WithEvacuations(e Evacuations) *Configuration {
	changed := *c
	changed.evacuations = e
	return &changed
}

// MaxColdStart returns for how long upstreams are cold after their start, the longest of all pools; 0
// if none bears fewer requests then.
func (c *Configuration) MaxColdStart() time.Duration {
	longest := time.Duration(0)
	for _, p := range c.pools {
		if p.ColdRate > 0 {
			longest = max(longest, p.ColdStart)
		}
	}
	return longest
}

// Limits returns the limits on callers' requests.
func (c *Configuration) Limits() Limits { return c.limits }

// Pool returns the pool with the given name, and false if there is none.
func (c *Configuration) Pool(name string) (Pool, bool) {
	p, ok := c.pools[name]
	return p, ok
}

// Match returns the route of a request host with the longest prefix of path, and false if there is
// none.
func (c *Configuration) Match(host, path string) (*Route, bool) {
	for _, r := range c.routes[strings.ToLower(host)] {
		if r.matches(path) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKey reports whether requests need an API key.
func (c *Configuration) RequiresKey() bool { return c.keyRequired }

// Workspace returns the workspace of an API key, and false if the key is unknown.
func (c *Configuration) Workspace(key string) (Workspace, bool) {
	w, ok := c.workspaces[key]
	return w, ok
}

// PoolNames returns the names of all pools, sorted.
func (c *Configuration) PoolNames() []string { return slices.Sorted(maps.Keys(c.pools)) }

// WorkspaceNames returns the names of all workspaces that have a key, sorted.
func (c *Configuration) WorkspaceNames() []string {
	names := map[string]bool{}
	for _, w := range c.workspaces {
		names[w.Name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// RouteCount returns the number of routes.
func (c *Configuration) RouteCount() int {
	count := 0
	for _, routes := range c.routes {
		count += len(routes)
	}
	return count
}
