package daemon

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/rs/zerolog"
	"github.com/samber/do/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/claim"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/driver"
	"cicadapitch.example/cicadapitch/endpoint"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/host"
	"cicadapitch.example/cicadapitch/idempotency"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/quarantine"
	"cicadapitch.example/cicadapitch/report"
	"cicadapitch.example/cicadapitch/settings"
)

// deploymentKey is the secret with which hosts authenticate to each other and sign
// tokens.
type deploymentKey []byte

// registerRoles registers the constructor of each role. A role is constructed when
// it is first used.
func registerRoles(i do.Injector) {
	do.Provide(i, newSelf)
	do.Provide(i, newStore)
	do.Provide(i, newFollower)
	do.Provide(i, newDialer)
	do.Provide(i, newPeerServer)
	do.Provide(i, newGroup)
	do.Provide(i, newSyncer)
	do.Provide(i, newClaimManager)
	do.Provide(i, newSuspectSharer)
	do.Provide(i, newOwner)
	do.Provide(i, newMinter)
	do.Provide(i, newPrometheusReporter)
	do.Provide(i, newRecorder)
	do.Provide(i, newEntry)
	do.Provide(i, newOrders)
	do.Provide(i, newRollout)
}

func newSelf(i do.Injector) (cicadapitch.Member, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return cicadapitch.Member{
		Host:        s.Host,
		Zone:        s.Zone,
		Region:      s.Region,
		Incarnation: newIncarnation(),
		Started:     clockOf(i).Now(),
		State:       cicadapitch.Starting,
		PeerAddress: s.PeerAddress,
		CallerURL:   s.CallerURL,
	}, nil
}

// newIncarnation returns 64 random bits, so that no two processes have the same
// incarnation.
func newIncarnation() cicadapitch.Incarnation {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return cicadapitch.Incarnation(binary.BigEndian.Uint64(b[:]))
}

func newStore(i do.Injector) (cicadapitch.Store, error) {
	s := do.MustInvoke[*settings.Settings](i)
	return platform.NewStore(s.Store), nil
}

func newFollower(i do.Injector) (*configuration.Follower, error) {
	return configuration.NewFollower(clockOf(i)), nil
}

func newDialer(i do.Injector) (*peer.Dialer, error) {
	s := do.MustInvoke[*settings.Settings](i)
	key := do.MustInvoke[deploymentKey](i)
	return peer.NewDialer(s.Host, key, peer.WithClock(clockOf(i)), peer.WithLog(logOf(i))), nil
}

func newPeerServer(i do.Injector) (*peer.Server, error) {
	key := do.MustInvoke[deploymentKey](i)
	return peer.NewServer(key, peer.WithClock(clockOf(i)), peer.WithLog(logOf(i))), nil
}

func newGroup(i do.Injector) (*host.Group, error) {
	s := do.MustInvoke[*settings.Settings](i)
	opts := []host.Option{
		host.WithClock(clockOf(i)),
		host.WithLog(logOf(i)),
		host.WithSeeds(s.SeedPeers),
		host.WithTransport(pinger{do.MustInvoke[*peer.Dialer](i)}),
	}
	if s.HostList != "" {
		opts = append(opts, host.WithHostList(platform.NewHostList(s.HostList)))
	}
	return host.New(do.MustInvoke[cicadapitch.Member](i), opts...), nil
}

func newSyncer(i do.Injector) (*configuration.Syncer, error) {
	return configuration.NewSyncer(
		do.MustInvoke[*configuration.Follower](i),
		do.MustInvoke[cicadapitch.Store](i),
		do.MustInvoke[*host.Group](i),
		fetcher{do.MustInvoke[*peer.Dialer](i)},
		clockOf(i),
		configuration.WithLog(logOf(i)),
	), nil
}

func newClaimManager(i do.Injector) (*claim.Manager, error) {
	policy := claim.StandardPolicy()
	lease := do.MustInvoke[*settings.Settings](i).LeaseMillis
	policy.RenewEvery = lease / cicadapitch.Millis(policy.RenewalsPerLease)
	// The claim manager uses a separate store client, so that orders and callers'
	// idempotency keys cannot exhaust the budget of store calls that lease renewals
	// need.
	store, err := newStore(i)
	if err != nil {
		return nil, err
	}
	return claim.New(
		store,
		do.MustInvoke[*host.Group](i),
		do.MustInvoke[*configuration.Follower](i),
		clockOf(i),
		claim.WithPolicy(policy),
		claim.WithLog(logOf(i)),
	), nil
}

