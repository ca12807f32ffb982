package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
)

// limit is how old knowledge may be in these tests.
const limit = cicadapitch.Second

func TestKnowledgeAgesFromWhenTheQuestionWasAsked(t *testing.T) {
	var k fleet.Knowledge
	require.Nil(t, k.Claim(start))
	require.Equal(t, fleet.Behind, k.Currency(start, limit, true))
	k.Advance(5)
	k.Confirm(start, 5)
	require.Equal(t, &fleet.Claim{Revision: 5, Age: 300}, k.Claim(start.Add(300)))
	require.Equal(t, fleet.Current, k.Currency(start.Add(1000), limit, true))
	require.Equal(t, fleet.Behind, k.Currency(start.Add(1001), limit, true))

	// The answer of another host takes 200 ms; its claim was 400 ms old.
	require.True(t, k.Hear(start.Add(900), start.Add(1100), &fleet.Claim{Revision: 4, Age: 400}))
	age, ok := k.Age(start.Add(1100))
	require.True(t, ok)
	require.Equal(t, cicadapitch.Millis(600), age)
	require.False(t, k.Hear(start.Add(1200), start.Add(1300), &fleet.Claim{Revision: 6, Age: 0}), "changes are missing")
	age, _ = k.Age(start.Add(1300))
	require.Equal(t, cicadapitch.Millis(800), age)
}

// TestOldKnowledgeIsUsedOnlyWhileNobodyKnowsMore covers the store away for all, for this host alone,
// and a host that hears from nobody.
func TestOldKnowledgeIsUsedOnlyWhileNobodyKnowsMore(t *testing.T) {
	known := func() *fleet.Knowledge {
		var k fleet.Knowledge
		k.Advance(5)
		k.Confirm(start, 5)
		return &k
	}
	now := start.Add(3000)
	for name, c := range map[string]struct {
		happened func(*fleet.Knowledge)
		others   bool
		want     fleet.Currency
	}{
		"the store was not asked":              {func(*fleet.Knowledge) {}, false, fleet.Behind},
		"away, no other host":                  {func(k *fleet.Knowledge) { k.StoreFailed(now) }, false, fleet.StoreAway},
		"away, others know no more":            {func(k *fleet.Knowledge) { k.StoreFailed(now); k.Hear(now, now, &fleet.Claim{Revision: 5, Age: 3000}) }, true, fleet.StoreAway},
		"away, others of an earlier build":     {func(k *fleet.Knowledge) { k.StoreFailed(now); k.Hear(now, now, nil) }, true, fleet.StoreAway},
		"refused here, another one knows more": {func(k *fleet.Knowledge) { k.StoreFailed(now); k.Hear(now, now, &fleet.Claim{Revision: 6}) }, true, fleet.Behind},
		"nobody answers":                       {func(k *fleet.Knowledge) { k.StoreFailed(now) }, true, fleet.CutOff},
		"away, but this host is too busy to tell": {func(k *fleet.Knowledge) {
			k.StoreFailed(now)
			for range 20 {
				k.Hear(now.Add(-800), now, &fleet.Claim{Revision: 5, Age: 3000})
				k.Unanswered()
			}
			k.Hear(now, now, &fleet.Claim{Revision: 5, Age: 3000})
		}, true, fleet.CutOff},
		"the last failure is long ago": {func(k *fleet.Knowledge) { k.StoreFailed(start.Add(500)) }, false, fleet.Behind},
	} {
		k := known()
		c.happened(k)
		require.Equal(t, c.want, k.Currency(now, limit, c.others), name)
	}
}

// modelHost is a host of the model: what it knows, and a number that grows with each restart.
type modelHost struct {
	mirror    *fleet.Mirror
	knowledge *fleet.Knowledge
	life      int
	// earlier is true for a host of an earlier build: its answers do not say what they are, and
	// it makes no claims.
	earlier bool
}

// model is a store with endpoints, and hosts that ask it and each other. Each question and answer
// may take any time or be lost.
type model struct {
	now      cicadapitch.Instant
	revision cicadapitch.StoreRevision
	live     map[string]fleet.Record
	history  []fleet.Record
	// endedAt is when the use of an endpoint ended; ids are not used again.
	endedAt map[string]cicadapitch.Instant
	// compacted is the revision up to which the history is lost.
	compacted cicadapitch.StoreRevision
	hosts     []*modelHost
	// pending are the steps that messages still have to take.
	pending []func()
	ids     int
}

func (m *model) restart(i int, earlier bool) {
	m.hosts[i] = &modelHost{fleet.NewMirror(), &fleet.Knowledge{}, m.hosts[i].life + 1, earlier}
}

// change lets an endpoint come, say that it leaves, or go.
func (m *model) change(t *rapid.T) {
	m.revision++
	keys := make([]string, 0, len(m.live))
	for i := range m.ids {
		if _, ok := m.live[fmt.Sprint(i)]; ok {
			keys = append(keys, fmt.Sprint(i))
		}
	}
	kind := rapid.IntRange(0, 2).Draw(t, "kind")
	if kind == 0 || len(keys) == 0 {
		key := fmt.Sprint(m.ids)
		m.ids++
		m.put(fleet.Record{Key: key, Value: []byte("ready"), Revision: m.revision})
		return
	}
	key := rapid.SampledFrom(keys).Draw(t, "key")
	if _, ended := m.endedAt[key]; !ended {
		m.endedAt[key] = m.now
	}
	if kind == 1 {
		m.put(fleet.Record{Key: key, Value: []byte("leaving"), Revision: m.revision})
		return
	}
	delete(m.live, key)
	m.history = append(m.history, fleet.Record{Key: key, Revision: m.revision, Removed: true})
}

