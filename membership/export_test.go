package membership

import "cicadapitch.example/cicadapitch"

// HeartbeatTargets is heartbeatTargets, for tests.
var HeartbeatTargets = heartbeatTargets

// AddHeartbeat adds a host with a heartbeat that was received at an instant.
func (m *Membership) AddHeartbeat(hb Heartbeat, at cicadapitch.Instant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.peers[hb.Incarnation] = &peerState{Heartbeat: hb, receivedAt: at}
}

// NewHeartbeat is newHeartbeat.
func (m *Membership) NewHeartbeat() Heartbeat { return m.newHeartbeat() }