func newSuspectSharer(i do.Injector) (*suspectSharer, error) {
	group := do.MustInvoke[*host.Group](i)
	s := &suspectSharer{
		ledger: quarantine.NewLedger(),
		others: func() []cicadapitch.Member { return otherReadyHosts(group) },
		dialer: do.MustInvoke[*peer.Dialer](i), clock: clockOf(i), log: logOf(i),
	}
	s.ledger.OnChange(s.logChange)
	return s, nil
}

func newOwner(i do.Injector) (*endpoint.Owner, error) {
	claims := do.MustInvoke[*claim.Manager](i)
	drivers := map[cicadapitch.PoolKind]cicadapitch.Driver{
		cicadapitch.Service: driver.NewService(driver.WithClock(clockOf(i))),
		cicadapitch.Engine:  driver.NewEngine(driver.WithClock(clockOf(i))),
	}
	sharer := do.MustInvoke[*suspectSharer](i)
	owner := endpoint.NewOwner(do.MustInvoke[*configuration.Follower](i), drivers, claims.Holds,
		clockOf(i), endpoint.WithLog(logOf(i)), endpoint.WithQuarantine(sharer.ledger, sharer.tell))
	claims.OnGain(owner.AddShard)
	claims.OnLoss(owner.RemoveShard)
	return owner, nil
}

func newMinter(i do.Injector) (*idempotency.Minter, error) {
	self := do.MustInvoke[cicadapitch.Member](i)
	key := do.MustInvoke[deploymentKey](i)
	return idempotency.NewMinter(self.Host, self.Incarnation, self.CallerURL, key,
		idempotency.WithMinterClock(clockOf(i))), nil
}

func newEntry(i do.Injector) (*entry.Server, error) {
	self := do.MustInvoke[cicadapitch.Member](i)
	dialer := do.MustInvoke[*peer.Dialer](i)
	runner := &attemptRunner{self: self, local: do.MustInvoke[*endpoint.Owner](i), dialer: dialer}
	return entry.NewServer(
		do.MustInvoke[*configuration.Follower](i),
		do.MustInvoke[*host.Group](i),
		do.MustInvoke[*claim.Manager](i),
		runner,
		clockOf(i),
		entry.WithMinter(do.MustInvoke[*idempotency.Minter](i)),
		entry.WithLedger(idempotency.NewLedger(clockOf(i), self.Incarnation)),
		entry.WithForwarder(forwarder{dialer}),
		entry.WithLog(logOf(i)),
		entry.WithKeyClaimer(newIdempotencyClaims(i, self)),
		entry.WithMetrics(do.MustInvoke[*report.Recorder](i)),
	), nil
}

// newIdempotencyClaims returns the claims with which this host reserves the
// idempotency keys that callers choose. They are unrelated to the claims on shards.
func newIdempotencyClaims(i do.Injector, self cicadapitch.Member) *idempotency.Claims {
	holder := idempotency.Holder{Host: self.Host, Incarnation: self.Incarnation, Address: self.CallerURL}
	return idempotency.NewClaims(do.MustInvoke[cicadapitch.Store](i), clockOf(i), holder)
}

func newPrometheusReporter(do.Injector) (*report.PrometheusReporter, error) {
	return report.NewPrometheusReporter(), nil
}

func newRecorder(i do.Injector) (*report.Recorder, error) {
	metricsScope, _ := report.NewScope(do.MustInvoke[*report.PrometheusReporter](i))
	zone := do.MustInvoke[cicadapitch.Member](i).Zone
	return report.NewRecorder(zone, do.MustInvoke[*configuration.Follower](i), metricsScope), nil
}

func newOrders(i do.Injector) (*order.Service, error) {
	follower := do.MustInvoke[*configuration.Follower](i)
	applier := configuration.NewApplier(do.MustInvoke[cicadapitch.Store](i), clockOf(i),
		configuration.WithFollower(follower))
	propagation := order.NewMemberPropagation(do.MustInvoke[*host.Group](i))
	s := do.MustInvoke[*settings.Settings](i)
	return order.NewService(follower, applier, propagation, clockOf(i),
		order.WithBootstrapKey(s.DeploymentKey)), nil
}

func clockOf(i do.Injector) cicadapitch.Clock { return do.MustInvoke[cicadapitch.Clock](i) }

func logOf(i do.Injector) zerolog.Logger { return do.MustInvoke[zerolog.Logger](i) }
