package peer

import "cicadapitch.example/cicadapitch"

// liveness decides when a connection sends heartbeats and when it has timed
// out. It reads no clock: the current time is passed to its methods.
type liveness struct {
	interval       cicadapitch.Millis
	silenceTimeout cicadapitch.Millis
	// lastReceived is when the last message arrived.
	lastReceived cicadapitch.Instant
	// lastSent is the number of the last heartbeat, lastEchoed that of the last
	// heartbeat that was answered.
	lastSent, lastEchoed uint64
	// unechoedSince is the start of the timeout for heartbeats without an echo.
	unechoedSince cicadapitch.Instant
	// lastTick is the time of the last tick, 0 if there is none to compare
	// with.
	lastTick cicadapitch.Instant
}

// tickResult is the action that a tick requires.
type tickResult struct {
	// Heartbeat is the number of the heartbeat to send, 0 for none.
	Heartbeat uint64
	// TimedOut is true if no echo arrived within silenceTimeout.
	TimedOut bool
}

// tick returns the next heartbeat to send or that the connection has timed out.
// Only an echo shows that both directions work, so a connection that still
// receives frames but no longer delivers them times out too.
func (l *liveness) tick(now cicadapitch.Instant) tickResult {
	if l.lastTick != 0 && now.Sub(l.lastTick) > 2*l.interval {
		// This process was paused, so echoes may have arrived that it has
		// not read yet. Restart the timeout.
		l.unechoedSince = now
	}
	l.lastTick = now
	if l.lastSent > l.lastEchoed && now.Sub(l.unechoedSince) >= l.silenceTimeout {
		return tickResult{TimedOut: true}
	}
	return tickResult{Heartbeat: l.nextHeartbeat(now)}
}

// nextHeartbeat records that a heartbeat is sent now and returns its number.
func (l *liveness) nextHeartbeat(now cicadapitch.Instant) uint64 {
	if l.lastSent == l.lastEchoed {
		l.unechoedSince = now
	}
	l.lastSent++
	return l.lastSent
}

// clearLastTick clears the last tick. A connection without calls has no ticks,
// and that gap must not look like a pause of the process.
func (l *liveness) clearLastTick() { l.lastTick = 0 }

// recordReceived records that a message arrived.
func (l *liveness) recordReceived(now cicadapitch.Instant) { l.lastReceived = now }

// recordEcho records the echo of a heartbeat. It ignores the echoes of earlier
// heartbeats and of numbers that were never sent.
func (l *liveness) recordEcho(number uint64, now cicadapitch.Instant) {
	if number <= l.lastEchoed || number > l.lastSent {
		return
	}
	l.lastEchoed = number
	// Restart the timeout for the later heartbeats, which were sent after this
	// echo or shortly before it.
	l.unechoedSince = now
}
