package host_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

// benchmarkSizes runs a benchmark for each fleet size with 1% message loss. Use
// -benchtime 1x: the metrics are in virtual time and the same on each run.
func benchmarkSizes(b *testing.B, run func(b *testing.B, f *fleet, n int)) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := convergedFleet(n, 31)
				f.loss = 0.01
				run(b, f, n)
				b.ReportMetric(float64(lo.Sum(lo.Values(f.falseSuspicions))), "false-suspicions")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func reportTraffic(b *testing.B, f *fleet, m cicadapitch.Millis) {
	start := time.Now()
	mean, busiest, pings := f.traffic(m)
	b.ReportMetric(mean, "B/s/host")
	b.ReportMetric(busiest, "B/s/busiest")
	b.ReportMetric(pings, "pings/s/host")
	hostSeconds := float64(m) / 1000 * float64(len(f.nodes))
	b.ReportMetric(100*time.Since(start).Seconds()/hostSeconds, "%core/host")
}

func BenchmarkGroupSteady(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet, _ int) { reportTraffic(b, f, changeInterval) })
}

func BenchmarkGroupRevisions(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet, _ int) {
		var slowest, medians []cicadapitch.Millis
		for r := range 3 {
			median, slow := f.spreadRevision(b, cicadapitch.Revision(2+r))
			medians, slowest = append(medians, median), append(slowest, slow)
			if r == 0 {
				reportTraffic(b, f, changeInterval)
			}
		}
		b.ReportMetric(float64(slices.Max(medians)), "ms-median")
		b.ReportMetric(float64(slices.Max(slowest)), "ms-slowest")
	})
}

// BenchmarkGroupRestarts restarts a host every 10 s, seven times as often as a
// deployment with 1,200 restarts of hosts a day does.
func BenchmarkGroupRestarts(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet, n int) {
		for i := range 6 {
			f.schedule(cicadapitch.Millis(10_000*i), func() {
				nd := f.nodes[(7*i+3)%n]
				nd.down = true
				f.schedule(2000, func() { f.start(nd) })
			})
		}
		reportTraffic(b, f, 60*cicadapitch.Second)
		b.ReportMetric(float64(f.runUntil(b, 10*convergenceLimit, f.converged)), "ms-to-agree")
	})
}

func BenchmarkGroupAllRestart(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet, _ int) {
		for _, nd := range f.nodes {
			f.start(nd)
		}
		reportTraffic(b, f, 10*cicadapitch.Second)
		b.ReportMetric(float64(f.runUntil(b, 20*convergenceLimit, f.converged)+10_000), "ms-to-agree")
	})
}

func BenchmarkGroupRegionPartition(b *testing.B) {
	benchmarkSizes(b, func(b *testing.B, f *fleet, _ int) {
		f.partitioned = func(a, b *node) bool { return (a.self.Region == "region-0") != (b.self.Region == "region-0") }
		f.run(30 * cicadapitch.Second)
		changes := lo.SumBy(f.nodes, func(nd *node) uint64 { return nd.core.Changes() })
		f.run(270 * cicadapitch.Second)
		changes = lo.SumBy(f.nodes, func(nd *node) uint64 { return nd.core.Changes() }) - changes
		f.partitioned = func(_, _ *node) bool { return false }
		took := f.runUntil(b, 20*convergenceLimit, f.converged)
		require.True(b, f.converged())
		b.ReportMetric(float64(took), "ms-to-agree")
		b.ReportMetric(float64(changes)/float64(len(f.nodes)), "changes/host-while-cut")
	})
}

func BenchmarkGroupMembers(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := newGroupWithHosts(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_ = g.Members()
				}
			})
		})
	}
}

func BenchmarkSelectHosts(b *testing.B) {
	for _, n := range fleetSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members, cfg := newGroupWithHosts(n).Members(), &cicadapitch.Configuration{}
			b.ReportAllocs()
			for b.Loop() {
				_ = host.SelectHosts(members, cfg, host.Query{Caller: "c", Zone: "zone-1", Region: "region-1", Limit: 3})
			}
		})
	}
}

// newGroupWithHosts returns a group with the records of n hosts, its own
// included.
func newGroupWithHosts(n int) *host.Group {
	f := newFleet(n, 1)
	f.startAll()
	g := host.New(f.nodes[0].self)
	for _, nd := range f.nodes[1:] {
		_, _ = g.Handle(context.Background(), host.Ping{Records: []host.Record{host.RecordOf(nd.core)}})
	}
	return g
}
