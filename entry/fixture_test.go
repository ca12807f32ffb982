package entry_test

import (
	"crypto/sha256"
	"encoding/hex"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/idempotency"
)

const (
	customerKey = "club-key"
	otherKey    = "other-key"
)

var deploymentKey = []byte("deployment")

// fixture is an entry host whose configuration, members and shard owners are fakes.
type fixture struct {
	cfg    *cicadapitch.Configuration
	clock  cicadapitch.Clock
	self   cicadapitch.Member
	others []cicadapitch.Member
	runner cicadapitch.AttemptRunner
	minter *idempotency.Minter
}

func newFixture() *fixture {
	f := &fixture{
		cfg:    testConfiguration(),
		clock:  cicadapitch.NewSystemClock(),
		self:   cicadapitch.Member{Host: "h1", Zone: "z1", Region: "r", Incarnation: 7, State: cicadapitch.Ready},
		runner: newFakeRunner(nil),
	}
	f.minter = idempotency.NewMinter("h1", 7, "http://h1", deploymentKey, idempotency.WithMinterClock(f.clock))
	return f
}

func (f *fixture) newServer(opts ...entry.Option) *entry.Server {
	all := append([]entry.Option{entry.WithMinter(f.minter), entry.WithSeed(1)}, opts...)
	return entry.NewServer(f, f, f, f.runner, f.clock, all...)
}

// Current implements cicadapitch.ConfigurationSource.
func (f *fixture) Current() *cicadapitch.Configuration { return f.cfg }

// Self implements cicadapitch.Members.
func (f *fixture) Self() cicadapitch.Member { return f.self }

// Members implements cicadapitch.Members.
func (f *fixture) Members() []cicadapitch.Member {
	return append([]cicadapitch.Member{f.self}, f.others...)
}

// Owner implements cicadapitch.ShardOwners.
func (f *fixture) Owner(cicadapitch.ShardID) (cicadapitch.Member, bool) { return f.self, true }

// Load implements cicadapitch.ShardOwners.
func (f *fixture) Load(cicadapitch.ShardID) (cicadapitch.ShardLoad, bool) {
	return cicadapitch.ShardLoad{}, false
}

// RecordLoad implements cicadapitch.ShardOwners.
func (f *fixture) RecordLoad(cicadapitch.ShardID, cicadapitch.ShardLoad) {}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func testConfiguration() *cicadapitch.Configuration {
	cfg := &cicadapitch.Configuration{
		Revision: 1,
		Weight:   0.5,
		Zones:    []cicadapitch.Zone{{ID: "z1", Region: "r"}, {ID: "z2", Region: "r"}},
		Pools: []cicadapitch.Pool{
			{ID: "encoders"}, {ID: "engines", Kind: cicadapitch.Engine}, {ID: "bookings"},
		},
		Pipelines: []cicadapitch.Pipeline{
			{ID: "draft", Deadline: 60_000, Stages: []cicadapitch.Stage{
				{ID: "encode", Pool: "encoders", Idempotent: true, ExpectedMillis: 10},
				{ID: "generate", Pool: "engines", Idempotent: true, ExpectedMillis: 50, Streams: true, MaxTokens: 1000},
			}},
			{ID: "reserve", Deadline: 60_000, Stages: []cicadapitch.Stage{
				{ID: "encode", Pool: "encoders", Idempotent: true, ExpectedMillis: 10},
				{ID: "book", Pool: "bookings", ExpectedMillis: 10},
			}},
		},
		Customers: []cicadapitch.Customer{
			{ID: "club", KeyHash: hashOf(customerKey), Share: 1},
			{ID: "other", KeyHash: hashOf(otherKey), Share: 1},
		},
	}
	for _, p := range cfg.Pools {
		for _, z := range cfg.Zones {
			id := string(p.ID) + "-" + string(z.ID)
			cfg.Endpoints = append(cfg.Endpoints, cicadapitch.Endpoint{
				ID: cicadapitch.EndpointID(id), Pool: p.ID, Zone: z.ID, Shard: cicadapitch.ShardID(id),
			})
		}
	}
	return cfg
}
