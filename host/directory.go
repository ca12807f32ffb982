package host

import (
	"cmp"
	"math"
	"slices"

	"github.com/samber/lo"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// DirectoryTTL is how long a caller may use a Listing, in milliseconds.
const DirectoryTTL cicadapitch.Millis = 2000

// Query asks which hosts a caller should use.
type Query struct {
	// Caller identifies the caller. Each caller has its own order of hosts with
	// the same load, which distributes callers over them.
	Caller string
	// Zone and Region are those of the caller, or empty if they are unknown.
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// Limit is the maximum number of hosts in the Listing; 0 means no limit.
	Limit int
}

// Listing is the answer to a Query. Hosts are ordered by preference, the best
// first. The caller may use the Listing for TTL.
type Listing struct {
	Hosts []cicadapitch.Member
	TTL   cicadapitch.Millis
}

// SelectHosts returns the hosts that a caller should use: those that are ready,
// have a configuration and are not out of service. Hosts in the caller's zone
// come first, then those in its region, then all others. Among hosts at the same
// distance each caller has its own order, in which hosts with fewer running
// requests come first more often. This preference is limited, since the counts of
// running requests are stale: an idle host gets at most about twice the mean number
// of callers. A nil cfg yields no hosts.
func SelectHosts(members []cicadapitch.Member, cfg *cicadapitch.Configuration, q Query) Listing {
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

// distanceCount is the number of values that distance returns.
const distanceCount = 3

// meanRunning returns the mean number of running requests per usable host at
// each distance.
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

// candidate is a host, as an index into the members, with its sort keys.
type candidate struct {
	index    int
	distance int
	// score is the weighted rendezvous hash of the caller and the host.
	score float64
}

// idleRunning is the lower limit of the mean number of running requests in the
// computation of weights. It makes hosts with few running requests nearly equal.
const idleRunning = 8

func newCandidate(i int, m cicadapitch.Member, q Query, means [distanceCount]float64) candidate {
	d := distance(&m, q)
	weight := 1 / (float64(max(m.Running, 0)) + max(means[d], idleRunning))
	hash := xxh3.HashString(q.Caller + "\x00" + string(m.Host))
	// uniform is the hash scaled to the open interval (0, 1).
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return candidate{index: i, distance: d, score: weight / -math.Log(uniform)}
}

// compare orders by distance, then by descending score.
func (c candidate) compare(o candidate) int {
	return cmp.Or(
		cmp.Compare(c.distance, o.distance),
		cmp.Compare(o.score, c.score),
		cmp.Compare(c.index, o.index),
	)
}

// distance returns 0 for a host in the caller's zone, 1 for one in its region
// and 2 for any other.
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

// usableIndexes returns the indexes of the hosts that are ready, have a
// configuration and are not out of service in cfg.
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
	indexes := make([]int, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.State == cicadapitch.Ready && m.Revision > 0 && !zonesOut[m.Zone] && !hostsOut[m.Host] {
			indexes = append(indexes, i)
		}
	}
	return indexes
}
