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

// bySize runs a benchmark for each size, to be used with -benchtime 1x: its
// figures are of virtual time and repeat.
func bySize(b *testing.B, run func(b *testing.B, f *fleet, n int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				f := steadyFleet(n, 31)
				f.loss = 0.01
				run(b, f, n)
				b.ReportMetric(float64(lo.Sum(lo.Values(f.falsely))), "false-suspicions")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func reportTraffic(b *testing.B, f *fleet, m cicadapitch.Millis) {
	began := time.Now()
	mean, most, pings := f.traffic(m)
	b.ReportMetric(mean, "B/s/host")
	b.ReportMetric(most, "B/s/busiest")
	b.ReportMetric(pings, "pings/s/host")
	hostSeconds := float64(m) / 1000 * float64(len(f.nodes))
	b.ReportMetric(100*time.Since(began).Seconds()/hostSeconds, "%core/host")
}

func BenchmarkGroupSteady(b *testing.B) {
	bySize(b, func(b *testing.B, f *fleet, _ int) { reportTraffic(b, f, changeEvery) })
}

func BenchmarkGroupRevisions(b *testing.B) {
	bySize(b, func(b *testing.B, f *fleet, _ int) {
		var slowest, medians []cicadapitch.Millis
		for r := range 3 {
			median, slow := f.revise(b, cicadapitch.Revision(2+r))
			medians, slowest = append(medians, median), append(slowest, slow)
			if r == 0 {
				reportTraffic(b, f, changeEvery)
			}
		}
		b.ReportMetric(float64(slices.Max(medians)), "ms-median")
		b.ReportMetric(float64(slices.Max(slowest)), "ms-slowest")
	})
}

// BenchmarkGroupRestarts restarts a host every 10 s, seven times the rate of
// 1,200 restarts a day.
func BenchmarkGroupRestarts(b *testing.B) {
	bySize(b, func(b *testing.B, f *fleet, n int) {
		for i := range 6 {
			f.after(cicadapitch.Millis(10_000*i), func() {
				nd := f.nodes[(7*i+3)%n]
				nd.down = true
				f.after(2000, func() { f.start(nd) })
			})
		}
		reportTraffic(b, f, 60*cicadapitch.Second)
		b.ReportMetric(float64(f.until(b, 10*fewSeconds, f.agree)), "ms-to-agree")
	})
}

func BenchmarkGroupAllRestart(b *testing.B) {
	bySize(b, func(b *testing.B, f *fleet, _ int) {
		for _, nd := range f.nodes {
			f.start(nd)
		}
		reportTraffic(b, f, 10*cicadapitch.Second)
		b.ReportMetric(float64(f.until(b, 20*fewSeconds, f.agree)+10_000), "ms-to-agree")
	})
}

func BenchmarkGroupRegionsCut(b *testing.B) {
	bySize(b, func(b *testing.B, f *fleet, _ int) {
		f.cut = func(a, b *node) bool { return (a.self.Region == "region-0") != (b.self.Region == "region-0") }
		f.run(30 * cicadapitch.Second)
		changes := lo.SumBy(f.nodes, func(nd *node) uint64 { return nd.core.Changes() })
		f.run(270 * cicadapitch.Second)
		changes = lo.SumBy(f.nodes, func(nd *node) uint64 { return nd.core.Changes() }) - changes
		f.cut = func(_, _ *node) bool { return false }
		took := f.until(b, 20*fewSeconds, f.agree)
		require.True(b, f.agree())
		b.ReportMetric(float64(took), "ms-to-agree")
		b.ReportMetric(float64(changes)/float64(len(f.nodes)), "changes/host-while-cut")
	})
}

func BenchmarkGroupMembers(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := knowing(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					_ = g.Members()
				}
			})
		})
	}
}

func BenchmarkDirectory(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members, cfg := knowing(n).Members(), &cicadapitch.Configuration{}
			b.ReportAllocs()
			for b.Loop() {
				_ = host.Directory(members, cfg, host.Query{Caller: "c", Zone: "zone-1", Region: "region-1", Limit: 3})
			}
		})
	}
}

// knowing returns a group that knows n hosts.
func knowing(n int) *host.Group {
	f := newFleet(n, 1)
	f.startAll()
	g := host.New(f.nodes[0].self)
	for _, nd := range f.nodes[1:] {
		_, _ = g.Handle(context.Background(), host.Ping{Records: []host.Record{host.RecordOf(nd.core)}})
	}
	return g
}
