package report

import (
	"cmp"
	"hash/maphash"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

const shardCount = 32

// Other replaces names of customers and pipelines that are not in the
// configuration. Invented names in requests would otherwise exhaust the memory.
const Other = "other"

// Recorder counts the results of requests that entered at this host. It is safe
// for concurrent use. Its state is sharded by customer to reduce lock contention.
type Recorder struct {
	zone           cicadapitch.ZoneID
	configurations cicadapitch.ConfigurationSource
	metrics        *metrics
	seed           maphash.Seed
	shards         [shardCount]shard
}

var (
	_ Statistics    = (*Recorder)(nil)
	_ entry.Metrics = (*Recorder)(nil)
)

// shard holds the counts of some of the customers.
type shard struct {
	mu       sync.Mutex
	requests map[requestKey]*requestCount
	stages   map[stageKey]*stageCount
}

type requestKey struct {
	customer cicadapitch.CustomerID
	pipeline cicadapitch.PipelineID
}

type requestCount struct {
	answered int64
	met      int64
	refusals map[cicadapitch.Kind]int64
	latency  *hdrhistogram.Histogram
	metrics  *requestMetrics
}

type stageKey struct {
	pipeline cicadapitch.PipelineID
	stage    cicadapitch.StageID
	zone     cicadapitch.ZoneID
}

type stageCount struct {
	sum     StageCost
	metrics *stageMetrics
}

// NewRecorder returns a recorder for an entry host in a zone. It also reports
// all counts as metrics to scope; use tally.NoopScope for none.
func NewRecorder(zone cicadapitch.ZoneID, configurations cicadapitch.ConfigurationSource, scope tally.Scope) *Recorder {
	r := &Recorder{
		zone:           zone,
		configurations: configurations,
		metrics:        newMetrics(scope, zone),
		seed:           maphash.MakeSeed(),
	}
	for i := range r.shards {
		r.shards[i].requests = make(map[requestKey]*requestCount)
		r.shards[i].stages = make(map[stageKey]*stageCount)
	}
	return r
}

// Answered implements entry.Metrics.
func (r *Recorder) Answered(
	c cicadapitch.CustomerID, p cicadapitch.PipelineID, latency cicadapitch.Millis, inTime bool,
) {
	s := r.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := r.request(s, requestKey{c, p})
	n.answered++
	if inTime {
		n.met++
	}
	_ = n.latency.RecordValue(min(max(int64(latency), minLatencyMillis), maxLatencyMillis))
	n.metrics.recordAnswer(latency, inTime)
}

// Refused implements entry.Metrics.
func (r *Recorder) Refused(c cicadapitch.CustomerID, p cicadapitch.PipelineID, kind cicadapitch.Kind) {
	s := r.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := r.request(s, requestKey{c, p})
	n.refusals[kind]++
	n.metrics.recordRefusal(kind)
}

// Stage implements entry.Metrics.
func (r *Recorder) Stage(c cicadapitch.CustomerID, p cicadapitch.PipelineID, t cicadapitch.StageReport) {
	s := r.shard(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := stageKey{p, t.Stage, t.Zone}
	n, ok := s.stages[k]
	if !ok {
		n = &stageCount{
			sum:     StageCost{Pipeline: p, Stage: t.Stage, Zone: t.Zone},
			metrics: r.metrics.stage(k),
		}
		s.stages[k] = n
	}
	n.sum.add(StageCost{
		Pipeline: p, Stage: t.Stage, Zone: t.Zone,
		Count: 1, Attempts: int64(t.Attempts), Queued: t.Queued, Served: t.Served, Tokens: t.Tokens, Cost: t.Cost,
	})
	n.metrics.record(t)
}

// Retried implements entry.Metrics.
func (r *Recorder) Retried(_ cicadapitch.StageID, kind cicadapitch.Kind) { r.metrics.countRetry(kind) }

// Hedged implements entry.Metrics.
func (r *Recorder) Hedged(cicadapitch.StageID) { r.metrics.hedged.Inc(1) }

// Dropped implements entry.Metrics.
func (r *Recorder) Dropped(reason entry.DropReason) { r.metrics.countDrop(string(reason)) }

// Attainment implements Statistics.
func (r *Recorder) Attainment() []Attainment {
	var list []Attainment
	for i := range r.shards {
		list = append(list, r.shards[i].attainment(r.zone)...)
	}
	slices.SortFunc(list, func(a, b Attainment) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Pipeline, b.Pipeline))
	})
	return list
}

func (s *shard) attainment(zone cicadapitch.ZoneID) []Attainment {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Attainment, 0, len(s.requests))
	for k, n := range s.requests {
		a := Attainment{
			Customer: k.customer, Pipeline: k.pipeline, Zone: zone,
			Answered: n.answered, Met: n.met, TookMillis: encodeHistogram(n.latency),
		}
		for kind, count := range n.refusals {
			a.add(Attainment{
				Customer: k.customer, Pipeline: k.pipeline, Zone: zone,
				Refusals: []Refusal{{Kind: kind, Count: count}},
			})
		}
		list = append(list, a)
	}
	return list
}

// Costs implements Statistics.
func (r *Recorder) Costs() []StageCost {
	var list []StageCost
	for i := range r.shards {
		list = append(list, r.shards[i].costs()...)
	}
	return MergeCosts(list, func(c StageCost) string {
		return string(c.Pipeline) + "/" + string(c.Stage) + "/" + string(c.Zone)
	})
}

func (s *shard) costs() []StageCost {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]StageCost, 0, len(s.stages))
	for _, n := range s.stages {
		list = append(list, n.sum)
	}
	return list
}

func (r *Recorder) shard(c cicadapitch.CustomerID) *shard {
	return &r.shards[maphash.String(r.seed, string(c))%shardCount]
}

// request returns the counts of a key. Callers must hold the lock of s.
func (r *Recorder) request(s *shard, k requestKey) *requestCount {
	if n, ok := s.requests[k]; ok {
		return n
	}
	k = r.configuredKey(k)
	n, ok := s.requests[k]
	if !ok {
		n = &requestCount{
			refusals: make(map[cicadapitch.Kind]int64),
			latency:  newHistogram(),
			metrics:  r.metrics.request(k),
		}
		s.requests[k] = n
	}
	return n
}

// configuredKey replaces names that are not in the configuration by Other.
func (r *Recorder) configuredKey(k requestKey) requestKey {
	cfg := r.configurations.Current()
	if cfg == nil {
		return requestKey{Other, Other}
	}
	if _, ok := cfg.Customer(k.customer); !ok {
		k.customer = Other
	}
	if _, ok := cfg.Pipeline(k.pipeline); !ok {
		k.pipeline = Other
	}
	return k
}
