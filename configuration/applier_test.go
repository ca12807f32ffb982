package configuration_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/standin"
)

var (
	clock = cicadapitch.NewSystemClock()
	ctx   = context.Background()
)

// takeZoneOut returns a change that takes a zone out of service.
func takeZoneOut(id cicadapitch.ChangeID, zone cicadapitch.ZoneID) configuration.Change {
	return configuration.Change{ID: id, Operator: "ada", At: 7, Mutate: func(cfg *cicadapitch.Configuration) error {
		for i, z := range cfg.Zones {
			if z.ID == zone {
				cfg.Zones[i].Out = true
			}
		}
		return nil
	}}
}

// newStore returns a store with cfg as revision 1, and its Applier.
func newStore(t testing.TB, cfg *cicadapitch.Configuration) (*standin.MemoryStore, *configuration.Applier) {
	store := standin.NewMemoryStore(clock)
	a := configuration.NewApplier(store, clock)
	out, err := a.Apply(ctx, configuration.Change{ID: "first", Operator: "ada", Whole: cfg})
	require.NoError(t, err)
	require.Equal(t, configuration.Applied, out.Result)
	return store, a
}

func storedConfiguration(t *testing.T, store *standin.MemoryStore) *cicadapitch.Configuration {
	p, err := store.Get(ctx, configuration.KeyCurrent)
	require.NoError(t, err)
	cfg, err := configuration.Decode(p.Value)
	require.NoError(t, err)
	return cfg
}

func TestConcurrentChangesAreBothApplied(t *testing.T) {
	store, a := newStore(t, example(3))
	changedInBetween := false
	c := takeZoneOut("one", "zone-0")
	mutate := c.Mutate
	c.Mutate = func(cfg *cicadapitch.Configuration) error {
		if !changedInBetween {
			changedInBetween = true
			_, err := a.Apply(ctx, takeZoneOut("two", "zone-1"))
			require.NoError(t, err)
		}
		return mutate(cfg)
	}
	out, err := a.Apply(ctx, c)
	require.NoError(t, err)
	require.Equal(t, configuration.Outcome{Result: configuration.Applied, Revision: 3, Attempts: 2}, out)
	cfg := storedConfiguration(t, store)
	require.True(t, cfg.Zones[0].Out && cfg.Zones[1].Out)

	records, err := configuration.ReadAudit(ctx, store, 3, 10)
	require.NoError(t, err)
	require.Len(t, records, 3)
	require.Equal(t, cicadapitch.ChangeID("one"), records[0].Change)
	require.Equal(t, []configuration.FieldChange{{Field: "Zones[zone-0].Out", Before: "false", After: "true"}}, records[0].Fields)
}

func TestLostCommitAnswerIsResolvedByReadingBack(t *testing.T) {
	store, a := newStore(t, example(3))
	store.LoseAnswers(1)
	out, err := a.Apply(ctx, takeZoneOut("one", "zone-0"))
	require.NoError(t, err)
	require.Equal(t, configuration.Applied, out.Result)
	require.Equal(t, cicadapitch.Revision(2), storedConfiguration(t, store).Revision)
}

// outageAfterCommit is a store that loses the answer of the next commit and is
// down afterwards.
type outageAfterCommit struct{ *standin.MemoryStore }

func (s outageAfterCommit) Commit(ctx context.Context, conditions []cicadapitch.Condition, writes []cicadapitch.Write) (cicadapitch.StoreRevision, error) {
	s.LoseAnswers(1)
	defer s.SetDown(true)
	return s.MemoryStore.Commit(ctx, conditions, writes)
}

// TestLostAnswerAndOutageIsUnsettledUntilRetry repeats the change with the same id
// after the outage, which must not apply it a second time.
func TestLostAnswerAndOutageIsUnsettledUntilRetry(t *testing.T) {
	store, a := newStore(t, example(3))
	out, err := configuration.NewApplier(outageAfterCommit{store}, clock).Apply(ctx, takeZoneOut("one", "zone-0"))
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Equal(t, configuration.Unsettled, out.Result)
	store.SetDown(false)
	out, err = a.Apply(ctx, takeZoneOut("one", "zone-0"))
	require.NoError(t, err)
	require.Equal(t, configuration.Outcome{Result: configuration.Repeated, Revision: 2, Attempts: 1}, out)
}

func TestStoreOutageFailsAfterOneAttempt(t *testing.T) {
	store, a := newStore(t, example(3))
	store.SetDown(true)
	out, err := a.Apply(ctx, takeZoneOut("one", "zone-0"))
	require.ErrorContains(t, err, "not accepted")
	require.Equal(t, cicadapitch.Unavailable, cicadapitch.KindOf(err))
	require.Equal(t, 1, out.Attempts)
}

func TestWholeConfigurationOnOldBaseIsOvertaken(t *testing.T) {
	_, a := newStore(t, example(3))
	out, err := a.Apply(ctx, configuration.Change{ID: "late", Operator: "bo", Whole: example(2)})
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
	require.Equal(t, configuration.Overtaken, out.Result)
}

func TestCheckReportsAllFaults(t *testing.T) {
	cfg := example(3)
	cfg.Endpoints[0].Address = "http://localhost:80"
	cfg.Endpoints[1].Zone = "nowhere"
	cfg.Pipelines[0].Stages[0].Pool = "none"
	cfg.Customers = append(cfg.Customers, cfg.Customers[0])
	err := configuration.Check(cfg)
	for _, want := range []string{"ip:port", "nowhere", "spans", "none", "twice"} {
		require.ErrorContains(t, err, want)
	}
}

// example returns a valid configuration with three endpoints in each zone.
func example(zones int) *cicadapitch.Configuration {
	cfg := &cicadapitch.Configuration{
		Deployment: "example",
		Pools:      []cicadapitch.Pool{{ID: "engines", Kind: cicadapitch.Engine, ColdSlots: 1, WarmSlots: 8}},
		Pipelines: []cicadapitch.Pipeline{{
			ID:       "draft",
			Deadline: 9000,
			Stages:   []cicadapitch.Stage{{ID: "generate", Pool: "engines", Streams: true}},
		}},
		Customers: []cicadapitch.Customer{{ID: "club", Share: 1}},
	}
	for z := range zones {
		addZone(cfg, z, 3)
	}
	return cfg
}

// addZone adds a zone with endpoints in shards of eight.
func addZone(cfg *cicadapitch.Configuration, z, endpoints int) {
	zone := cicadapitch.ZoneID(fmt.Sprintf("zone-%d", z))
	cfg.Zones = append(cfg.Zones, cicadapitch.Zone{ID: zone, Region: "north"})
	for i := range endpoints {
		cfg.Endpoints = append(cfg.Endpoints, cicadapitch.Endpoint{
			ID:      cicadapitch.EndpointID(fmt.Sprintf("engine-%d-%d", z, i)),
			Pool:    "engines",
			Zone:    zone,
			Shard:   cicadapitch.ShardID(fmt.Sprintf("shard-%d-%d", z, i/8)),
			Address: fmt.Sprintf("http://10.%d.%d.%d:8000", z, i/250, i%250),
		})
	}
}
