package endpoint_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/endpoint"
)

const endpointsPerShard = 16

// warmShards is a set of shards with warm endpoints, each guarded by its own mutex.
type warmShards struct {
	shards []*lockedHarness
	next   atomic.Uint64
}

type lockedHarness struct {
	sync.Mutex
	*harness
}

func newWarmShards(endpoints int) *warmShards {
	f := &warmShards{}
	for left := endpoints; left > 0; left -= endpointsPerShard {
		n := min(left, endpointsPerShard)
		h := newHarness(n, 2, 16)
		var ids []cicadapitch.EndpointID
		for i := range n {
			ids = append(ids, cicadapitch.EndpointID(rune('a'+i)))
		}
		h.warmUp(ids...)
		f.shards = append(f.shards, &lockedHarness{harness: h})
	}
	return f
}

// schedule submits a job to the shard that n selects and reports its call as
// successful.
func (f *warmShards) schedule(n uint64, id cicadapitch.AttemptID) {
	h := f.shards[n*0x9e3779b97f4a7c15%uint64(len(f.shards))]
	h.Lock()
	defer h.Unlock()
	h.now += 10
	h.state.Submit(h.now, endpoint.Job{
		Attempt: id, Customer: "c", Share: 1, Deadline: h.now.Add(cicadapitch.Minute), Idempotent: true,
	})
	h.state.Progress(h.now+50, id)
	h.state.Finish(h.now+100, endpoint.CallEnd{Attempt: id, Outcome: endpoint.Succeeded})
}

// attemptIDs returns n attempt ids. They are created in advance so that their
// allocations are not measured.
func attemptIDs(prefix string, n int) []cicadapitch.AttemptID {
	ids := make([]cicadapitch.AttemptID, n)
	for i := range ids {
		ids[i] = cicadapitch.AttemptID{Request: cicadapitch.RequestID(fmt.Sprint(prefix, i)), Stage: "s"}
	}
	return ids
}

func BenchmarkScheduling(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 2900} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			f := newWarmShards(n)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				worker := f.next.Add(1) << 32
				ids := attemptIDs(fmt.Sprint(worker, "-"), 1024)
				for i := worker; pb.Next(); i++ {
					f.schedule(i, ids[i%uint64(len(ids))])
				}
			})
		})
	}
}

// TestAllocationsPerJob checks that the allocations for a job do not grow with
// the number of endpoints, because a job is scheduled within one shard.
func TestAllocationsPerJob(t *testing.T) {
	const maxAllocations = 4
	for _, n := range []int{10, 160} {
		f := newWarmShards(n)
		ids := attemptIDs("a", 1024)
		i := uint64(0)
		got := testing.AllocsPerRun(1000, func() {
			f.schedule(i, ids[i%uint64(len(ids))])
			i++
		})
		require.LessOrEqual(t, got, float64(maxAllocations), "%d endpoints", n)
	}
}
