package entry

import (
	"strconv"
	"time"

	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/telemetry"
)

// maxNamedUpstreams is the maximum number of upstreams that metrics list by name.
const maxNamedUpstreams = 200

// registerGauges registers the gauges, whose values are read when metrics are collected.
func (h *Host) registerGauges(m *telemetry.Meter) {
	m.Gauge("requests_in_progress", h.handler.InProgress)
	if delay := h.options.SchedulingDelay; delay != nil {
		m.Gauge("scheduling_delay_milliseconds", func() int64 { return delay().Milliseconds() })
	}
	if h.readAhead != nil {
		m.Gauge("read_ahead_bytes", h.readAhead.Held)
		m.Gauge("read_ahead_responses", h.readAhead.Responses)
		m.Gauge("slow_responses_cut", h.readAhead.CutCount)
	}
	m.Gauge("caller_connections", h.conns.count)
	m.Gauge("caller_connections_refused", h.conns.refusedCount)
	m.GaugeFamily("caller_connections_closed", "reason", h.conns.closedCounts)
	m.Gauge("caller_connections_kept", h.conns.keptCount)
	m.Gauge("caller_requests_discarded", h.conns.discarded.Load)
	m.Gauge("upstream_connections_opened", h.client.DialCount)
	m.Gauge("configuration_age_milliseconds", func() int64 { return min(h.tracker.Age(), time.Hour).Milliseconds() })
	m.Gauge("upstream_list_age_milliseconds", func() int64 { return min(h.source.ListAge(), time.Hour).Milliseconds() })
	m.Gauge("out_of_touch_milliseconds", func() int64 { return h.tracker.StaleTime().Milliseconds() })
	m.Gauge("configuration_late_milliseconds", func() int64 { return h.tracker.OverAgeTime().Milliseconds() })
	m.Gauge("requests_suspected", func() int64 {
		suspected, _ := h.quarantine.Counts()
		return int64(suspected)
	})
	m.Gauge("requests_quarantined", func() int64 {
		_, quarantined := h.quarantine.Counts()
		return int64(quarantined)
	})
	m.Gauge("fleet_bytes", h.source.Bytes)
	m.Gauge("fleet_hosts", func() int64 {
		return int64(h.hostCount())
	})
	m.Gauge("store_era", h.source.StoreEra)
	m.Gauge("store_restores", h.source.Restores)
	m.Gauge("reads_store", func() int64 {
		if h.source.Following() == "" {
			return 1
		}
		return 0
	})
	m.Gauge("ready", func() int64 {
		if h.tracker.Ready() && !h.draining.Load() {
			return 1
		}
		return 0
	})
	m.Gauge("configuration_version", func() int64 {
		if c := h.tracker.Snapshot().Configuration(); c != nil {
			return c.Version()
		}
		return 0
	})
	m.Gauge("stream_records", h.source.StreamRecords)
	m.GaugeFamily("pool_software_versions", "pool", h.history.Versions)
	m.GaugeFamily("retries_left", "pool", h.budgets.Remaining)
	m.GaugeFamily("pool_upstreams", "pool", h.poolSizes)
	m.GaugeFamily("pool_load_bound", "pool", h.poolLoadBounds)
	m.GaugeFamily("upstream_requests", "upstream", h.upstreamRequests)
	m.GaugeFamily("upstreams_avoided", "pool", h.poolAvoided)
	m.Gauge("tunnels", h.tunnels.Tunnels)
	m.GaugeFamily("upstreams_not_reached", "pool", func() map[string]int64 {
		return h.poolAddresses(func(address string) bool { return !h.paths.IsReached(address) })
	})
	m.GaugeFamily("upstreams_through_others", "pool", func() map[string]int64 { return h.poolAddresses(h.paths.IsLost) })
	m.GaugeFamily("upstreams_cold", "pool", h.poolCold)
	m.GaugeFamily("upstreams_evacuated", "pool", h.poolEvacuated)
	h.admissionReporter.registerGauges(m)
}

func (h *Host) poolSizes() map[string]int64 {
	sizes := map[string]int64{}
	for name, pool := range h.tracker.Snapshot().ReadyPools() {
		sizes[name] = int64(len(pool))
	}
	return sizes
}

// poolLoadBounds returns the maximum load of an upstream, in requests, by pool.
func (h *Host) poolLoadBounds() map[string]int64 {
	bounds, now := map[string]int64{}, time.Now()
	plan := h.balancer.LocalPlan(now)
	for name, pool := range h.tracker.Snapshot().ReadyPools() {
		choice := placement.Choice{Loads: h.loads.All(now, pool), LoadMultiple: h.loadMultiple(), Plan: plan, Pool: name}
		bounds[name] = int64(choice.Limit())
	}
	return bounds
}

func (h *Host) poolAvoided() map[string]int64 {
	snapshot := h.tracker.Snapshot()
	avoided := map[string]int64{}
	for name, pool := range snapshot.ReadyPools() {
		for _, u := range pool {
			if snapshot.Avoided(u.ID) {
				avoided[name]++
			}
		}
	}
	return avoided
}

// poolAddresses returns the number of upstreams whose address matches, by pool.
func (h *Host) poolAddresses(matches func(address string) bool) map[string]int64 {
	counts := map[string]int64{}
	for name, pool := range h.tracker.Snapshot().ReadyPools() {
		for _, u := range pool {
			if matches(u.Address) {
				counts[name]++
			}
		}
	}
	return counts
}

// poolCold returns the number of upstreams that are cold, by pool.
func (h *Host) poolCold() map[string]int64 {
	snapshot, now := h.tracker.Snapshot(), time.Now()
	cold := map[string]int64{}
	for name, pool := range snapshot.ReadyPools() {
		for _, u := range pool {
			if snapshot.ColdUntil(u.ID).After(now) {
				cold[name]++
			}
		}
	}
	return cold
}

// poolEvacuated returns the number of upstreams that get no new requests because their failure
// domain is evacuated, by pool.
func (h *Host) poolEvacuated() map[string]int64 {
	evacuated := map[string]int64{}
	for name, count := range h.tracker.Snapshot().EvacuatedCounts() {
		evacuated[name] = int64(count)
	}
	return evacuated
}

// upstreamRequests returns the estimated requests in progress by upstream. Upstreams beyond
// maxNamedUpstreams are summed up under one name, which limits the size of a large fleet's
// metrics.
func (h *Host) upstreamRequests() map[string]int64 {
	requests := map[string]int64{}
	otherRequests, otherCount := int64(0), 0
	for _, pool := range h.tracker.Snapshot().ReadyPools() {
		for _, u := range pool {
			load := int64(h.loads.Estimate(time.Now(), u))
			if len(requests) < maxNamedUpstreams {
				requests[u.ID] = load
				continue
			}
			otherRequests += load
			otherCount++
		}
	}
	if otherCount > 0 {
		requests["other-"+strconv.Itoa(otherCount)] = otherRequests
	}
	return requests
}
