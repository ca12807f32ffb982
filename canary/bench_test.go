package canary_test

import (
	"fmt"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
)

// The work of the owner for 250 ms of a fleet: a report of each of 300 hosts, with three routes, and a decision.
func BenchmarkOwnerOf300Hosts(b *testing.B) {
	j := canary.NewJudge(canary.Order{Service: "s", To: "v2", Duration: canary.MaxDuration, Revision: 5, At: start}, canary.Bounds{})
	j.SetEndpoints(100, 10)
	tallies, live := make([]*canary.Tally, 300), make([]string, 300)
	for i := range tallies {
		tallies[i], live[i] = canary.NewTally(5, "a"), fmt.Sprint("host-", i)
	}
	now := start
	for b.Loop() {
		b.StopTimer()
		reports := make([]canary.Report, len(tallies))
		for i, t := range tallies {
			for k := range 6 {
				t.Begin(now, fmt.Sprint("route-", k%3), (i+k)%12 == 0, true).End(now.Add(cicadapitch.Millis(40+k*10)), false)
			}
			reports[i] = t.Report(now, canary.Canary)
		}
		now = now.Add(250)
		b.StartTimer()
		for i, r := range reports {
			j.Report(now, live[i], r)
		}
		j.Decide(now, live, 5000)
	}
}
