package routing

import (
	"fmt"
	"runtime"
	"testing"
)

// heapBytes returns the heap bytes retained by the value that allocate returns.
func heapBytes(allocate func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	allocated := allocate()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(allocated)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkBytes reports the memory of a remembered chat, and of views by upstreams and by hosts.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{1000, 8000, 64000} {
		b.Run(fmt.Sprintf("moved-chats=%d", n), func(b *testing.B) {
			p := testPool(testHosts(4))
			for range b.N {
				size := heapBytes(func() any {
					balancer := newOwningBalancer(p)
					for chat := range uint64(n) {
						balancer.rememberMove(baseTime, Candidate{Chat: chat}, p.Upstreams()[0])
					}
					return balancer
				})
				b.ReportMetric(size/float64(n), "B/chat")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
	for _, n := range []int{24, 220, 880} {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			for range b.N {
				size := heapBytes(func() any {
					v, p := benchView(n, 360)
					return []any{v, newOwningBalancer(p)}
				})
				b.ReportMetric(size, "B")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
	for _, n := range []int{9, 90, 360} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				size := heapBytes(func() any {
					v, _ := benchView(24, n)
					return v
				})
				b.ReportMetric(size, "B")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
