package platform

import (
	"sync"

	"jackdawhinge/common/roster"
)

// A HostList is a stand-in for the platform's list of live and draining hosts.
type HostList struct {
	mu   sync.Mutex
	list roster.List
}

// NewHostList returns a list of the given hosts, at version 1.
func NewHostList(hosts ...roster.Host) *HostList {
	return &HostList{list: roster.List{Version: 1, Hosts: hosts}}
}

// Put adds a host, or replaces the one with the same name.
func (h *HostList) Put(host roster.Host) {
	h.Remove(host.Name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list.Hosts = append(h.list.Hosts, host)
	h.list.Version++
}

// Remove removes a host from the list, if it is there.
func (h *HostList) Remove(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := make([]roster.Host, 0, len(h.list.Hosts))
	for _, host := range h.list.Hosts {
		if host.Name != name {
			kept = append(kept, host)
		}
	}
	h.list.Hosts = kept
	h.list.Version++
}

// List returns a copy of the current list.
func (h *HostList) List() roster.List {
	h.mu.Lock()
	defer h.mu.Unlock()
	return roster.List{Version: h.list.Version, Hosts: append([]roster.Host(nil), h.list.Hosts...)}
}
