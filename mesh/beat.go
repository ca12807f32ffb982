package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// hostLease is how long the host's entry outlives it. With a heartbeat's
	// silence before, a dead host is out of the directory long before the
	// contract's limit.
	hostLease cicadapitch.Millis = 4000
	// renewInterval leaves room for two lost renewals.
	renewInterval cicadapitch.Millis = 1200
	// behindAfter is how long a host waits for a change that another host has
	// before it asks that host.
	behindAfter cicadapitch.Millis = 250
)

func (m *Mesh) peerAddress() string {
	return net.JoinHostPort(m.settings.IP, strconv.Itoa(m.settings.PeerPort))
}

// Secret reads the deployment's secret, and creates it if there is none.
func (m *Mesh) Secret(ctx context.Context) ([]byte, error) {
	for {
		items, _, err := m.store.List(ctx, secretKey)
		if err == nil && len(items) > 0 {
			return items[0].Value, nil
		}
		if err == nil {
			fresh := []byte(newIncarnation() + newIncarnation())
			_, err = m.store.Commit(ctx, []cicadapitch.Compare{{Key: secretKey}}, []cicadapitch.Put{{Key: secretKey, Value: fresh}})
		}
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			m.storeFailed(err)
		}
		if err := m.clock.Sleep(ctx, retryFirst); err != nil {
			return nil, err
		}
	}
}

// Join takes part in the exchange with other hosts over s and d.
func (m *Mesh) Join(s *peer.Server, d *peer.Dialer) {
	peer.Handle(s, callBeat, func(_ context.Context, b Beat) (Beat, error) {
		m.hear(b)
		return m.beat(), nil
	})
	peer.Handle(s, callSync, func(_ context.Context, r SyncRequest) (SyncReply, error) {
		m.mu.Lock()
		defer m.mu.Unlock()
		return SyncReply{Revision: m.mirror.At(), Records: m.mirror.Since(r.Since)}, nil
	})
	m.dialer.Store(d)
}

func (m *Mesh) beat() Beat {
	own, loads, ready, watches := m.waits(), m.loads(), m.Ready(), m.watchesStore()
	now := m.clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	waits := m.freshWaits(now)
	for s, w := range own {
		waits[s] = AgedWaits{Waits: w}
	}
	return Beat{
		Host: m.settings.Host, Incarnation: m.incarnation, Ready: ready, Revision: m.mirror.At(),
		Loads: loads, Waits: waits, Down: m.down(now), StoreAway: watches && !m.storeUp,
	}
}

func (m *Mesh) hear(b Beat) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	m.hearRumors(now, b)
	if b.StoreAway {
		m.awayHeard = now
	}
	h := m.heard[b.Incarnation]
	if h == nil {
		return
	}
	if h.at == 0 || now.Sub(h.at) >= silentAfter {
		m.log.Info().Str("Host", string(b.Host)).Bool("Ready", b.Ready).Msg("host heard")
	}
	h.Beat, h.at = b, now
}

// watch sets the hosts that this host sends heartbeats to.
func (m *Mesh) watch(hosts []fleet.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	next := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		next[h.Incarnation] = true
		if heard := m.heard[h.Incarnation]; heard != nil && !m.watched[h.Incarnation] && now.Sub(heard.at) >= silentAfter {
			// It has had no heartbeat from here yet.
			heard.at, heard.first = 0, now
		}
	}
	m.watched = next
}

// Beats exchanges heartbeats with the other hosts until ctx ends.
func (m *Mesh) Beats(ctx context.Context) {
	for m.nextBeat(ctx) {
		d := m.Dialer()
		if d == nil {
			continue
		}
		m.settle()
		hosts := neighboursOf(m.incarnation, m.View().Hosts)
		m.watch(hosts)
		for _, h := range hosts {
			go m.beatOne(ctx, d, h)
		}
	}
}

