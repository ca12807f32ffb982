package pipeline_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
	"github.com/stretchr/testify/require"
)

// The fakes of this file give entry hosts shards with slots, a queue, a prefix
// cache and loads that lag. They run on virtual time.

const (
	policyHosts    = 8
	policyService  = 200.0
	policyDeadline = 2000
	policySpan     = 20_000
	reportEvery    = 500
	cachedPrefixes = 24
)

type fakeShard struct {
	slots, busy int
	queue       []*job
	slowdown    float64
	cached      []string
}

type job struct {
	host, shard int
	prefix      string
	arrived     float64
}

type happening struct {
	at  float64
	seq int
	do  func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// arena is the state of one run.
type arena struct {
	r        *rand.Rand
	g        *pipeline.Group
	now      float64
	events   happenings
	seq      int
	shards   []fakeShard
	loads    []cicadapitch.ShardLoad
	readAt   float64
	inflight [policyHosts][]int
	since    [policyHosts][]int
	turn     int

	weight    cicadapitch.Weight
	admission bool
	offered   int
	refused   int
	waits     []float64
	inTime    int
	slotTime  float64
}

// policy picks a shard for a host.
type policy func(a *arena, host int, prefix string) (member int, expected pipeline.Plan)

func choosing(a *arena, host int, prefix string) (int, pipeline.Plan) {
	m := a.g.Members[host%len(a.g.Members)]
	c, _ := pipeline.ChooseShard(a.g, func(i int) pipeline.ShardState {
		return pipeline.ShardState{
			LoadKnown: true, Load: a.loads[i], LoadAge: cicadapitch.Millis(a.now - a.readAt),
			Inflight: a.inflight[host][i], SentSinceLoad: a.since[host][i],
		}
	}, pipeline.ShardQuery{
		Prefix: prefix, Zone: m.Zone, Region: m.Region, Expected: policyService,
		Budget: policyDeadline, Weight: a.weight, Hosts: policyHosts, Random: a.r.Uint64(),
	})
	i := slices.IndexFunc(a.g.Members, func(m pipeline.Member) bool { return m.Shard == c.Shard })
	return i, pipeline.Plan{{Wait: c.Wait, Service: c.Service}}
}

func roundRobin(a *arena, _ int, _ string) (int, pipeline.Plan) {
	a.turn++
	return a.turn % len(a.shards), nil
}

func leastOutstanding(a *arena, host int, _ string) (int, pipeline.Plan) {
	best := a.r.IntN(len(a.shards))
	for i := range a.shards {
		if a.inflight[host][i] < a.inflight[host][best] {
			best = i
		}
	}
	return best, nil
}

func (a *arena) after(m float64, do func()) {
	a.seq++
	heap.Push(&a.events, happening{a.now + m, a.seq, do})
}

func (a *arena) report() {
	for i := range a.shards {
		s := &a.shards[i]
		a.loads[i] = cicadapitch.ShardLoad{
			Free: cicadapitch.Slots(s.slots - s.busy), Total: cicadapitch.Slots(s.slots),
			Queued: len(s.queue), ServiceMillis: cicadapitch.Millis(policyService * s.slowdown),
		}
	}
	for h := range a.since {
		clear(a.since[h])
	}
	a.readAt = a.now
	a.after(reportEvery, a.report)
}

func (a *arena) arrive(p policy, every float64) {
	if a.now > policySpan {
		return
	}
	a.after(a.r.ExpFloat64()*every, func() { a.arrive(p, every) })
	a.offered++
	host := a.r.IntN(policyHosts)
	prefix := fmt.Sprint("p", int(a.r.ExpFloat64()*60))
	member, expected := p(a, host, prefix)
	if a.admission && expected.Admit(policyDeadline) != nil {
		a.refused++
		return
	}
	a.inflight[host][member]++
	a.since[host][member]++
	j := &job{host: host, shard: member, prefix: prefix, arrived: a.now}
	s := &a.shards[member]
	s.queue = append(s.queue, j)
	a.start(s)
}

func (a *arena) start(s *fakeShard) {
	for s.busy < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if a.now-j.arrived >= policyDeadline {
			a.inflight[j.host][j.shard]--
			continue
		}
		s.busy++
		took := policyService * s.slowdown * (0.5 + a.r.ExpFloat64()/2)
		if s.touch(j.prefix) {
			took *= 0.7
		}
		a.slotTime += took
		a.waits = append(a.waits, a.now-j.arrived)
		a.after(took, func() { a.finish(s, j) })
	}
}

// touch reports whether a prefix is cached, and caches it.
func (s *fakeShard) touch(prefix string) bool {
	i := slices.Index(s.cached, prefix)
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > cachedPrefixes {
		s.cached = s.cached[1:]
	}
	return i >= 0
}

