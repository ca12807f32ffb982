package claim_test

import (
	"fmt"
	"testing"

	"cicadapitch.example/cicadapitch"
)

// fleetSizes are the hosts, zones and shards of current deployments and, last, of the
// largest deployment that the design supports.
var fleetSizes = []struct{ hosts, zones, shards int }{{8, 3, 40}, {40, 5, 400}, {340, 10, 2900}}

// BenchmarkFleet reports the store calls per second of all hosts on a virtual clock
// and the shards that change owner when a host joins.
func BenchmarkFleet(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("Hosts=%d/Shards=%d", s.hosts, s.shards), func(b *testing.B) {
			for range b.N {
				reportFleetMetrics(b, newFleet(b, s.hosts, s.zones, s.shards), s.zones)
			}
		})
	}
}

// reportFleetMetrics runs each phase for a minute, or a fifth of it with more than
// 100 hosts.
func reportFleetMetrics(b *testing.B, f *fleet, zones int) {
	span := cicadapitch.Minute
	if len(f.hosts) > 100 {
		span /= 5
	}
	perSecond := func(of cicadapitch.Millis) float64 {
		before := f.store.Calls().Total()
		f.run(of)
		return float64(f.store.Calls().Total()-before) * 1000 / float64(of)
	}
	start, calls := f.waitForOwners(cicadapitch.Minute), f.store.Calls().Total()
	b.ReportMetric(float64(start), "ms-start")
	b.ReportMetric(float64(calls)*1000/float64(start), "calls/s-start")
	f.run(span)
	b.ReportMetric(perSecond(span), "calls/s-steady")
	f.store.SetDown(true)
	f.run(span)
	f.store.SetDown(false)
	b.ReportMetric(perSecond(5*cicadapitch.Second), "calls/s-outage-over")
	f.run(span)
	before := f.owners()
	f.start(zones)
	b.ReportMetric(perSecond(span), "calls/s-join")
	moved := 0
	for shard, owner := range f.owners() {
		if before[shard] != owner {
			moved++
		}
	}
	b.ReportMetric(float64(moved), "moves/join")
}

// BenchmarkStep measures one tick of one host. A host makes two per second.
func BenchmarkStep(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("Hosts=%d/Shards=%d", s.hosts, s.shards), func(b *testing.B) {
			f := newFleet(b, s.hosts, s.zones, s.shards)
			f.run(20 * cicadapitch.Second)
			b.ReportAllocs()
			for b.Loop() {
				f.hosts[0].claims.Step()
			}
		})
	}
}

// BenchmarkOwner measures the queries that each request makes.
func BenchmarkOwner(b *testing.B) {
	for _, s := range fleetSizes {
		b.Run(fmt.Sprintf("Hosts=%d/Shards=%d", s.hosts, s.shards), func(b *testing.B) {
			f := newFleet(b, s.hosts, s.zones, s.shards)
			f.run(20 * cicadapitch.Second)
			c := f.hosts[0].claims
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					shard := f.shards[i%len(f.shards)]
					c.Owner(shard)
					c.Load(shard)
					c.Holds(shard)
				}
			})
		})
	}
}
