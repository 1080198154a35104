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

// firstKeys is how many keys there are at the start.
const firstKeys = 8

// operator writes configurations.
type operator struct {
	store   *standin.Store
	mu      sync.Mutex
	version int64
	routes  int
	keys    []string
	old     []string
}

func newOperator(store *standin.Store) *operator {
	o := &operator{store: store, version: 1}
	for n := range firstKeys {
		o.keys = append(o.keys, fmt.Sprintf("key-%d", n))
	}
	o.write()
	return o
}

// key returns a key that is good, or one that was revoked.
func (o *operator) key(random *rand.Rand, old bool) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old && len(o.old) > 0 {
		return o.old[random.IntN(len(o.old))]
	}
	return o.keys[random.IntN(len(o.keys))]
}

// added returns how many routes were added.
func (o *operator) added() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.routes
}

// addRoute adds a route.
func (o *operator) addRoute() verdict.Change {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.routes++
	o.write()
	return verdict.Change{At: time.Now(), Number: o.routes}
}

// revoke takes a key away and adds another one.
func (o *operator) revoke() verdict.Change {
	o.mu.Lock()
	defer o.mu.Unlock()
	gone := o.keys[0]
	o.keys = append(o.keys[1:], fmt.Sprintf("key-%d", firstKeys+len(o.old)))
	o.old = append(o.old, gone)
	o.write()
	return verdict.Change{At: time.Now(), Key: gone}
}

// writeAgain puts the newest configuration into the store as it was.
func (o *operator) writeAgain() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.put()
}

// write puts another configuration into the store; the lock must be held.
func (o *operator) write() {
	o.version++
	o.put()
}

// put puts the configuration into the store; the lock must be held.
func (o *operator) put() {
	routes := []traffic.Route{
		route("notice", traffic.NonIdempotent, "mailbox", 1), route("scan", traffic.Idempotent, "mailbox", 2),
		stream("sort", 1), stream("digest", 2),
	}
	for n := 1; n <= o.routes; n++ {
		routes = append(routes, route(fmt.Sprintf("added-%d", n), traffic.Idempotent, "mailbox", 2))
	}
	keys := map[string]traffic.Workspace{}
	for _, key := range o.keys {
		keys[key] = traffic.Workspace{Name: "mailroom"}
	}
	o.store.PutConfiguration(standin.EncodeConfiguration(traffic.ConfigurationInput{
		Version: o.version, Routes: routes, Keys: keys,
		Pools:  []traffic.Pool{{Name: "mailbox", MaxConnections: 200}, {Name: "reader", MaxConnections: 200, Engine: true, Slots: 8}},
		Limits: traffic.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}))
}

func route(name string, kind traffic.Kind, pool string, upstreams int) traffic.Route {
	return traffic.Route{
		Name: name, Host: callersHost, Prefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Target: 150 * time.Millisecond,
		Destinations: []traffic.Destination{{Pool: pool, Weight: 1}}, MaxUpstreams: upstreams,
	}
}

func stream(name string, upstreams int) traffic.Route {
	r := route(name, traffic.Streaming, "reader", upstreams)
	r.Timeout, r.Target, r.PauseTarget = 4*time.Second, 400*time.Millisecond, 200*time.Millisecond
	r.Cached, r.Resumable = true, upstreams > 1
	return r
}
