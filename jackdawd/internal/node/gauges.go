package node

import (
	"time"

	"jackdawhinge/jackdawd/internal/routing"
	"jackdawhinge/jackdawd/internal/telemetry"
)

// registerGauges registers gauges of the control data, the upstreams' loads and the queues.
func (n *Node) registerGauges(meter *telemetry.Meter, controlBytes func() int64) {
	meter.Gauge("control_bytes", controlBytes)
	meter.Gauge("configuration_revision", func() int64 { return n.View().Revision() })
	meter.Gauge("host_list_age_milliseconds", func() int64 { return n.ListAge().Milliseconds() })
	meter.Gauge("moved_chats", func() int64 { return int64(n.balancer.MovedChats()) })
	meter.GaugeFamily("upstream_load_tokens", "upstream", func() map[string]int64 {
		return n.ownedUpstreamValues(func(u *routing.Upstream) int64 {
			load, _ := n.balancer.Load(time.Now(), u)
			return load
		})
	})
	meter.GaugeFamily("upstream_limit_tokens", "upstream", func() map[string]int64 {
		return n.ownedUpstreamValues(func(u *routing.Upstream) int64 {
			_, _, limit := n.owner.Depth(u)
			return limit
		})
	})
	meter.GaugeFamily("waiting_requests", "upstream", func() map[string]int64 {
		return n.ownedUpstreamValues(func(u *routing.Upstream) int64 {
			requests, _, _ := n.owner.Depth(u)
			return int64(requests)
		})
	})
}

// ownedUpstreamValues returns a value for each upstream that this host owns, by name. Hosts report
// only upstreams that they own, so that each upstream appears once in the fleet's metrics.
func (n *Node) ownedUpstreamValues(read func(*routing.Upstream) int64) map[string]int64 {
	view := n.View()
	values := map[string]int64{}
	for _, pool := range view.Pools() {
		for _, u := range pool.Upstreams() {
			if ownsUpstream(view, u) {
				values[u.Name()] = read(u)
			}
		}
	}
	return values
}