func (m *model) put(r fleet.Record) {
	m.live[r.Key] = r
	m.history = append(m.history, r)
}

// later adds a step of a message to a host, which is dropped if the host has restarted meanwhile.
func (m *model) later(h int, step func(*modelHost)) {
	life := m.hosts[h].life
	m.pending = append(m.pending, func() {
		if m.hosts[h].life == life {
			step(m.hosts[h])
		}
	})
}

// list lets a host read everything from the store.
func (m *model) list(h int) {
	askedAt := m.now
	m.later(h, func(*modelHost) {
		var all []fleet.Record
		for _, r := range m.live {
			all = append(all, r)
		}
		at := m.revision
		m.later(h, func(host *modelHost) {
			host.mirror.Replace(m.now, "", all, at)
			host.knowledge.Advance(at)
			host.knowledge.Confirm(askedAt, at)
		})
	})
}

// poll lets a host ask the store for changes. With whole the host follows everything, else the
// endpoints alone.
func (m *model) poll(h int, whole bool) {
	host := m.hosts[h]
	after := host.knowledge.UpTo()
	if whole {
		after = host.mirror.Revision()
	}
	if after == 0 || after < m.compacted {
		m.list(h)
		return
	}
	askedAt := m.now
	m.later(h, func(*modelHost) {
		if after < m.compacted {
			return
		}
		var changes []fleet.Record
		for _, r := range m.history {
			if r.Revision > after {
				changes = append(changes, r)
			}
		}
		at := m.revision
		m.later(h, func(host *modelHost) {
			upTo := at
			if !whole {
				upTo = 0
			}
			host.mirror.Apply(m.now, changes, upTo)
			host.knowledge.Advance(at)
			host.knowledge.Confirm(askedAt, at)
		})
	})
}

// ask lets a host fetch changes from another one, or only hear its claim.
func (m *model) ask(h, of int, changes bool) {
	if h == of {
		return
	}
	askedAt, since, takesListing := m.now, m.hosts[h].mirror.Revision(), !m.hosts[h].earlier
	m.later(of, func(other *modelHost) {
		records, scope := other.mirror.Answer(since, takesListing)
		at, claim := other.mirror.Revision(), other.knowledge.Claim(m.now)
		if other.earlier {
			scope, claim = fleet.Some, nil
		}
		m.later(h, func(host *modelHost) {
			if !changes {
				host.knowledge.Hear(askedAt, m.now, claim)
				return
			}
			host.mirror.Merge(m.now, records, scope, at)
			if scope == fleet.Some {
				return
			}
			host.knowledge.Advance(at)
			if claim != nil {
				host.knowledge.Advance(claim.Revision)
				host.knowledge.Hear(askedAt, m.now, claim)
			}
		})
	})
}

// notice lets a host tell another one the latest change of an endpoint that ended.
func (m *model) notice(to int) {
	for i := len(m.history) - 1; i >= 0; i-- {
		if r := m.history[i]; r.Removed || string(r.Value) == "leaving" {
			m.later(to, func(host *modelHost) { host.mirror.Apply(m.now, []fleet.Record{r}, 0) })
			return
		}
	}
}

// check fails if a host whose knowledge is young believes in an endpoint that ended longer ago.
func (m *model) check(t *rapid.T) {
	for i, h := range m.hosts {
		if h.earlier || h.knowledge.Currency(m.now, limit, true) != fleet.Current {
			continue
		}
		for _, r := range h.mirror.ChangesSince(0) {
			if r.Removed || string(r.Value) != "ready" {
				continue
			}
			if at, ended := m.endedAt[r.Key]; ended && m.now.Sub(at) > limit {
				t.Fatalf("host %d uses endpoint %s, which ended %d ms ago", i, r.Key, m.now.Sub(at))
			}
		}
	}
}

// TestNoHostUsesAnEndpointThatEndedBeforeItsKnowledge plays random schedules: endpoints come and go,
// hosts restart, also as an earlier build, questions, answers and notices are late, lost or overtake each
// other, the store loses its history, and minutes pass.
func TestNoHostUsesAnEndpointThatEndedBeforeItsKnowledge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: start, revision: 1, live: map[string]fleet.Record{}, endedAt: map[string]cicadapitch.Instant{}}
		for i := range 4 {
			m.hosts = append(m.hosts, &modelHost{})
			m.restart(i, false)
		}
		host := rapid.IntRange(0, len(m.hosts)-1)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			h := host.Draw(t, "host")
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0, 1:
				m.change(t)
			case 2:
				m.list(h)
			case 3:
				m.poll(h, false)
			case 4:
				m.poll(h, true)
			case 5:
				m.ask(h, host.Draw(t, "of"), true)
			case 6:
				m.ask(h, host.Draw(t, "of"), false)
			case 7:
				m.notice(h)
			case 8:
				m.restart(h, rapid.IntRange(0, 3).Draw(t, "earlier") == 0)
			case 9:
				m.now = m.now.Add(cicadapitch.Millis(rapid.SampledFrom([]int{1, 50, 400, 900, 1100, 70_000}).Draw(t, "pause")))
			case 10:
				if rapid.IntRange(0, 3).Draw(t, "compact") == 0 {
					m.compacted = m.revision
				}
			default:
				if n := len(m.pending); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "message")
					step := m.pending[i]
					m.pending = append(m.pending[:i:i], m.pending[i+1:]...)
					if rapid.IntRange(0, 9).Draw(t, "lost") > 0 {
						step()
					}
				}
			}
			m.check(t)
		}
	})
}
