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

// This file simulates, on virtual time, entry hosts that send attempts to
// shards with slots, a queue and a prefix cache. Load reports arrive at
// intervals, so the hosts choose from stale loads. All times are in
// milliseconds.

const (
	simulatedHosts    = 8
	meanServiceMillis = 200.0
	deadlineMillis    = 2000
	simulatedSpan     = 20_000
	reportInterval    = 500
	cacheSize         = 24
)

type fakeShard struct {
	slots, busy int
	queue       []*attempt
	slowdown    float64
	// cached holds the cached prefixes, the least recently used first.
	cached []string
}

type attempt struct {
	host, shard int
	prefix      string
	arrived     float64
}

type event struct {
	at  float64
	seq int
	do  func()
}

type eventQueue []event

func (h eventQueue) Len() int { return len(h) }
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventQueue) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventQueue) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulation is the state of one simulation run.
type simulation struct {
	r      *rand.Rand
	g      *pipeline.ShardGroup
	now    float64
	events eventQueue
	seq    int
	shards []fakeShard
	// loads are the last reports, read at loadsReadAt.
	loads         []cicadapitch.ShardLoad
	loadsReadAt   float64
	inflight      [simulatedHosts][]int
	sentSinceLoad [simulatedHosts][]int
	// nextMember is the counter of the round-robin policy.
	nextMember int

	weight    cicadapitch.Weight
	admission bool
	offered   int
	refused   int
	waits     []float64
	inTime    int
	slotTime  float64
}

// policy chooses a shard for an attempt of a host. Expected is empty for a
// policy without estimates.
type policy func(sim *simulation, host int, prefix string) (member int, expected pipeline.Plan)

func chooseShard(sim *simulation, host int, prefix string) (int, pipeline.Plan) {
	m := sim.g.Members[host%len(sim.g.Members)]
	c, _ := pipeline.ChooseShard(sim.g, func(i int) pipeline.ShardState {
		return pipeline.ShardState{
			LoadKnown: true, Load: sim.loads[i], LoadAge: cicadapitch.Millis(sim.now - sim.loadsReadAt),
			Inflight: sim.inflight[host][i], SentSinceLoad: sim.sentSinceLoad[host][i],
		}
	}, pipeline.ShardQuery{
		Prefix: prefix, Zone: m.Zone, Region: m.Region, Expected: meanServiceMillis,
		Budget: deadlineMillis, Weight: sim.weight, Hosts: simulatedHosts, Random: sim.r.Uint64(),
	})
	i := slices.IndexFunc(sim.g.Members, func(m pipeline.GroupShard) bool { return m.Shard == c.Shard })
	return i, pipeline.Plan{{Wait: c.Wait, Service: c.Service}}
}

func roundRobin(sim *simulation, _ int, _ string) (int, pipeline.Plan) {
	sim.nextMember++
	return sim.nextMember % len(sim.shards), nil
}

func leastOutstanding(sim *simulation, host int, _ string) (int, pipeline.Plan) {
	best := sim.r.IntN(len(sim.shards))
	for i := range sim.shards {
		if sim.inflight[host][i] < sim.inflight[host][best] {
			best = i
		}
	}
	return best, nil
}

// after schedules do in m milliseconds.
func (sim *simulation) after(m float64, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + m, sim.seq, do})
}

// reportLoads refreshes the loads that the hosts see and schedules the next
// report.
func (sim *simulation) reportLoads() {
	for i := range sim.shards {
		s := &sim.shards[i]
		sim.loads[i] = cicadapitch.ShardLoad{
			Free: cicadapitch.Slots(s.slots - s.busy), Total: cicadapitch.Slots(s.slots),
			Queued: len(s.queue), ServiceMillis: cicadapitch.Millis(meanServiceMillis * s.slowdown),
		}
	}
	for h := range sim.sentSinceLoad {
		clear(sim.sentSinceLoad[h])
	}
	sim.loadsReadAt = sim.now
	sim.after(reportInterval, sim.reportLoads)
}

// arriveRequest lets a request arrive and schedules the next one. Interval is
// the mean time between two requests.
func (sim *simulation) arriveRequest(p policy, interval float64) {
	if sim.now > simulatedSpan {
		return
	}
	sim.after(sim.r.ExpFloat64()*interval, func() { sim.arriveRequest(p, interval) })
	sim.offered++
	host := sim.r.IntN(simulatedHosts)
	prefix := fmt.Sprint("p", int(sim.r.ExpFloat64()*60))
	member, expected := p(sim, host, prefix)
	if sim.admission && expected.Admit(deadlineMillis) != nil {
		sim.refused++
		return
	}
	sim.inflight[host][member]++
	sim.sentSinceLoad[host][member]++
	j := &attempt{host: host, shard: member, prefix: prefix, arrived: sim.now}
	s := &sim.shards[member]
	s.queue = append(s.queue, j)
	sim.startAttempts(s)
}

// startAttempts runs queued attempts on the free slots and drops those past
// their deadline.
func (sim *simulation) startAttempts(s *fakeShard) {
	for s.busy < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		if sim.now-j.arrived >= deadlineMillis {
			sim.inflight[j.host][j.shard]--
			continue
		}
		s.busy++
		serviceTime := meanServiceMillis * s.slowdown * (0.5 + sim.r.ExpFloat64()/2)
		if s.useCachedPrefix(j.prefix) {
			serviceTime *= 0.7
		}
		sim.slotTime += serviceTime
		sim.waits = append(sim.waits, sim.now-j.arrived)
		sim.after(serviceTime, func() { sim.finish(s, j) })
	}
}

