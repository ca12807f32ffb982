package origin_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/origin"
)

// lifetime is how long after its beginning a stream is taken up in TestStreamsNeverGoOnAtAnotherVersion.
const lifetime cicadapitch.Millis = 1000

// modelHost is a host of a modelRelease.
type modelHost struct {
	registry *origin.Registry
	history  *origin.History
	// outOfStep is true while the host hears nothing from the store or other hosts, nor they from
	// it. It still gets requests and sends them to endpoints.
	outOfStep bool
	// behind is how far its clock is behind: a suspended host does not count the time.
	behind cicadapitch.Millis
	// revision is that of the last list that it has applied.
	revision int
	// present is its view of the endpoints.
	present []cicadapitch.SoftwareVersion
}

// modelStream is a stream that has begun.
type modelStream struct {
	record  origin.Record
	beganAt cicadapitch.Instant
}

// modelRelease is a store with the endpoints of a service, and the hosts.
type modelRelease struct {
	t       *rapid.T
	now     cicadapitch.Instant
	hosts   []*modelHost
	present []cicadapitch.SoftwareVersion
	// listed is what the store lists of the versions, as of revision.
	listed   []origin.StoredVersion
	revision int
	streams  []modelStream
	proven   int
}

func (m *modelRelease) clock(h *modelHost) cicadapitch.Instant { return m.now.Add(-h.behind) }

func (m *modelRelease) newHost() *modelHost {
	return &modelHost{registry: origin.NewRegistry(), history: origin.NewHistory()}
}

// hear tells a host of the endpoints, of the list, or both. A host that has listed the store after
// a gap knows nothing of what came and went in between.
func (m *modelRelease) hear(h *modelHost, endpoints, list bool) {
	if endpoints {
		h.present = m.present
		h.history.Observe(m.clock(h), versions(m.present...))
	}
	if list && h.revision < m.revision {
		h.revision = m.revision
		h.history.ApplyStored(m.clock(h), "s", m.listed)
	}
}

// store lets a host bring the list up to date, as it would by a write under the condition that the
// list has not changed since it was read.
func (m *modelRelease) store(h *modelHost) {
	m.hear(h, false, true)
	m.revision++
	m.listed = h.history.StoredVersions(m.clock(h))["s"]
	m.hear(h, false, true)
}

// settle lets all hosts that are not out of step hear of everything.
func (m *modelRelease) settle() {
	for _, h := range m.hosts {
		if !h.outOfStep {
			m.hear(h, true, true)
			m.store(h)
		}
	}
}

// begin lets a host begin a stream at an endpoint that there is, if it may.
func (m *modelRelease) begin(h *modelHost, told func() bool) {
	may := slices.DeleteFunc(h.history.Listed("s"), func(v cicadapitch.SoftwareVersion) bool {
		return !slices.Contains(h.present, v) || !slices.Contains(m.present, v)
	})
	if len(may) == 0 {
		return
	}
	slices.Sort(may)
	rec := origin.Record{
		Request:  cicadapitch.RequestID(fmt.Sprint(len(m.streams))),
		Origin:   origin.Origin{Service: "s", Version: rapid.SampledFrom(may).Draw(m.t, "version")},
		Lifetime: lifetime,
	}
	m.streams = append(m.streams, modelStream{rec, m.now})
	for _, other := range m.hosts {
		if other == h || !h.outOfStep && !other.outOfStep && told() {
			other.registry.Add(m.clock(other), rec)
		}
	}
}

// takeUp lets a host take up all streams, some without their name.
func (m *modelRelease) takeUp(h *modelHost, named func() bool) {
	for _, s := range m.streams {
		if m.now.Sub(s.beganAt) >= lifetime {
			continue // the caller does not wait any more
		}
		request := s.record.Request
		if !named() {
			request = ""
		}
		if o, source := m.resolve(h, request); source != origin.Unknown {
			require.Equal(m.t, s.record.Origin, o, source.String())
			m.proven++
		}
	}
}

// resolve returns what a host finds out about a stream. A host out of step gets no answers.
func (m *modelRelease) resolve(h *modelHost, request cicadapitch.RequestID) (origin.Origin, origin.Source) {
	claim := func(other *modelHost) (c origin.Claim) {
		c.Origin, c.Recorded = other.registry.Find(m.clock(other), request)
		c.Seen = other.history.Seen(m.clock(other), "s", lifetime+origin.ListDelay)
		return c
	}
	var claims []origin.Claim
	for _, other := range m.hosts {
		if !h.outOfStep && !other.outOfStep && other != h {
			claims = append(claims, claim(other))
		}
	}
	if !h.outOfStep {
		m.hear(h, false, true)
	}
	own := claim(h)
	own.Confirmed = !h.outOfStep && len(h.history.Listed("s")) > 0
	return origin.Resolve("s", append(claims, own))
}

// TestStreamsNeverGoOnAtAnotherVersion replaces the endpoints of a service at random. Hosts start,
// learn of endpoints and versions late or not at all while they are out of step, are suspended, and
// lose records; the list of versions is written late, or by hosts that are behind. A stream whose
// origin is resolved has that origin.
func TestStreamsNeverGoOnAtAnotherVersion(t *testing.T) {
	proven := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &modelRelease{t: t, now: start, present: []cicadapitch.SoftwareVersion{"v1"}}
		m.hosts = []*modelHost{m.newHost(), m.newHost(), m.newHost()}
		m.settle()
		flip := func(name string) func() bool { return func() bool { return rapid.Bool().Draw(t, name) } }
		pickHost := func() *modelHost { return m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")] }
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.now = m.now.Add(cicadapitch.Millis(rapid.IntRange(0, 300).Draw(t, "pause")))
			h := pickHost()
			switch rapid.SampledFrom([]string{"release", "restart", "step", "suspend", "hear", "settle", "store", "begin", "begin", "takeUp"}).Draw(t, "event") {
			case "release":
				m.present = rapid.SliceOfNDistinct(rapid.SampledFrom([]cicadapitch.SoftwareVersion{"v1", "v2", "v3"}), 1, 2, rapid.ID[cicadapitch.SoftwareVersion]).Draw(t, "present")
			case "settle":
				m.settle()
			case "restart":
				*h = *m.newHost()
			case "step":
				h.outOfStep = !h.outOfStep
			case "suspend":
				h.behind += cicadapitch.Millis(rapid.IntRange(0, 3000).Draw(t, "suspended"))
			case "hear":
				m.hear(h, !h.outOfStep && flip("endpoints")(), !h.outOfStep && flip("list")())
			case "store":
				if !h.outOfStep {
					m.store(h)
				}
			case "begin":
				m.begin(h, flip("told"))
			case "takeUp":
				m.takeUp(h, flip("named"))
			}
		}
		for _, h := range m.hosts {
			m.takeUp(h, flip("named"))
		}
		proven += m.proven
	})
	require.NotZero(t, proven, "no stream went on")
}