// nextBeat waits for the next heartbeat, which is due at once when the host has
// begun to leave. It reports false once ctx has ended.
func (m *Mesh) nextBeat(ctx context.Context) bool {
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	unlink := context.AfterFunc(m.left, cancel)
	defer unlink()
	if m.left.Err() != nil && m.toldLeaving {
		return m.clock.Sleep(ctx, beatInterval) == nil
	}
	// An early end is the news that the host leaves, or the end of ctx.
	_ = m.clock.Sleep(wait, beatInterval)
	m.toldLeaving = m.left.Err() != nil
	return ctx.Err() == nil
}

func (m *Mesh) settle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.take(m.clock.Now(), nil, "timer")
}

func (m *Mesh) beatOne(ctx context.Context, d *peer.Dialer, h fleet.Host) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout.Duration())
	defer cancel()
	b, err := peer.Call[Beat, Beat](ctx, d, h.Peers, callBeat, m.beat())
	if err != nil {
		m.missed(h, err)
		return
	}
	m.hear(b)
	m.mu.Lock()
	at := m.mirror.At()
	m.mu.Unlock()
	if b.Revision <= at {
		return
	}
	// To a host that watches, the change is most likely on its way.
	if m.watchesStore() && m.clock.Sleep(ctx, behindAfter) != nil {
		return
	}
	m.syncFrom(ctx, d, h, b.Revision)
}

func (m *Mesh) missed(h fleet.Host, err error) {
	now := m.clock.Now()
	m.mu.Lock()
	heard := m.heard[h.Incarnation]
	silent := heard != nil && heard.at > 0 && now.Sub(heard.at) >= silentAfter && now.Sub(heard.at) < silentAfter+beatInterval+beatTimeout
	m.mu.Unlock()
	if silent {
		m.log.Warn().Str("Host", string(h.ID)).Err(err).Msg("host silent")
	}
}

func (m *Mesh) syncFrom(ctx context.Context, d *peer.Dialer, h fleet.Host, known cicadapitch.StoreRevision) {
	m.mu.Lock()
	at := m.mirror.At()
	m.mu.Unlock()
	if at >= known {
		return
	}
	r, err := peer.Call[SyncRequest, SyncReply](ctx, d, h.Peers, callSync, SyncRequest{Since: at})
	if err != nil {
		m.log.Warn().Str("Host", string(h.ID)).Int64("Since", int64(at)).Err(err).Msg("changes could not be fetched from a host")
		return
	}
	m.apply(r.Records, r.Revision, string(h.ID))
}

// HoldEntry keeps the host's entry in the store until ctx ends.
func (m *Mesh) HoldEntry(ctx context.Context) {
	value, err := json.Marshal(hostRecord{
		Host: m.settings.Host, Incarnation: m.incarnation, Zone: m.settings.Zone,
		Callers: m.settings.CallerListen, Peers: m.peerAddress(),
	})
	if err != nil {
		m.log.Error().Err(err).Msg("the host's entry cannot be encoded")
		return
	}
	for ctx.Err() == nil && !m.leaving.Load() {
		pause := renewInterval
		if err := m.holdOnce(ctx, value); err != nil {
			m.log.Warn().Err(err).Msg("the host's lease could not be renewed")
			pause = retryMost
		}
		// The only error is that ctx has ended, which the loop sees.
		_ = m.clock.Sleep(ctx, pause)
	}
}

func (m *Mesh) holdOnce(ctx context.Context, value []byte) error {
	m.mu.Lock()
	lease := m.lease
	m.mu.Unlock()
	if lease != 0 {
		_, err := m.store.Renew(ctx, lease)
		if !errors.Is(err, platform.ErrNoLease) {
			return err
		}
	}
	if m.View().Catalog == nil {
		return nil
	}
	lease, err := m.store.Grant(ctx, max(hostLease, m.settings.Store.MinLease))
	if err != nil {
		return err
	}
	entry := cicadapitch.Put{Key: hostPrefix + m.incarnation, Value: value, Lease: lease}
	if _, err := m.store.Commit(ctx, nil, []cicadapitch.Put{entry}); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.leaving.Load() {
		m.lease = lease
	}
	return nil
}
