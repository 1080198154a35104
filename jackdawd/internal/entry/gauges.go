package entry

import (
	"strconv"
	"time"

	"jackdawhinge/jackdawd/internal/placement"
	"jackdawhinge/jackdawd/internal/telemetry"
)

// mostUpstreams bounds the upstreams that metrics name.
const mostUpstreams = 200

// registerGauges registers the values that are read when metrics are collected.
func (h *Host) registerGauges(m *telemetry.Meter) {
	m.Gauge("requests_in_progress", h.handler.InProgress)
	m.Gauge("caller_connections", h.idle.count)
	m.Gauge("upstream_connections_opened", h.client.Dialed)
	m.Gauge("configuration_age_milliseconds", func() int64 { return min(h.keeper.Age(), time.Hour).Milliseconds() })
	m.Gauge("upstream_list_age_milliseconds", func() int64 { return min(h.source.ListAge(), time.Hour).Milliseconds() })
	m.Gauge("out_of_touch_milliseconds", func() int64 { return h.keeper.OutOfTouch().Milliseconds() })
	m.Gauge("configuration_late_milliseconds", func() int64 { return h.keeper.Late().Milliseconds() })
	m.Gauge("requests_suspected", func() int64 {
		remembered, _ := h.quarantine.Counts()
		return int64(remembered)
	})
	m.Gauge("requests_quarantined", func() int64 {
		_, barred := h.quarantine.Counts()
		return int64(barred)
	})
	m.Gauge("fleet_bytes", h.source.Bytes)
	m.Gauge("fleet_hosts", func() int64 {
		return int64(h.hosts())
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
		if h.keeper.Ready() && !h.stopping.Load() {
			return 1
		}
		return 0
	})
	m.Gauge("configuration_version", func() int64 {
		if c := h.keeper.Snapshot().Configuration(); c != nil {
			return c.Version()
		}
		return 0
	})
	m.Family("retries_left", "pool", h.budgets.Left)
	m.Family("pool_upstreams", "pool", h.poolSizes)
	m.Family("pool_load_bound", "pool", h.poolBounds)
	m.Family("upstream_requests", "upstream", h.upstreamRequests)
	m.Family("upstreams_avoided", "pool", h.poolAvoided)
}

func (h *Host) poolSizes() map[string]int64 {
	sizes := map[string]int64{}
	for name, pool := range h.keeper.Snapshot().Pools() {
		sizes[name] = int64(len(pool))
	}
	return sizes
}

// poolBounds returns how many requests an upstream of each pool may have.
func (h *Host) poolBounds() map[string]int64 {
	bounds, now := map[string]int64{}, time.Now()
	spread := h.balancer.Spread(now)
	for name, pool := range h.keeper.Snapshot().Pools() {
		choice := placement.Choice{Loads: h.loads.All(now, pool), Multiple: h.bounds.Load().LoadMultiple, Spread: spread, Pool: name}
		bounds[name] = int64(choice.Limit())
	}
	return bounds
}

func (h *Host) poolAvoided() map[string]int64 {
	s := h.keeper.Snapshot()
	avoided := map[string]int64{}
	for name, pool := range s.Pools() {
		for _, u := range pool {
			if s.Avoided(u.ID) {
				avoided[name]++
			}
		}
	}
	return avoided
}

// upstreamRequests returns the requests that each upstream is thought to have. Beyond
// a bound upstreams are summed up, so that a large fleet's metrics stay small.
func (h *Host) upstreamRequests() map[string]int64 {
	requests := map[string]int64{}
	others, rest := int64(0), 0
	for _, pool := range h.keeper.Snapshot().Pools() {
		for _, u := range pool {
			load := int64(h.loads.Estimate(time.Now(), u))
			if len(requests) < mostUpstreams {
				requests[u.ID] = load
				continue
			}
			others += load
			rest++
		}
	}
	if rest > 0 {
		requests["other-"+strconv.Itoa(rest)] = others
	}
	return requests
}
