// Command review-lapse lets a replica come back cold in a burst while the store comes back from an outage in which leases
// ran out, and counts what the cold replica gets in one second.
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
	perSecond  = 66
	burst      = 2.2
	burstTime  = 4 * time.Second
	eventCount = 10
	eventTime  = 150 * time.Millisecond
	// warmUp is how long traffic has run when the store goes down.
	warmUp = 6250 * time.Millisecond
	// outage is how long the store is down. It comes back downTime after a replica went down, and burstLead after the
	// burst has begun.
	outage    = 5 * time.Second
	downTime  = 3 * time.Second
	burstLead = 500 * time.Millisecond
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
		d.Store.GoDown(true)
	}
	time.Sleep(outage - downTime)
	d.Replicas[0].Stop()
	time.Sleep(downTime - burstLead)
	b.Log("requesters: %.1f times as many", burst)
	load.Burst(burst, burstTime)
	time.Sleep(burstLead)
	if bed.Trouble() {
		d.Store.ComeBack()
	}
	r, err := d.AddReplica()
	if err != nil {
		return bed.Unusable, err
	}
	cold := b.StartCold(r, coldTime, bound)
	d.Store.Remove(d.Replicas[0].Key())
	d.Store.Set(cold.Key(), cold.Entry("ready"))
	for range 10 {
		time.Sleep(coldTime / 10)
		b.Log("hosts registered: %d", d.Store.Hosts())
	}
	load.Stop()
	b.Log("answers: %v", got)
	if got.Count("200 OK") < 100 {
		return bed.Unusable, errors.New("the hosts did not serve")
	}
	most := cold.Most()
	return b.Verdict(float64(most) > bound, "the cold replica got %d requests in one second; the bound is %.0f", most, bound)
}
