package membership

import (
	"context"
	"slices"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// maxFetches bounds the fetches in a row of a host that is behind. The next heartbeats
	// start further ones.
	maxFetches = 8
	// catalogFetchTimeout bounds one fetch of a change of the configuration.
	catalogFetchTimeout = 2 * cicadapitch.Second
	// catalogNoticeTimeout bounds one notice of a new version.
	catalogNoticeTimeout = cicadapitch.Second
	// staleDivisor divides the time within which a change has to be in force on every host.
	// A host that has been behind for the result is stale; the rest of the time is for the
	// way of a change to the first host.
	staleDivisor = 2
)

// catalogSource says how a catalog reached this host.
type catalogSource struct {
	// from is "store" or a host's address.
	from     string
	revision cicadapitch.StoreRevision
	// age is how long ago a host first knew the version.
	age cicadapitch.Millis
	// bytes is the size of what was received, took the time that receiving it took, as far
	// as that is known, and decodeTook that of decoding it.
	bytes            int
	took, decodeTook cicadapitch.Millis
	// base is the version from which change, the encoded change to the catalog, starts.
	// change may be nil.
	base   int64
	change []byte
}

// applyCatalogs puts the configurations among records in force, unless later ones are in
// force, and returns the other records. source names their origin in the log: "store" or a
// host's id. The caller must not hold mu.
func (m *Membership) applyCatalogs(records []fleet.Record, source string) []fleet.Record {
	isCatalog := func(r fleet.Record) bool { return platform.IsCatalogKey(r.Key) }
	for _, r := range records {
		if isCatalog(r) && !r.Removed {
			m.applyCatalogRecord(r, source)
		}
	}
	return slices.DeleteFunc(slices.Clone(records), isCatalog)
}

// applyCatalogRecord decodes a whole configuration and puts it in force, unless this host
// knows its revision from a change already.
func (m *Membership) applyCatalogRecord(r fleet.Record, source string) {
	m.mu.Lock()
	known := m.catalogRevision
	if r.Revision > m.catalogRecord.Revision {
		m.catalogRecord = r
	}
	m.mu.Unlock()
	if r.Revision == known {
		return
	}
	start := m.clock.Now()
	c, err := platform.DecodeCatalog(r.Value)
	if err != nil {
		m.log.Error().Err(err).Int64("Revision", r.Revision.Number()).Msg("invalid configuration in the store ignored; the previous one stays in force")
		return
	}
	// The result shares with the catalog in force what did not change.
	before := m.View().Catalog
	change := catalog.Diff(before, c)
	if next, err := change.Apply(before); err == nil {
		c = next
	}
	m.adoptCatalog(c, catalogSource{from: source, revision: r.Revision, bytes: len(r.Value), decodeTook: m.clock.Now().Sub(start)})
}

// adoptCatalog puts a catalog in force and tells other hosts, unless a later one is in
// force. The caller must not hold mu.
func (m *Membership) adoptCatalog(c *catalog.Catalog, s catalogSource) {
	m.mu.Lock()
	now := m.clock.Now()
	m.catalogRevision = max(m.catalogRevision, s.revision)
	adopted := m.state.SetCatalog(c)
	if adopted {
		m.lag.Adopt(now, c.Version, s.age)
		m.history.add(c, s.base, s.change)
		m.publish(now)
	}
	m.mu.Unlock()
	age := m.lag.Age(now)
	m.log.Info().Int64("Version", c.Version).Int64("Revision", s.revision.Number()).Str("From", s.from).
		Bool("InForce", adopted).Int("Routes", c.Routes()).Bool("KeysRequired", c.KeysRequired).Int("Keys", c.Keys()).Int64("AgeMs", int64(age)).Int64("Base", s.base).
		Int("Bytes", s.bytes).Int64("TookMs", int64(s.took)).Int64("DecodeMs", int64(s.decodeTook)).Msg("configuration")
	if adopted {
		_, behind := m.lag.Behind(now)
		m.metrics.Gauge("ConfigurationBehindMs").Update(float64(behind))
		m.metrics.Gauge("ConfigurationVersion").Update(float64(c.Version))
		m.metrics.Gauge("ConfigurationKeys").Update(float64(c.Keys()))
		m.metrics.Histogram("ConfigurationAge", catalogAgeBuckets).RecordDuration(age.Duration())
		m.announceCatalog()
	}
}

// catalogHead describes the configuration in force. The caller must not hold mu.
func (m *Membership) catalogHead(now cicadapitch.Instant) CatalogHead {
	c := m.View().Catalog
	if c == nil {
		return CatalogHead{}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	era := m.catalogRevision.Era()
	return CatalogHead{Version: c.Version, Era: era, Revision: bareRevision(m.catalogRevision, era), Age: m.lag.Age(now)}
}

// announceCatalog tells the hosts that get heartbeats from this one of its configuration, in
// the background. A failed notice is not repeated, since heartbeats follow.
func (m *Membership) announceCatalog() {
	d := m.dialers.Load()
	hosts := m.View().Hosts
	if d == nil || len(hosts) <= maxHostsAllWatching {
		return
	}
	notice := CatalogNotice{Peers: m.settings.PeerAddress(), Head: m.catalogHead(m.clock.Now())}
	for _, h := range heartbeatTargets(m.incarnation, hosts) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), catalogNoticeTimeout.Duration())
			defer cancel()
			_, _ = peer.Call[CatalogNotice, struct{}](ctx, d.Control, h.Peers, callCatalogNotice, notice)
		}()
	}
}

