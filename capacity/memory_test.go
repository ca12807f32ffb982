package capacity_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/capacity"
	"cicadapitch.example/cicadapitch/claim"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/idempotency"
	"cicadapitch.example/cicadapitch/pipeline"
	"cicadapitch.example/cicadapitch/report"
)

// controlMemoryBudget is the memory that the control state of a host may use at
// PlannedSize.
const controlMemoryBudget cicadapitch.Bytes = 128 << 20

// retainedHeap returns the heap memory that the value returned by build retains.
func retainedHeap(build func() any) cicadapitch.Bytes {
	before := heapInUse()
	v := build()
	after := heapInUse()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

// heapInUse returns the size of the live heap after garbage collection.
func heapInUse() cicadapitch.Bytes {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return cicadapitch.Bytes(m.HeapAlloc)
}

// fixedConfiguration provides the same configuration at all times.
type fixedConfiguration struct{ cfg *cicadapitch.Configuration }

func (f fixedConfiguration) Current() *cicadapitch.Configuration { return f.cfg }

// roleBuilders returns functions that build the state of each role of a host, by
// name. It covers the roles whose memory grows with the size of the deployment.
func roleBuilders(t testing.TB, s capacity.Size) map[string]func() any {
	cfg := s.Configuration()
	encoded, err := configuration.Encode(cfg)
	require.NoError(t, err)
	return map[string]func() any{
		"configuration": func() any {
			decoded, err := configuration.Decode(encoded)
			require.NoError(t, err)
			return decoded
		},
		"members":   func() any { return s.Members(cfg) },
		"routing":   func() any { return pipeline.NewShardGroups(cfg) },
		"ownership": func() any { return newClaimState(s, cfg) },
		"endpoints": func() any { return newShardStates(s, cfg) },
		"reports":   func() any { return newFilledRecorder(cfg) },
	}
}

// newClaimState returns the shard ownership state of one host after 20 s in which
// all hosts were members.
func newClaimState(s capacity.Size, cfg *cicadapitch.Configuration) *claim.State {
	members := s.Members(cfg)
	var locations []claim.ShardLocation
	for _, shard := range cfg.Shards() {
		locations = append(locations, claim.ShardLocation{Shard: shard})
	}
	state := claim.NewState(0, claim.StandardPolicy())
	for now := cicadapitch.Instant(0); now < 20_000; now += 500 {
		state.Next(claim.Tick{
			Now: now, Self: members[0], Members: members, Shards: locations, Hosts: s.Hosts, HostsWithStore: s.Hosts,
		})
	}
	return state
}

// newShardStates returns the states of one host's part of the shards, each with 100
// submitted jobs.
func newShardStates(s capacity.Size, cfg *cicadapitch.Configuration) []*endpoint.State {
	shards := cfg.Shards()
	states := make([]*endpoint.State, (len(shards)+s.Hosts-1)/s.Hosts)
	for i := range states {
		states[i] = endpoint.NewState(endpoint.StandardPolicy())
		states[i].Configure(0, cfg, shards[i])
		for j := range 100 {
			id := cicadapitch.AttemptID{Request: cicadapitch.RequestID(fmt.Sprint("request-", j)), Stage: "stage-0", Number: 1}
			states[i].Submit(0, endpoint.Job{Attempt: id, Customer: "customer-0", Share: 1, Deadline: 60_000, Idempotent: true})
		}
	}
	return states
}

// newFilledRecorder returns a recorder with one answered request for each customer
// and pipeline.
func newFilledRecorder(cfg *cicadapitch.Configuration) *report.Recorder {
	r := report.NewRecorder(cfg.Zones[0].ID, fixedConfiguration{cfg}, tally.NoopScope)
	for _, c := range cfg.Customers {
		for _, p := range cfg.Pipelines {
			r.Answered(c.ID, p.ID, 800, true)
		}
	}
	return r
}

// TestControlStateFitsInMemoryBudget guards against control state of a host that
// exceeds controlMemoryBudget at PlannedSize. It sums the heap memory that the state
// of all roles retains.
func TestControlStateFitsInMemoryBudget(t *testing.T) {
	var total cicadapitch.Bytes
	for name, build := range roleBuilders(t, capacity.PlannedSize) {
		n := retainedHeap(build)
		t.Logf("%s: %d bytes", name, n)
		total += n
	}
	require.Less(t, total, controlMemoryBudget)
}

// BenchmarkMemory reports the heap memory that the state of each role retains at
// both sizes.
func BenchmarkMemory(b *testing.B) {
	for _, s := range []capacity.Size{capacity.CurrentSize, capacity.PlannedSize} {
		for name, build := range roleBuilders(b, s) {
			b.Run(fmt.Sprintf("%s/Hosts=%d", name, s.Hosts), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(retainedHeap(build)), "bytes")
				}
			})
		}
	}
}

// BenchmarkLedger reports the heap memory that the ledger retains for each used
// token.
func BenchmarkLedger(b *testing.B) {
	const tokens = 100_000
	clock := cicadapitch.NewManualClock(0)
	fill := func() any {
		ledger := idempotency.NewLedger(clock, 1)
		for i := range tokens {
			execution, _, err := ledger.Begin(idempotency.Key{Token: cicadapitch.Token(fmt.Sprint(i))}, 0)
			require.NoError(b, err)
			execution.Finish(cicadapitch.Answer{Output: "booked"}, nil)
		}
		return ledger
	}
	for b.Loop() {
		b.ReportMetric(float64(retainedHeap(fill))/tokens, "bytes/token")
	}
}
