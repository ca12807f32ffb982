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

// controlBytes is what a node may spend on control, from the size to design for.
const controlBytes cicadapitch.Bytes = 128 << 20

// held returns the heap that the value of build keeps.
func held(build func() any) cicadapitch.Bytes {
	before := heap()
	v := build()
	after := heap()
	runtime.KeepAlive(v)
	return max(after-before, 0)
}

func heap() cicadapitch.Bytes {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return cicadapitch.Bytes(m.HeapAlloc)
}

type fixed struct{ cfg *cicadapitch.Configuration }

func (f fixed) Current() *cicadapitch.Configuration { return f.cfg }

// roles are the parts of a host whose memory grows with the deployment.
func roles(t testing.TB, s capacity.Size) map[string]func() any {
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
		"ownership": func() any { return owned(s, cfg) },
		"endpoints": func() any { return shardsOfOneHost(s, cfg) },
		"reports":   func() any { return recorded(cfg) },
	}
}

// owned returns the ownership state of one host that has seen all others.
func owned(s capacity.Size, cfg *cicadapitch.Configuration) *claim.State {
	members := s.Members(cfg)
	var places []claim.Place
	for _, shard := range cfg.Shards() {
		places = append(places, claim.Place{Shard: shard})
	}
	state := claim.NewState(0, claim.StandardPolicy())
	for now := cicadapitch.Instant(0); now < 20_000; now += 500 {
		state.Next(claim.Tick{
			Now: now, Self: members[0], Members: members, Shards: places, Hosts: s.Hosts, Up: s.Hosts,
		})
	}
	return state
}

// shardsOfOneHost returns the states of the shards that fall to one host, each
// with 100 jobs that wait.
func shardsOfOneHost(s capacity.Size, cfg *cicadapitch.Configuration) []*endpoint.State {
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

// recorded returns a recorder that has a count for each customer and pipeline.
func recorded(cfg *cicadapitch.Configuration) *report.Recorder {
	r := report.NewRecorder(cfg.Zones[0].ID, fixed{cfg}, tally.NoopScope)
	for _, c := range cfg.Customers {
		for _, p := range cfg.Pipelines {
			r.Answered(c.ID, p.ID, 800, true)
		}
	}
	return r
}

// TestControlFitsInMemory adds up what the roles of one host keep at the size
// to design for.
func TestControlFitsInMemory(t *testing.T) {
	var all cicadapitch.Bytes
	for name, build := range roles(t, capacity.PlannedSize) {
		n := held(build)
		t.Logf("%s: %d bytes", name, n)
		all += n
	}
	require.Less(t, all, controlBytes)
}

// BenchmarkMemory reports what each role keeps at both sizes.
func BenchmarkMemory(b *testing.B) {
	for _, s := range []capacity.Size{capacity.CurrentSize, capacity.PlannedSize} {
		for name, build := range roles(b, s) {
			b.Run(fmt.Sprintf("%s/Hosts=%d", name, s.Hosts), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(held(build)), "bytes")
				}
			})
		}
	}
}

// BenchmarkLedger reports the bytes of one token that has been used.
func BenchmarkLedger(b *testing.B) {
	const tokens = 100_000
	clock := cicadapitch.NewManualClock(0)
	fill := func() any {
		l := idempotency.NewLedger(clock, 1)
		for i := range tokens {
			e, _, err := l.Begin(idempotency.Key{Token: cicadapitch.Token(fmt.Sprint(i))}, 0)
			require.NoError(b, err)
			e.Finish(cicadapitch.Answer{Output: "booked"}, nil)
		}
		return l
	}
	for b.Loop() {
		b.ReportMetric(float64(held(fill))/tokens, "bytes/token")
	}
}
