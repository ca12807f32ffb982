package entry

import (
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// hostCountTTL is the time for which a count of hosts is reused.
const hostCountTTL = cicadapitch.Second

// hostCounter counts the hosts. It caches the count, because the cost of listing
// the members grows with the number of hosts and each attempt needs the count.
type hostCounter struct {
	members cicadapitch.Members
	last    atomic.Pointer[hostCount]
}

type hostCount struct {
	at    cicadapitch.Instant
	hosts int
}

// count returns the number of hosts, including this one.
func (c *hostCounter) count(now cicadapitch.Instant) int {
	n := c.last.Load()
	if n == nil || now.Sub(n.at) >= hostCountTTL {
		n = &hostCount{at: now, hosts: len(c.members.Members())}
		c.last.Store(n)
	}
	return n.hosts
}
