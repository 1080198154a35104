package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The case of streams whose engine preempts them for an urgent request while another engine is full.
const (
	watchedStreams = 2
	// watchedEvents is how many events a watched stream has, urgentAt the one after which an urgent request comes.
	watchedEvents, urgentAt = 40, 10
	// The urgent request takes most of its engine's memory for 1.9 s: 0.2 s to read its prompt and 1.7 s to write its
	// events.
	urgentTokens, urgentEvents = 19_600, 42
	engineMemory               = 20_000
	sharedTokens               = 500
	// Other clients send a batch of requests at each interval, the whole time.
	batchInterval = 6 * time.Second
	batchSize     = 5
	batchEvents   = 40
	// engineSlots and engineQueue are how many requests an engine runs and queues.
	engineSlots, engineQueue = 4, 3
	// urgentBefore is how long before a batch an urgent request comes.
	urgentBefore = 1250 * time.Millisecond
	// streamTime is how long a stream takes from its start to event urgentAt.
	streamTime = urgentAt * eventInterval
	// hangUpBefore is how long before a watched stream its host gets SIGHUP; configBound is configMs.
	hangUpBefore = 300 * time.Millisecond
	configBound  = 2 * time.Second
)

func silenceRoute(name string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": routeHost, "pathPrefix": "/" + name + "/", "type": "streaming", "timeoutMs": 15000, "objectiveMs": 800, "gapTargetMs": 400,
		"priority": priority, "service": "reader", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true,
	}
}

func silenceConfiguration() map[string]any {
	return map[string]any{
		"version":  1,
		"routes":   []any{silenceRoute("digest", 1), silenceRoute("urgent", 0)},
		"services": []any{map[string]any{"name": "reader", "healthPath": "/healthz", "maxConns": 370, "engine": map[string]any{"slots": engineSlots, "kvCapacity": engineMemory}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "mailroom", "apiKeys": []string{key}, "priority": 1}},
	}
}

// silenceFleet is the fleet of the case: four hosts and two engines.
type silenceFleet struct {
	*fleet
	engines map[string]*engine
	// parts holds a part of prompts that is read at each engine.
	parts map[string]string
}

func startSilenceFleet(r *record) (*silenceFleet, error) {
	base, err := newFleet(r)
	if err != nil {
		return nil, err
	}
	f := &silenceFleet{fleet: base, engines: map[string]*engine{}, parts: map[string]string{}}
	f.store.putJSON(operatorTopic, "config", silenceConfiguration())
	for _, zone := range []string{"a", "b"} {
		id := "i-" + zone
		f.engines[id] = newEngine(id, engineSlots, engineQueue, engineMemory, r)
		if err := f.addRunner(id, "reader", zone, engineSlots, f.engines[id]); err != nil {
			return f, err
		}
		for n := 1; n <= 2; n++ {
			if _, err := f.startHost(fmt.Sprintf("edge-%s-%d", zone, n), zone); err != nil {
				return f, err
			}
		}
	}
	if err := f.awaitReady(); err != nil {
		return f, err
	}
	return f, f.findParts()
}

// findParts finds out which prompts are read at which engine.
func (f *silenceFleet) findParts() error {
	client := newClient()
	for n := 0; n < 60 && len(f.parts) < len(f.engines); n++ {
		part, id := fmt.Sprintf("5c1e%04x", n), fmt.Sprintf("warm-%d", n)
		o := stream(client, f.hosts[0].front, call{id: id, path: "/digest/x", part: part, shared: sharedTokens, events: 2}, nil)
		if o.err != nil || o.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for name, e := range f.engines {
			if e.ranRequest(id) {
				f.parts[name] = part
			}
		}
	}
	if len(f.parts) < len(f.engines) {
		return fmt.Errorf("%w: no prompt for each engine", errSetup)
	}
	return nil
}

// sendBatches sends the usual requests of other clients through all hosts but the first until stop is closed.
func (f *silenceFleet) sendBatches(start time.Time, stop <-chan struct{}) {
	client := newClient()
	var batches sync.WaitGroup
	defer batches.Wait()
	for n := 0; ; n++ {
		select {
		case <-time.After(time.Until(start.Add(time.Duration(n) * batchInterval))):
		case <-stop:
			return
		}
		for _, h := range f.hosts[1:] {
			for i := range batchSize {
				batches.Go(func() {
					id := fmt.Sprintf("other-%d-%s-%d", n, h.name, i)
					o := stream(client, h.front, call{id: id, path: "/digest/x", part: f.parts["i-b"], shared: sharedTokens, events: batchEvents}, nil)
					f.record.add("client of %s: status %d, %d events, error %v", id, o.status, len(o.events), o.err)
				})
			}
		}
	}
}

