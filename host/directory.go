package host

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"
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
// configuration that are not out of service, the nearest zone first. Within the
// same distance each caller has its own order, in which hosts that run less
// come first more often. The counts of running requests lag, so no host, however
// idle it seems, draws more than about twice its part of the callers.
func Directory(members []cicadapitch.Member, cfg *cicadapitch.Configuration, q Query) Listing {
	usable := usableIndexes(members, cfg)
	means := meanRunning(members, usable, q)
	order := lo.Map(usable, func(i, _ int) candidate { return newCandidate(i, members[i], q, means) })
	slices.SortFunc(order, candidate.compare)
	if q.Limit > 0 && len(order) > q.Limit {
		order = order[:q.Limit]
	}
	return Listing{
		Hosts: lo.Map(order, func(c candidate, _ int) cicadapitch.Member { return members[c.index] }),
		TTL:   DirectoryTTL,
	}
}

// distanceCount counts the values of distance.
const distanceCount = 3

// meanRunning returns the mean count of running requests at each distance.
func meanRunning(members []cicadapitch.Member, usable []int, q Query) [distanceCount]float64 {
	var sums, counts [distanceCount]float64
	for _, i := range usable {
		d := distance(&members[i], q)
		sums[d] += float64(members[i].Running)
		counts[d]++
	}
	for d := range sums {
		sums[d] /= max(counts[d], 1)
	}
	return sums
}

// candidate is a host, by its index, with what it is ordered by.
type candidate struct {
	index    int
	distance int
	// score is the weighted rendezvous hash of the caller and the host.
	score float64
}

// idleRunning is the count of running requests below which hosts are alike.
const idleRunning = 8

func newCandidate(i int, m cicadapitch.Member, q Query, means [distanceCount]float64) candidate {
	d := distance(&m, q)
	weight := 1 / (float64(max(m.Running, 0)) + max(means[d], idleRunning))
	hash := xxh3.HashString(q.Caller + "\x00" + string(m.Host))
	// The hash as a number between 0 and 1, both excluded.
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return candidate{index: i, distance: d, score: weight / -math.Log(uniform)}
}

func (c candidate) compare(o candidate) int {
	return cmp.Or(
		cmp.Compare(c.distance, o.distance),
		cmp.Compare(o.score, c.score),
		cmp.Compare(c.index, o.index),
	)
}

// distance is 0 within the zone, 1 within the region and 2 beyond.
func distance(m *cicadapitch.Member, q Query) int {
	switch {
	case q.Zone != "" && m.Zone == q.Zone:
		return 0
	case q.Region != "" && m.Region == q.Region:
		return 1
	default:
		return 2
	}
}

// usableIndexes returns the indexes of the hosts that take callers.
func usableIndexes(members []cicadapitch.Member, cfg *cicadapitch.Configuration) []int {
	if cfg == nil {
		return nil
	}
	zonesOut := make(map[cicadapitch.ZoneID]bool)
	for _, z := range cfg.Zones {
		if z.Out {
			zonesOut[z.ID] = true
		}
	}
	hostsOut := make(map[cicadapitch.HostID]bool)
	for _, h := range cfg.Hosts {
		if h.Out {
			hostsOut[h.ID] = true
		}
	}
	list := make([]int, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.State == cicadapitch.Ready && m.Revision > 0 && !zonesOut[m.Zone] && !hostsOut[m.Host] {
			list = append(list, i)
		}
	}
	return list
}
