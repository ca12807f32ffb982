package propagation

import (
	"time"

	"cicadapitch.example/cicadapitch"
)

// IdleResult is what a fleet costs that serves nothing.
type IdleResult struct {
	Hosts int
	// StartCalls is the number of calls to the store until all hosts were ready, renewals of leases
	// apart.
	StartCalls int64
	// ReadsPerSecond counts reads, polls and watches of the store by all hosts, RenewalsPerSecond
	// renewals of leases, WritesPerSecond other writes.
	ReadsPerSecond, RenewalsPerSecond, WritesPerSecond float64
	// BytesPerSecond are sent and received by a host, by other hosts and the store.
	BytesPerSecond float64
	// Cores are used by a host, its share of the simulated store included.
	Cores float64
	// Knowledge are the ages of the hosts' knowledge of the endpoints.
	Knowledge Percentiles
}

// idleSettleTime is the time after the start before the measurement.
const idleSettleTime = 4 * cicadapitch.Second

// RunIdle starts a fleet, and measures it for a time in which nobody asks for anything.
func RunIdle(c Case, watched cicadapitch.Millis) (IdleResult, error) {
	f, err := Start(c)
	if err != nil {
		return IdleResult{}, err
	}
	defer f.Close()
	r := IdleResult{Hosts: c.Hosts}
	calls := f.store.Calls()
	r.StartCalls = calls.Total() - calls.Renew
	time.Sleep(idleSettleTime.Duration())
	before, start, used := f.store.Calls(), time.Now(), processorTime()
	bytes, _ := f.usage()
	var ages []cicadapitch.Millis
	for time.Since(start) < watched.Duration() {
		time.Sleep(50 * time.Millisecond)
		for _, h := range f.hosts {
			if age, ok := h.membership.KnowledgeAge(); ok {
				ages = append(ages, age)
			}
		}
	}
	seconds := time.Since(start).Seconds()
	after := f.store.Calls()
	sent, _ := f.usage()
	r.ReadsPerSecond = float64(after.Reads()-before.Reads()) / seconds
	r.RenewalsPerSecond = float64(after.Renew-before.Renew) / seconds
	r.WritesPerSecond = float64(after.Writes()-after.Renew-before.Writes()+before.Renew) / seconds
	r.BytesPerSecond = float64(sent-bytes) / seconds / float64(c.Hosts)
	r.Cores = (processorTime() - used).Seconds() / seconds / float64(c.Hosts)
	r.Knowledge = percentilesOf(ages)
	return r, nil
}