// learnCatalog records that the host at an address has a configuration in force, and starts
// to fetch it if this host is behind. The caller must not hold mu.
func (m *Membership) learnCatalog(head CatalogHead, address string) {
	if m.lag.Learn(m.clock.Now(), head.Version, head.Age, address) {
		m.startCatchUp()
	}
}

// startCatchUp starts catchUp in the background if this host is behind and catchUp does not
// run.
func (m *Membership) startCatchUp() {
	if latest, _ := m.lag.Behind(m.clock.Now()); latest == 0 || m.dialers.Load() == nil {
		return
	}
	if m.catchingUp.CompareAndSwap(false, true) {
		go m.catchUp()
	}
}

// catchUp fetches changes until this host has the latest configuration that it has heard
// of, or gives up until the next heartbeats. One fetch runs at a time, so that copies of a
// change do not share the link.
func (m *Membership) catchUp() {
	defer m.catchingUp.Store(false)
	ctx := context.Background()
	if m.shouldWatchStore() {
		// The change will most likely arrive from the store. Sleep cannot fail with ctx.
		_ = m.clock.Sleep(ctx, syncDelay)
	}
	whole := false
	for range maxFetches {
		latest, age := m.lag.Behind(m.clock.Now())
		if latest == 0 {
			return
		}
		m.metrics.Gauge("ConfigurationBehindMs").Update(float64(age))
		holders := m.lag.Holders()
		if len(holders) == 0 {
			m.readCatalog(ctx, latest, age)
			return
		}
		err := m.fetchChange(ctx, holders[0], whole)
		// A holder whose whole configuration cannot be applied either is of no use.
		useless := whole || cicadapitch.KindOf(err) != cicadapitch.Conflict
		whole = err != nil && !useless
		if err != nil {
			m.log.Warn().Str("From", holders[0]).Int64("Latest", latest).Int64("AgeMs", int64(age)).Err(err).Msg("fetching a configuration from a host failed")
			if useless {
				m.lag.Drop(holders[0])
			}
		}
	}
}

// fetchChange fetches the change to the configuration of the host at an address, or its
// whole configuration, and puts it in force.
func (m *Membership) fetchChange(ctx context.Context, address string, whole bool) error {
	ctx, cancel := context.WithTimeout(ctx, catalogFetchTimeout.Duration())
	defer cancel()
	before := m.View().Catalog
	if whole {
		before = nil
	}
	r := CatalogRequest{}
	if before != nil {
		r.Version = before.Version
	}
	start := m.clock.Now()
	reply, err := peer.Call[CatalogRequest, CatalogReply](ctx, m.dialers.Load().Bulk, address, callCatalogChange, r)
	if err != nil {
		return err
	}
	received := m.clock.Now()
	change, err := decodeChange(reply.Change)
	if err != nil {
		return err
	}
	if change.From == 0 {
		before = nil
	}
	next, err := change.Apply(before)
	if err != nil {
		return err
	}
	now := m.clock.Now()
	m.adoptCatalog(next, catalogSource{
		from: address, revision: fullRevision(reply.Head.Revision, m.eraOf(reply.Head.Era)), age: reply.Head.Age, bytes: len(reply.Change),
		took: received.Sub(start), decodeTook: now.Sub(received), base: change.From, change: reply.Change,
	})
	return nil
}

// readCatalog reads the whole configuration from the store because no host serves it.
func (m *Membership) readCatalog(ctx context.Context, latest int64, age cicadapitch.Millis) {
	kv, err := m.store.Get(ctx, platform.CatalogKey())
	m.log.Info().Int64("Latest", latest).Int64("AgeMs", int64(age)).Int64("Revision", kv.Revision.Number()).Err(err).Msg("configuration read from the store: no host serves it")
	if err == nil {
		m.applyCatalogRecord(fleet.Record{Key: kv.Key, Value: kv.Value, Revision: kv.Revision}, "store")
	}
}

// logStale logs when the configuration becomes stale and when it no longer is. Only
// RunHeartbeats calls it.
func (m *Membership) logStale() {
	lag := m.CatalogLag()
	if lag.Stale == m.loggedStale {
		return
	}
	m.loggedStale = lag.Stale
	m.log.Warn().Bool("Stale", lag.Stale).Int64("Version", lag.Version).Int64("Latest", lag.Latest).
		Int64("AgeMs", int64(lag.Age)).Msg("stale configuration")
}

// serveChange answers a CatalogRequest.
func (m *Membership) serveChange(_ context.Context, r CatalogRequest) (CatalogReply, error) {
	change, version, err := m.history.changeFrom(r.Version)
	if err != nil {
		return CatalogReply{}, err
	}
	if version == 0 {
		return CatalogReply{}, cicadapitch.NewError(cicadapitch.Unavailable, "this host has no configuration", "ask another host")
	}
	head := m.catalogHead(m.clock.Now())
	if head.Version != version {
		// A later one came into force meanwhile; its revision is not that of the change.
		head = CatalogHead{Version: version}
	}
	return CatalogReply{Head: head, Change: change}, nil
}

// CatalogLag returns how far this host's configuration is behind.
func (m *Membership) CatalogLag() fleet.CatalogLag {
	latest, age := m.lag.Behind(m.clock.Now())
	if latest == 0 {
		return fleet.CatalogLag{}
	}
	lag := fleet.CatalogLag{Latest: latest, Age: age}
	if c := m.View().Catalog; c != nil {
		lag.Version = c.Version
	}
	limit := m.settings.Bounds.ConfigurationDelay / staleDivisor
	lag.Stale = limit > 0 && age >= limit
	return lag
}
