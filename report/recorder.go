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

// lockShardCount is the number of locks that the state of a Recorder is split over.
const lockShardCount = 32

// Other replaces names of customers and pipelines that are not in the
// configuration. Otherwise requests with arbitrary names could create any number of
// entries and exhaust the memory.
const Other = "other"

// Recorder counts the results of requests that entered at this host. It is safe
// for concurrent use. Its state is sharded by customer to reduce lock contention.
type Recorder struct {
	zone           cicadapitch.ZoneID
	configurations cicadapitch.ConfigurationSource
	metrics        *metrics
	seed           maphash.Seed
	shards         [lockShardCount]recorderShard
}

var (
	_ Statistics    = (*Recorder)(nil)
	_ entry.Metrics = (*Recorder)(nil)
)

// recorderShard is a part of the recorder's state with its own lock. It holds the
// statistics of some of the customers.
type recorderShard struct {
	mu       sync.Mutex
	requests map[requestKey]*requestStats
	stages   map[stageKey]*stageStats
}

type requestKey struct {
	customer cicadapitch.CustomerID
	pipeline cicadapitch.PipelineID
}

// requestStats holds the counts, latencies and metrics of one customer and pipeline.
type requestStats struct {
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

// stageStats holds the sums and metrics of one stage and endpoint zone.
type stageStats struct {
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
		r.shards[i].requests = make(map[requestKey]*requestStats)
		r.shards[i].stages = make(map[stageKey]*stageStats)
	}
	return r
}

// Answered implements entry.Metrics.
func (r *Recorder) Answered(
	c cicadapitch.CustomerID, p cicadapitch.PipelineID, latency cicadapitch.Millis, inTime bool,
) {
	s := r.shardOf(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := r.requestStatsOf(s, requestKey{c, p})
	n.answered++
	if inTime {
		n.met++
	}
	_ = n.latency.RecordValue(min(max(int64(latency), minLatencyMillis), maxLatencyMillis))
	n.metrics.recordAnswer(latency, inTime)
}

// Refused implements entry.Metrics.
func (r *Recorder) Refused(c cicadapitch.CustomerID, p cicadapitch.PipelineID, kind cicadapitch.Kind) {
	s := r.shardOf(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	n := r.requestStatsOf(s, requestKey{c, p})
	n.refusals[kind]++
	n.metrics.recordRefusal(kind)
}

// Stage implements entry.Metrics.
func (r *Recorder) Stage(c cicadapitch.CustomerID, p cicadapitch.PipelineID, t cicadapitch.StageReport) {
	s := r.shardOf(c)
	s.mu.Lock()
	defer s.mu.Unlock()
	k := stageKey{p, t.Stage, t.Zone}
	n, ok := s.stages[k]
	if !ok {
		n = &stageStats{
			sum:     StageCost{Pipeline: p, Stage: t.Stage, Zone: t.Zone},
			metrics: r.metrics.newStageMetrics(k),
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

func (s *recorderShard) attainment(zone cicadapitch.ZoneID) []Attainment {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Attainment, 0, len(s.requests))
	for k, n := range s.requests {
		a := Attainment{
			Customer: k.customer, Pipeline: k.pipeline, Zone: zone,
			Answered: n.answered, Met: n.met, TookMillis: encodeHistogram(n.latency),
		}
		for kind, count := range n.refusals {
			a.addCounts(Attainment{
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

func (s *recorderShard) costs() []StageCost {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]StageCost, 0, len(s.stages))
	for _, n := range s.stages {
		list = append(list, n.sum)
	}
	return list
}

// shardOf returns the shard that holds the statistics of a customer.
func (r *Recorder) shardOf(c cicadapitch.CustomerID) *recorderShard {
	return &r.shards[maphash.String(r.seed, string(c))%lockShardCount]
}

// requestStatsOf returns the statistics of k and creates them on first use. Names
// that are not in the configuration count under Other. Callers must hold the lock
// of s.
func (r *Recorder) requestStatsOf(s *recorderShard, k requestKey) *requestStats {
	if n, ok := s.requests[k]; ok {
		return n
	}
	k = r.configuredKey(k)
	n, ok := s.requests[k]
	if !ok {
		n = &requestStats{
			refusals: make(map[cicadapitch.Kind]int64),
			latency:  newHistogram(),
			metrics:  r.metrics.newRequestMetrics(k),
		}
		s.requests[k] = n
	}
	return n
}

// configuredKey returns k with Other in place of names that are not in the
// configuration.
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