// hangUp changes a figure in a host's settings file and sends SIGHUP.
func (f *silenceFleet) hangUp(h *host, n int) error {
	settings, err := os.ReadFile(h.settings)
	if err != nil {
		return err
	}
	changed := strings.Replace(string(settings), fmt.Sprintf("retrySlack: %d", 58+n), fmt.Sprintf("retrySlack: %d", 59+n), 1)
	if err := os.WriteFile(h.settings, []byte(changed), 0o600); err != nil {
		return err
	}
	f.record.add("SIGHUP to %s", h.name)
	return h.signal(syscall.SIGHUP)
}

// sendUrgent sends an urgent request with a long prompt through the second host.
func (f *silenceFleet) sendUrgent(id string) {
	o := stream(newClient(), f.hosts[1].front, call{id: id, path: "/urgent/x", part: f.parts["i-a"], shared: urgentTokens, events: urgentEvents}, nil)
	f.record.add("client of %s: status %d, %d events, error %v, after %s", id, o.status, len(o.events), o.err, o.duration.Round(time.Millisecond))
}

// watch sends one watched stream, beside which an urgent request comes if trouble is set, and returns how a rule was broken.
func (f *silenceFleet) watch(client *http.Client, id string, hungUp time.Time, trouble bool) (violation string, err error) {
	h, e := f.hosts[0], f.engines["i-a"]
	sent := time.Now()
	f.record.add("client sends %s to %s, %s after its SIGHUP", id, h.name, sent.Sub(hungUp).Round(time.Millisecond))
	var urgent sync.WaitGroup
	defer urgent.Wait()
	o := stream(client, h.front, call{id: id, path: "/digest/x", part: f.parts["i-a"], shared: sharedTokens, events: watchedEvents}, func(n int) {
		if trouble && n == urgentAt {
			urgent.Go(func() { f.sendUrgent("urgent-" + id) })
		}
	})
	f.record.add("client of %s: status %d, sealed %v, %d events, error %v, after %s", id, o.status, o.sealed, len(o.events), o.err, o.duration.Round(time.Millisecond))
	if sent.Sub(hungUp) > configBound || o.status != http.StatusOK || !e.ranRequest(id) {
		return "", fmt.Errorf("%w: %s did not begin at its engine in time", errSetup, id)
	}
	for n, event := range o.events {
		if event != fmt.Sprint(n+1) {
			return fmt.Sprintf("ORDER: event %s of %s came where %d was due", event, id, n+1), nil
		}
	}
	switch {
	case o.err != nil:
		return fmt.Sprintf("LOST: %s was read and passed on to a sound runner, and its connection ended after %d of %d events: %v", id, len(o.events), watchedEvents, o.err), nil
	case len(o.events) != watchedEvents:
		return fmt.Sprintf("ORDER: %s ended as complete after %d of %d events", id, len(o.events), watchedEvents), nil
	}
	return "", nil
}

// playSilence plays the case: a host reloads its settings, an engine preempts a stream, and the host ends the stream.
func playSilence(r *record, trouble bool) (violation string, err error) {
	f, err := startSilenceFleet(r)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return "", err
	}
	start, stop := time.Now(), make(chan struct{})
	var others sync.WaitGroup
	others.Go(func() { f.sendBatches(start, stop) })
	defer others.Wait()
	defer close(stop)
	client := newClient()
	first := start.Add(2 * batchInterval)
	for n := range watchedStreams {
		batch := first.Add(time.Duration(2*n) * batchInterval)
		time.Sleep(time.Until(batch.Add(-urgentBefore - streamTime - hangUpBefore)))
		hungUp := time.Now()
		if err := f.hangUp(f.hosts[0], n); err != nil {
			return "", err
		}
		time.Sleep(hangUpBefore)
		found, err := f.watch(client, fmt.Sprintf("watched-%d", n), hungUp, trouble)
		if err != nil {
			return "", err
		}
		if violation == "" {
			violation = found
		}
	}
	return violation, nil
}
