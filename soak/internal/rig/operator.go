package rig

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"jackdawhinge/common/traffic"
	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/verdict"
)

// initialKeyCount is the number of valid keys at any time.
const initialKeyCount = 8

// operator publishes configurations to the store.
type operator struct {
	store       *standin.Store
	mu          sync.Mutex
	version     int64
	addedRoutes int
	keys        []string
	revokedKeys []string
	// changes are the settings that differ from the usual ones now, addedKeys counts the keys added.
	changes      map[change]bool
	addedKeys    int
	idleTimeouts []idleTimeout
	// evacuated holds whether each failure domain that ever was is evacuated now.
	evacuated map[string]bool
}

func newOperator(store *standin.Store) *operator {
	o := &operator{store: store, version: 1, evacuated: map[string]bool{}, changes: map[change]bool{}}
	for n := range initialKeyCount {
		o.keys = append(o.keys, fmt.Sprintf("key-%d", n))
	}
	o.publishNext()
	return o
}

// randomKey returns a random valid key, or a revoked one if that is asked for and there is one.
func (o *operator) randomKey(random *rand.Rand, revoked bool) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if revoked && len(o.revokedKeys) > 0 {
		return o.revokedKeys[random.IntN(len(o.revokedKeys))]
	}
	return o.keys[random.IntN(len(o.keys))]
}

// addedRouteCount returns how many routes were added since the start.
func (o *operator) addedRouteCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.addedRoutes
}

// addRoute publishes a configuration with one more route.
func (o *operator) addRoute() verdict.Change {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addedRoutes++
	o.publishNext()
	return verdict.Change{At: time.Now(), RouteNumber: o.addedRoutes}
}

// revokeKey publishes a configuration in which a new key replaces the oldest one.
func (o *operator) revokeKey() verdict.Change {
	o.mu.Lock()
	defer o.mu.Unlock()
	revoked := o.keys[0]
	o.keys = append(o.keys[1:], fmt.Sprintf("key-%d", initialKeyCount+len(o.revokedKeys)))
	o.revokedKeys = append(o.revokedKeys, revoked)
	o.publishNext()
	return verdict.Change{At: time.Now(), RevokedKey: revoked}
}

// republish writes the newest configuration and the evacuations in force to the store again.
func (o *operator) republish() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.publish()
	for domain, evacuated := range o.evacuated {
		o.store.SetEvacuated(domain, evacuated)
	}
}

// setEvacuated evacuates a failure domain, or ends its evacuation, and reports whether that changes
// anything.
func (o *operator) setEvacuated(domain string, evacuated bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.evacuated[domain] == evacuated {
		return false
	}
	o.evacuated[domain] = evacuated
	o.store.SetEvacuated(domain, evacuated)
	return true
}

// publishNext publishes the configuration under the next version; the lock must be held.
func (o *operator) publishNext() {
	o.version++
	o.publish()
}

// publish writes the configuration to the store; the lock must be held.
func (o *operator) publish() {
	routes := []traffic.Route{
		newRoute("notice", traffic.NonIdempotent, "mailbox", 1), newRoute("scan", traffic.Idempotent, "mailbox", 2),
		newStreamRoute("sort", 1), newStreamRoute("digest", 2),
	}
	routes = o.changeRoutes(routes)
	for n := 1; n <= o.addedRoutes; n++ {
		routes = append(routes, newRoute(fmt.Sprintf("added-%d", n), traffic.Idempotent, "mailbox", 2))
	}
	keys := map[string]traffic.Workspace{}
	for _, key := range o.keys {
		keys[key] = traffic.Workspace{Name: "mailroom"}
	}
	for _, c := range surgeCallers {
		keys[c.workspace] = traffic.Workspace{Name: c.workspace, Urgency: c.urgency}
	}
	o.store.PutConfiguration(standin.EncodeConfiguration(traffic.ConfigurationInput{
		Version: o.version, Routes: routes, Keys: keys,
		Pools:  []traffic.Pool{{Name: "mailbox", MaxConnections: 200}, {Name: "reader", MaxConnections: 200, Engine: true, Slots: 8, ColdStart: coldStart, ColdRate: coldRate}},
		Limits: traffic.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: o.idleTimeout()},
	}))
}

func newRoute(name string, kind traffic.RouteKind, pool string, upstreams int) traffic.Route {
	return traffic.Route{
		Name: name, Host: routeHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, FirstByteTarget: 150 * time.Millisecond,
		Destinations: []traffic.Destination{{Pool: pool, Weight: 1}}, MaxUpstreams: upstreams,
	}
}

func newStreamRoute(name string, upstreams int) traffic.Route {
	r := newRoute(name, traffic.Streaming, "reader", upstreams)
	r.Timeout, r.FirstByteTarget, r.EventIntervalTarget = 4*time.Second, 400*time.Millisecond, 200*time.Millisecond
	r.PromptCaching, r.Resumable = true, upstreams > 1
	return r
}
