package entry_test

import (
	"context"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

// instantRunner returns the result of each attempt immediately and records nothing.
type instantRunner struct{}

func (instantRunner) Run(_ context.Context, _ cicadapitch.Member, a cicadapitch.Attempt, _ func(cicadapitch.Chunk)) (cicadapitch.StageResult, error) {
	return cicadapitch.StageResult{Attempt: a.ID, Output: a.Input, Served: 10}, nil
}

func (instantRunner) Outcome(context.Context, cicadapitch.Member, cicadapitch.AttemptID) (cicadapitch.AttemptState, error) {
	return cicadapitch.AttemptState{}, nil
}

// BenchmarkServe measures the time that the entry host itself takes for a request
// with two stages.
func BenchmarkServe(b *testing.B) {
	f := newFixture()
	f.runner = instantRunner{}
	owners := fixedLoad{f, cicadapitch.ShardLoad{Free: 10, Total: 10, ServiceMillis: 10}}
	s := entry.NewServer(f, f, owners, f.runner, f.clock, entry.WithMinter(f.minter))
	b.Run("draft", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				if _, err := s.Serve(context.Background(), draft(), nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	})
	b.Run("reserve", func(b *testing.B) {
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				req := cicadapitch.Request{Customer: "club", Pipeline: "reserve", Input: "x", Token: f.minter.Mint("club")}
				_, _ = s.Serve(context.Background(), req, nil)
			}
		})
	})
}