// useCachedPrefix caches a prefix and reports whether it was cached before.
func (s *fakeShard) useCachedPrefix(prefix string) bool {
	i := slices.Index(s.cached, prefix)
	if i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	}
	s.cached = append(s.cached, prefix)
	if len(s.cached) > cacheSize {
		s.cached = s.cached[1:]
	}
	return i >= 0
}

func (sim *simulation) finish(s *fakeShard, j *attempt) {
	s.busy--
	sim.inflight[j.host][j.shard]--
	if sim.now-j.arrived <= deadlineMillis {
		sim.inTime++
	}
	sim.startAttempts(s)
}

// scenario is a load scenario. Load is relative to the capacity of all shards.
type scenario struct {
	load      float64
	slowShard bool
	admission bool
	weight    cicadapitch.Weight
}

// simulate simulates a scenario under a policy.
func simulate(seed uint64, p policy, sc scenario) *simulation {
	g := pipeline.NewShardGroups(newConfiguration(320))["engines"]
	sim := &simulation{
		r: newRand(seed), g: g, weight: sc.weight, admission: sc.admission,
		shards: make([]fakeShard, len(g.Members)), loads: make([]cicadapitch.ShardLoad, len(g.Members)),
	}
	capacity := 0.0
	for i, m := range g.Members {
		sim.shards[i] = fakeShard{slots: m.Endpoints, slowdown: 1}
		if sc.slowShard && i == 0 {
			sim.shards[i].slowdown = 5
		}
		capacity += float64(m.Endpoints) / sim.shards[i].slowdown / meanServiceMillis
	}
	for h := range sim.inflight {
		sim.inflight[h], sim.sentSinceLoad[h] = make([]int, len(g.Members)), make([]int, len(g.Members))
	}
	sim.reportLoads()
	sim.arriveRequest(p, 1/(capacity*sc.load))
	for sim.now < simulatedSpan+2*deadlineMillis {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	return sim
}

// attainment returns the fraction of all requests that were answered in time.
func (sim *simulation) attainment() float64 { return float64(sim.inTime) / float64(sim.offered) }

// admittedAttainment returns the fraction of the admitted requests that were
// answered in time.
func (sim *simulation) admittedAttainment() float64 {
	return float64(sim.inTime) / float64(sim.offered-sim.refused)
}

// cost returns the slot time for each request that was answered in time.
func (sim *simulation) cost() float64 { return sim.slotTime / float64(sim.inTime) }

// wait returns a quantile of the waits of the started attempts.
func (sim *simulation) wait(quantile float64) float64 {
	slices.Sort(sim.waits)
	return sim.waits[int(float64(len(sim.waits)-1)*quantile)]
}

var (
	policies  = map[string]policy{"choose": chooseShard, "round robin": roundRobin, "least outstanding": leastOutstanding}
	scenarios = map[string]scenario{
		"steady 85%":      {load: 0.85, admission: true, weight: 0.5},
		"one slow shard":  {load: 0.85, slowShard: true, admission: true, weight: 0.5},
		"overload 150%":   {load: 1.5, admission: true, weight: 0.5},
		"150% unadmitted": {load: 1.5, weight: 0.5},
		"cost weighed":    {load: 0.85, admission: true, weight: 0},
		"time weighed":    {load: 0.85, admission: true, weight: 1},
	}
)

// BenchmarkPolicy reports the results of each policy in each scenario. The
// seeds are fixed, so the figures are the same in each run.
func BenchmarkPolicy(b *testing.B) {
	for name, sc := range scenarios {
		for pname, p := range policies {
			b.Run(name+"/"+pname, func(b *testing.B) {
				var attainment, admittedAttainment, p99, cost float64
				const seeds = 3
				for range b.N {
					attainment, admittedAttainment, p99, cost = 0, 0, 0, 0
					for seed := range uint64(seeds) {
						sim := simulate(seed, p, sc)
						attainment += 100 * sim.attainment() / seeds
						admittedAttainment += 100 * sim.admittedAttainment() / seeds
						p99 += sim.wait(0.99) / seeds
						cost += sim.cost() / seeds
					}
				}
				b.ReportMetric(attainment, "%in-time")
				b.ReportMetric(admittedAttainment, "%admitted-in-time")
				b.ReportMetric(p99, "p99-wait-ms")
				b.ReportMetric(cost, "slot-ms/answer")
			})
		}
	}
}

// ChooseShard must meet about as many deadlines as each baseline or more. Under
// overload it must still use most of the capacity, and almost all admitted attempts
// must be in time. A lower weight must lower the cost at the price of longer waits.
func TestChooseShardAgainstBaselines(t *testing.T) {
	for seed := range uint64(2) {
		for name, minAttainment := range map[string]float64{"steady 85%": 0.99, "one slow shard": 0.99} {
			sim := simulate(seed, chooseShard, scenarios[name])
			require.GreaterOrEqual(t, sim.attainment(), minAttainment, name)
			for other, p := range policies {
				require.GreaterOrEqual(t, sim.attainment(), simulate(seed, p, scenarios[name]).attainment()-0.002, "%s: %s", name, other)
			}
		}
		overload := simulate(seed, chooseShard, scenarios["overload 150%"])
		require.GreaterOrEqual(t, overload.admittedAttainment(), 0.95)
		require.GreaterOrEqual(t, float64(overload.inTime), 0.9*float64(overload.offered)/1.5)
		cheap, quick := simulate(seed, chooseShard, scenarios["cost weighed"]), simulate(seed, chooseShard, scenarios["time weighed"])
		require.Less(t, cheap.cost(), quick.cost())
		require.Greater(t, cheap.wait(0.99), quick.wait(0.99))
		require.Less(t, quick.cost(), simulate(seed, leastOutstanding, scenarios["time weighed"]).cost())
	}
}
