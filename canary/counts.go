package canary

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// MaxRoutes bounds the routes that are counted on their own. The requests of further routes are
	// counted together, as OtherRoutes. It bounds the size of a report.
	MaxRoutes = 16
	// OtherRoutes is the name under which requests beyond MaxRoutes are counted.
	OtherRoutes = ""
	// MaxRouteName bounds the length of a route's name in bytes. Longer names are cut.
	MaxRouteName = 64
	// MaxCount bounds each figure of a host.
	MaxCount = 1 << 26
)

// VersionCounts are the counts of one route at one version. Its keys in messages are numbers, since a report has
// them twice for each route.
type VersionCounts struct {
	// Answers is the number of requests that ended, failures included.
	Answers uint32 `cbor:"1,keyasint"`
	// Failures is the number of those that failed for the version's part.
	Failures uint32 `cbor:"2,keyasint"`
	// Times are those to the answer or to the first event of a stream, without cold endpoints.
	Times Times `cbor:"3,keyasint"`
	// Pending are the calls without an answer or a first event yet, by the time that they have waited,
	// without those at cold endpoints. It is a snapshot and may be left out; with it, slow calls
	// count before their answers.
	Pending Times `cbor:"4,keyasint"`
}

// RouteCounts are the counts of one route.
type RouteCounts struct {
	Old VersionCounts `cbor:"1,keyasint"`
	New VersionCounts `cbor:"2,keyasint"`
}

// Counts are the counts of a host since it knew the order, by the route's name. They only grow, except for
// Pending. They are not safe for concurrent use.
type Counts struct{ Routes map[string]RouteCounts }

// Record counts a request that ended. A failure counts no time; timed is false for cold endpoints, whose
// times are not counted.
func (c *Counts) Record(route string, isNew, failed bool, took cicadapitch.Millis, timed bool) {
	c.change(route, isNew, func(v *VersionCounts) {
		v.record(failed)
		if timed && !failed {
			grow(&v.Times[bin(took)])
		}
	})
}

// Add adds the counts of another host.
func (c *Counts) Add(o Counts) {
	for name, rc := range o.Routes {
		c.change(name, false, func(v *VersionCounts) { v.add(rc.Old) })
		c.change(name, true, func(v *VersionCounts) { v.add(rc.New) })
	}
}

// change applies f to the counts of a route and version.
func (c *Counts) change(route string, isNew bool, f func(*VersionCounts)) {
	if c.Routes == nil {
		c.Routes = map[string]RouteCounts{}
	}
	name := routeKey(c.Routes, route)
	rc := c.Routes[name]
	if isNew {
		f(&rc.New)
	} else {
		f(&rc.Old)
	}
	c.Routes[name] = rc
}

// routeKey returns the name under which a route is counted among routes.
func routeKey[T any](routes map[string]T, route string) string {
	route = route[:min(len(route), MaxRouteName)]
	if _, ok := routes[route]; ok {
		return route
	}
	// OtherRoutes needs a place of its own.
	if len(routes) >= MaxRoutes-1 {
		return OtherRoutes
	}
	return route
}

// record counts an answer.
func (v *VersionCounts) record(failed bool) {
	grow(&v.Answers)
	if failed {
		grow(&v.Failures)
	}
}

func (v *VersionCounts) add(o VersionCounts) {
	v.Answers = sum(v.Answers, o.Answers)
	v.Failures = sum(v.Failures, o.Failures)
	for i := range v.Times {
		v.Times[i] = sum(v.Times[i], o.Times[i])
		v.Pending[i] = sum(v.Pending[i], o.Pending[i])
	}
}

// grow adds 1 to n, up to the largest number.
func grow(n *uint32) { *n = sum(*n, 1) }

// sum returns a + b, or the largest number if that is larger.
func sum(a, b uint32) uint32 {
	if a > math.MaxUint32-b {
		return math.MaxUint32
	}
	return a + b
}
