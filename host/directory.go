package host

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// DirectoryTTL is how long a caller may use an answer of the directory.
const DirectoryTTL cicadapitch.Millis = 2000

// Query asks which hosts a caller should use.
type Query struct {
	// Caller spreads callers over hosts with the same load.
	Caller string
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// Limit bounds the hosts of the answer, 0 for all.
	Limit int
}

// Listing answers a Query. The best host comes first.
type Listing struct {
	Hosts []cicadapitch.Member
	TTL   cicadapitch.Millis
}

// Directory returns the hosts that a caller should use: ready ones with a
// configuration that are not out of service, the nearest zone first, then the
// least running, with a stable order for each caller among equals.
func Directory(members []cicadapitch.Member, cfg *cicadapitch.Configuration, q Query) Listing {
	hosts := make([]candidate, 0, len(members))
	for _, m := range members {
		if usable(m, cfg) {
			hosts = append(hosts, newCandidate(m, q))
		}
	}
	slices.SortFunc(hosts, candidate.compare)
	if q.Limit > 0 && len(hosts) > q.Limit {
		hosts = hosts[:q.Limit]
	}
	l := Listing{Hosts: make([]cicadapitch.Member, len(hosts)), TTL: DirectoryTTL}
	for i, c := range hosts {
		l.Hosts[i] = c.member
	}
	return l
}

// candidate is a host with what it is ordered by.
type candidate struct {
	member   cicadapitch.Member
	distance int
	load     int
	order    uint64
}

// loadStep is the difference in running requests that counts as one step.
// Within a step callers spread by their own order, so that not all of them
// follow the same lagging count.
const loadStep = 8

func newCandidate(m cicadapitch.Member, q Query) candidate {
	return candidate{
		member:   m,
		distance: distance(m, q),
		load:     m.Running / loadStep,
		order:    xxh3.HashString(q.Caller + "\x00" + string(m.Host)),
	}
}

func (c candidate) compare(o candidate) int {
	return cmp.Or(
		cmp.Compare(c.distance, o.distance),
		cmp.Compare(c.load, o.load),
		cmp.Compare(c.order, o.order),
		cmp.Compare(c.member.Host, o.member.Host),
	)
}

// distance is 0 within the zone, 1 within the region and 2 beyond.
func distance(m cicadapitch.Member, q Query) int {
	switch {
	case q.Zone != "" && m.Zone == q.Zone:
		return 0
	case q.Region != "" && m.Region == q.Region:
		return 1
	default:
		return 2
	}
}

func usable(m cicadapitch.Member, cfg *cicadapitch.Configuration) bool {
	if m.State != cicadapitch.Ready || m.Revision <= 0 || cfg == nil {
		return false
	}
	if z, ok := cfg.Zone(m.Zone); ok && z.Out {
		return false
	}
	return !slices.ContainsFunc(cfg.Hosts, func(h cicadapitch.HostSetting) bool {
		return h.ID == m.Host && h.Out
	})
}