func (a *arena) finish(s *fakeShard, j *job) {
	s.busy--
	a.inflight[j.host][j.shard]--
	if a.now-j.arrived <= policyDeadline {
		a.inTime++
	}
	a.start(s)
}

// scene is what is offered to the shards.
type scene struct {
	load      float64
	slowShard bool
	admission bool
	weight    cicadapitch.Weight
}

func play(seed uint64, p policy, sc scene) *arena {
	g := pipeline.NewGroups(fleet(320))["engines"]
	a := &arena{
		r: newRand(seed), g: g, weight: sc.weight, admission: sc.admission,
		shards: make([]fakeShard, len(g.Members)), loads: make([]cicadapitch.ShardLoad, len(g.Members)),
	}
	capacity := 0.0
	for i, m := range g.Members {
		a.shards[i] = fakeShard{slots: m.Endpoints, slowdown: 1}
		if sc.slowShard && i == 0 {
			a.shards[i].slowdown = 5
		}
		capacity += float64(m.Endpoints) / a.shards[i].slowdown / policyService
	}
	for h := range a.inflight {
		a.inflight[h], a.since[h] = make([]int, len(g.Members)), make([]int, len(g.Members))
	}
	a.report()
	a.arrive(p, 1/(capacity*sc.load))
	for a.now < policySpan+2*policyDeadline {
		e := heap.Pop(&a.events).(happening)
		a.now = e.at
		e.do()
	}
	return a
}

// attainment is the part of the offered requests that was answered in time, and
// cost the slot time of one such answer.
func (a *arena) attainment() float64 { return float64(a.inTime) / float64(a.offered) }
func (a *arena) kept() float64       { return float64(a.inTime) / float64(a.offered-a.refused) }
func (a *arena) cost() float64       { return a.slotTime / float64(a.inTime) }

func (a *arena) wait(quantile float64) float64 {
	slices.Sort(a.waits)
	return a.waits[int(float64(len(a.waits)-1)*quantile)]
}

var (
	policies = map[string]policy{"choose": choosing, "round robin": roundRobin, "least outstanding": leastOutstanding}
	scenes   = map[string]scene{
		"steady 85%":      {load: 0.85, admission: true, weight: 0.5},
		"one slow shard":  {load: 0.85, slowShard: true, admission: true, weight: 0.5},
		"overload 150%":   {load: 1.5, admission: true, weight: 0.5},
		"150% unadmitted": {load: 1.5, weight: 0.5},
		"cost weighed":    {load: 0.85, admission: true, weight: 0},
		"time weighed":    {load: 0.85, admission: true, weight: 1},
	}
)

// BenchmarkPolicy prints the measures of the policies on virtual time. Its
// figures are the same for each seed.
func BenchmarkPolicy(b *testing.B) {
	for name, sc := range scenes {
		for pname, p := range policies {
			b.Run(name+"/"+pname, func(b *testing.B) {
				var attainment, kept, p99, cost float64
				const seeds = 3
				for range b.N {
					attainment, kept, p99, cost = 0, 0, 0, 0
					for seed := range uint64(seeds) {
						a := play(seed, p, sc)
						attainment += 100 * a.attainment() / seeds
						kept += 100 * a.kept() / seeds
						p99 += a.wait(0.99) / seeds
						cost += a.cost() / seeds
					}
				}
				b.ReportMetric(attainment, "%in-time")
				b.ReportMetric(kept, "%admitted-in-time")
				b.ReportMetric(p99, "p99-wait-ms")
				b.ReportMetric(cost, "slot-ms/answer")
			})
		}
	}
}

func TestChooseBeatsItsBaselines(t *testing.T) {
	for seed := range uint64(2) {
		for name, floor := range map[string]float64{"steady 85%": 0.99, "one slow shard": 0.99} {
			a := play(seed, choosing, scenes[name])
			require.GreaterOrEqual(t, a.attainment(), floor, name)
			for other, p := range policies {
				require.GreaterOrEqual(t, a.attainment(), play(seed, p, scenes[name]).attainment()-0.002, "%s: %s", name, other)
			}
		}
		over := play(seed, choosing, scenes["overload 150%"])
		require.GreaterOrEqual(t, over.kept(), 0.95)
		require.GreaterOrEqual(t, float64(over.inTime), 0.9*float64(over.offered)/1.5)
		cheap, quick := play(seed, choosing, scenes["cost weighed"]), play(seed, choosing, scenes["time weighed"])
		require.Less(t, cheap.cost(), quick.cost())
		require.Greater(t, cheap.wait(0.99), quick.wait(0.99))
		require.Less(t, quick.cost(), play(seed, leastOutstanding, scenes["time weighed"]).cost())
	}
}
