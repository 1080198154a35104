package rig

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"jackdawhinge/platform/standin"
	"jackdawhinge/soak/internal/verdict"
)

// firstKeys is how many keys there are at the start.
const firstKeys = 8

// operator writes configurations.
type operator struct {
	store   *standin.Store
	mu      sync.Mutex
	version int
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

type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	PathPrefix  string `json:"pathPrefix"`
	Type        string `json:"type"`
	TimeoutMs   int    `json:"timeoutMs"`
	ObjectiveMs int    `json:"objectiveMs"`
	GapTargetMs int    `json:"gapTargetMs,omitempty"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"maxAttempts"`
	Resumable   bool   `json:"resumable,omitempty"`
	Sticky      bool   `json:"sticky,omitempty"`
}

// write puts the configuration into the store; the lock must be held.
func (o *operator) write() {
	o.version++
	routes := []route{
		{Name: "notice", PathPrefix: "/notice/", Type: "non_idempotent", TimeoutMs: 2000, ObjectiveMs: 150, Service: "mailbox", MaxAttempts: 1},
		{Name: "scan", PathPrefix: "/scan/", Type: "idempotent", TimeoutMs: 2000, ObjectiveMs: 150, Service: "mailbox", MaxAttempts: 2},
		{Name: "sort", PathPrefix: "/sort/", Type: "streaming", TimeoutMs: 4000, ObjectiveMs: 400, GapTargetMs: 200, Service: "reader", MaxAttempts: 1, Sticky: true},
		{Name: "digest", PathPrefix: "/digest/", Type: "streaming", TimeoutMs: 4000, ObjectiveMs: 400, GapTargetMs: 200, Service: "reader", MaxAttempts: 2, Resumable: true, Sticky: true},
	}
	for n := 1; n <= o.routes; n++ {
		name := fmt.Sprintf("added-%d", n)
		routes = append(routes, route{Name: name, PathPrefix: "/" + name + "/", Type: "idempotent", TimeoutMs: 2000, ObjectiveMs: 150, Service: "mailbox", MaxAttempts: 2})
	}
	for i := range routes {
		routes[i].Host = callersHost
	}
	text, err := json.Marshal(map[string]any{
		"version": o.version, "routes": routes,
		"services": []map[string]any{{"name": "mailbox", "maxConns": 200}, {"name": "reader", "maxConns": 200, "engine": map[string]any{"slots": 8}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "mailroom", "apiKeys": o.keys}},
	})
	if err != nil {
		// What is written here always encodes.
		panic(err)
	}
	o.store.Put("keyed.op", "config", text)
}
