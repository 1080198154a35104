package platform

import (
	"sync"

	"jackdawhinge/common/roster"
)

// A HostList is the platform's list of live and leaving hosts.
type HostList struct {
	mu   sync.Mutex
	list roster.List
}

// NewHostList returns a list of the hosts given.
func NewHostList(hosts ...roster.Host) *HostList {
	return &HostList{list: roster.List{Version: 1, Hosts: hosts}}
}

// Put adds a host or replaces the one of its name.
func (h *HostList) Put(host roster.Host) {
	h.Remove(host.Name)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.list.Hosts = append(h.list.Hosts, host)
	h.list.Version++
}

// Remove takes a host off the list.
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

// List returns the list as it is now.
func (h *HostList) List() roster.List {
	h.mu.Lock()
	defer h.mu.Unlock()
	return roster.List{Version: h.list.Version, Hosts: append([]roster.Host(nil), h.list.Hosts...)}
}
