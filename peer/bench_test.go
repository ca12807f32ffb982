package peer_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/peer"
)

func benchServer(b *testing.B) (string, *peer.Dialer) {
	b.Helper()
	s := echoServer()
	peer.HandleStream(s, "count", func(_ context.Context, n int, send func(reply) error) (int, error) {
		for range n {
			if err := send(reply{Text: "token"}); err != nil {
				return 0, err
			}
		}
		return n, nil
	})
	return serve(b, s), dialer(b)
}

func BenchmarkCall(b *testing.B) {
	address, d := benchServer(b)
	b.ReportAllocs()
	for b.Loop() {
		_, err := peer.Call[question, reply](b.Context(), d, address, "echo", question{"hello"})
		require.NoError(b, err)
	}
}

func BenchmarkCallParallel(b *testing.B) {
	for _, callers := range []int{4, 64} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			address, d := benchServer(b)
			b.ReportAllocs()
			b.SetParallelism(callers)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := peer.Call[question, reply](b.Context(), d, address, "echo", question{"hello"}); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}

func BenchmarkStreamItem(b *testing.B) {
	address, d := benchServer(b)
	b.ReportAllocs()
	got := 0
	_, err := peer.CallStream[int, reply, int](b.Context(), d, address, "count", b.N, func(reply) { got++ })
	require.NoError(b, err)
	require.Equal(b, b.N, got)
}

// BenchmarkIdleConnections reports what both ends of an idle connection take
// in memory.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 340
	for b.Loop() {
		before := memory()
		address, _ := benchServer(b)
		dialers := make([]*peer.Dialer, connections)
		for i := range dialers {
			dialers[i] = dialer(b)
			_, err := peer.Call[question, reply](b.Context(), dialers[i], address, "echo", question{})
			require.NoError(b, err)
		}
		b.ReportMetric(float64(memory()-before)/connections, "B/connection")
		b.ReportMetric(float64(runtime.NumGoroutine())/connections, "goroutines/connection")
		runtime.KeepAlive(dialers)
	}
}

// memory returns the bytes in use on the heap and on stacks.
func memory() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
