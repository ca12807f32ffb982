// Command review-coldagain lets a replica become cold again in a burst and say so with its next check-in, and counts what it
// gets in one second.
package main

import (
	"errors"
	"net/http"
	"time"

	"cicadapitch.example/cicadapitch/review/bed"
)

const (
	coldPerS   = 14
	coldTime   = 3 * time.Second
	perSecond  = 45
	burst      = 2.6
	burstTime  = 4 * time.Second
	eventCount = 10
	eventTime  = 150 * time.Millisecond
	warmUp     = 6 * time.Second
	// burstLead is how long the burst has lasted when the replica becomes cold. It says so checkIn later, with its next
	// check-in (heartbeat_ms is 1,200).
	burstLead = 200 * time.Millisecond
	checkIn   = 1000 * time.Millisecond
	tail      = 3 * time.Second
	// bound is cold_per_s x cold_excess + cold_slack.
	bound = coldPerS*1.5 + 5
)

func main() { bed.Main(run) }

func run(b *bed.Bed) (int, error) {
	d, err := b.Deploy(bed.Size{Hosts: 6, Replicas: 3}, bed.StreamService, bed.StreamConfig(false, 1, coldPerS), func(r *bed.Replica) {
		r.Handle = func(w http.ResponseWriter, req *http.Request, _ string) {
			bed.Seal(w, r.ID)
			bed.WriteEvents(w, req, 1, eventCount, eventTime, "part")
		}
	})
	if err != nil {
		return bed.Unusable, err
	}
	got := bed.NewOutcomes()
	load := d.StartLoad(perSecond, func(h *bed.Host) { got.Add(bed.AskForStream(h)) })
	time.Sleep(warmUp)
	if bed.Trouble() {
		b.Log("requesters: %.1f times as many", burst)
		load.Burst(burst, burstTime)
	}
	time.Sleep(burstLead)
	cold := b.StartCold(d.Replicas[0], coldTime, bound)
	time.Sleep(checkIn)
	d.Store.Set(cold.Key(), cold.Entry("ready"))
	time.Sleep(tail)
	load.Stop()
	b.Log("answers: %v", got)
	if got.Count("200 OK") < 100 {
		return bed.Unusable, errors.New("the hosts did not serve")
	}
	most := cold.Most()
	return b.Verdict(float64(most) > bound, "the cold replica got %d requests in one second; the bound is %.0f", most, bound)
}
