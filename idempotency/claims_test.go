package idempotency_test

import (
	"context"
	"sync"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeStore is an in-memory store whose calls can be made to fail.
type fakeStore struct {
	cicadapitch.Store

	mu    sync.Mutex
	pairs map[string]cicadapitch.KeyValue
	calls int
	// If down is set, calls fail without effect. If lose is set, commits take
	// effect but return an error.
	down, lose bool
}

func (s *fakeStore) Grant(context.Context, cicadapitch.Millis) (cicadapitch.LeaseID, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return 0, cicadapitch.NewError(cicadapitch.Unavailable, "down", "")
	}
	return 1, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (cicadapitch.KeyValue, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return cicadapitch.KeyValue{}, cicadapitch.NewError(cicadapitch.Unavailable, "down", "")
	}
	p, ok := s.pairs[key]
	if !ok {
		return p, cicadapitch.NewError(cicadapitch.NotFound, "no pair", "")
	}
	return p, nil
}

func (s *fakeStore) Commit(_ context.Context, cs []cicadapitch.Condition, ps []cicadapitch.Write) (cicadapitch.StoreRevision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return 0, cicadapitch.NewError(cicadapitch.Unavailable, "down", "")
	}
	if _, ok := s.pairs[cs[0].Key]; ok {
		return 0, cicadapitch.NewError(cicadapitch.Conflict, "exists", "")
	}
	s.pairs[ps[0].Key] = cicadapitch.KeyValue{Key: ps[0].Key, Value: ps[0].Value, Revision: 1, Lease: ps[0].Lease}
	if s.lose {
		return 0, cicadapitch.NewOutcomeUnknown("the answer was lost")
	}
	return 1, nil
}

func TestKeyHasAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		store := &fakeStore{pairs: make(map[string]cicadapitch.KeyValue)}
		clock := cicadapitch.NewManualClock(1)
		var hosts []*idempotency.Claims
		for i := range 3 {
			hosts = append(hosts, idempotency.NewClaims(store, clock, idempotency.Holder{Host: "h", Incarnation: cicadapitch.Incarnation(i)}))
		}
		holders := make(map[idempotency.Holder]bool)
		for range rapid.IntRange(1, 12).Draw(rt, "calls") {
			store.down = rapid.Bool().Draw(rt, "down")
			store.lose = rapid.Bool().Draw(rt, "lose")
			c, err := hosts[rapid.IntRange(0, 2).Draw(rt, "host")].Claim(context.Background(), "club", "k")
			if err == nil {
				holders[c.Holder] = true
			} else if cicadapitch.KindOf(err) != cicadapitch.NotRun || cicadapitch.AsError(err).RetryAfter <= 0 {
				rt.Fatalf("error %v", err)
			}
			clock.Advance(cicadapitch.Second)
		}
		if len(holders) > 1 {
			rt.Fatalf("holders %v", holders)
		}
	})
}

func TestClaimsLimitTheirStoreCalls(t *testing.T) {
	store := &fakeStore{pairs: make(map[string]cicadapitch.KeyValue)}
	clock := cicadapitch.NewManualClock(1)
	c := idempotency.NewClaims(store, clock, idempotency.Holder{Host: "h"}, idempotency.WithClaimBudget(10, 5))
	claimed := 0
	for i := range 100 {
		if _, err := c.Claim(context.Background(), "club", string(rune('a'+i))); err == nil {
			claimed++
			continue
		}
	}
	require.Equal(t, 5, claimed)
	require.Equal(t, 1+claimed, store.calls, "one lease, and one write for each claim")
	store.down = true
	clock.Advance(cicadapitch.Second)
	for range 5 {
		_, err := c.Claim(context.Background(), "club", "down")
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err))
	}
	require.Equal(t, 2+claimed, store.calls, "a store that is down is called once")
}
