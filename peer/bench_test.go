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
	s := newEchoServer()
	peer.HandleStream(s, "count", func(_ context.Context, n int, send func(echoResponse) error) (int, error) {
		for range n {
			if err := send(echoResponse{Text: "token"}); err != nil {
				return 0, err
			}
		}
		return n, nil
	})
	return startServer(b, s), newDialer(b)
}

func BenchmarkCall(b *testing.B) {
	address, d := benchServer(b)
	b.ReportAllocs()
	for b.Loop() {
		_, err := peer.Call[echoRequest, echoResponse](b.Context(), d, address, "echo", echoRequest{"hello"})
		require.NoError(b, err)
	}
}

func BenchmarkCallParallel(b *testing.B) {
	// RunParallel multiplies the number of callers by GOMAXPROCS.
	for _, callersPerCPU := range []int{4, 64} {
		b.Run(fmt.Sprint(callersPerCPU), func(b *testing.B) {
			address, d := benchServer(b)
			b.ReportAllocs()
			b.SetParallelism(callersPerCPU)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := peer.Call[echoRequest, echoResponse](b.Context(), d, address, "echo", echoRequest{"hello"}); err != nil {
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
	_, err := peer.CallStream[int, echoResponse, int](b.Context(), d, address, "count", b.N, func(echoResponse) { got++ })
	require.NoError(b, err)
	require.Equal(b, b.N, got)
}

// BenchmarkIdleConnections reports the memory and goroutines that both ends of
// an idle connection use. The goroutines include the few that the process has
// without connections.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 340
	for b.Loop() {
		before := memoryInUse()
		address, _ := benchServer(b)
		dialers := make([]*peer.Dialer, connections)
		for i := range dialers {
			dialers[i] = newDialer(b)
			_, err := peer.Call[echoRequest, echoResponse](b.Context(), dialers[i], address, "echo", echoRequest{})
			require.NoError(b, err)
		}
		b.ReportMetric(float64(memoryInUse()-before)/connections, "B/connection")
		b.ReportMetric(float64(runtime.NumGoroutine())/connections, "goroutines/connection")
		runtime.KeepAlive(dialers)
	}
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
