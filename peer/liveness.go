package peer

import "cicadapitch.example/cicadapitch"

// liveness decides when a connection sends heartbeats and when it has timed
// out. It reads no clock: the current time is passed to its methods.
type liveness struct {
	interval cicadapitch.Millis
	// echoTimeout is the time without an echo after which the connection has
	// timed out.
	echoTimeout cicadapitch.Millis
	// lastReceivedAt is when the last message arrived, or the connection opened
	// if none has arrived.
	lastReceivedAt cicadapitch.Instant
	// lastSentNumber is the number of the last heartbeat, lastEchoedNumber that of
	// the last heartbeat that was answered.
	lastSentNumber, lastEchoedNumber uint64
	// unechoedSince is the start of the timeout for heartbeats without an echo.
	unechoedSince cicadapitch.Instant
	// lastTickAt is the time of the last tick, 0 if there is none to compare
	// with.
	lastTickAt cicadapitch.Instant
}

// tickResult is the action that a tick requires.
type tickResult struct {
	// Heartbeat is the number of the heartbeat to send, 0 for none.
	Heartbeat uint64
	// TimedOut is true if no echo arrived within echoTimeout.
	TimedOut bool
}

// tick returns the next heartbeat to send or that the connection has timed out.
// Only an echo shows that both directions work, so a connection that still
// receives frames but no longer delivers them times out too.
func (l *liveness) tick(now cicadapitch.Instant) tickResult {
	if l.lastTickAt != 0 && now.Sub(l.lastTickAt) > 2*l.interval {
		// This process was paused, so echoes may have arrived that it has
		// not read yet. Restart the timeout.
		l.unechoedSince = now
	}
	l.lastTickAt = now
	if l.lastSentNumber > l.lastEchoedNumber && now.Sub(l.unechoedSince) >= l.echoTimeout {
		return tickResult{TimedOut: true}
	}
	return tickResult{Heartbeat: l.nextHeartbeat(now)}
}

// nextHeartbeat records that a heartbeat is sent now and returns its number.
func (l *liveness) nextHeartbeat(now cicadapitch.Instant) uint64 {
	if l.lastSentNumber == l.lastEchoedNumber {
		l.unechoedSince = now
	}
	l.lastSentNumber++
	return l.lastSentNumber
}

// clearLastTick clears the last tick. A connection without calls has no ticks,
// and that gap must not look like a pause of the process.
func (l *liveness) clearLastTick() { l.lastTickAt = 0 }

// recordReceived records that a message arrived.
func (l *liveness) recordReceived(now cicadapitch.Instant) { l.lastReceivedAt = now }

// recordEcho records the echo of a heartbeat. It ignores the echoes of earlier
// heartbeats and of numbers that were never sent.
func (l *liveness) recordEcho(number uint64, now cicadapitch.Instant) {
	if number <= l.lastEchoedNumber || number > l.lastSentNumber {
		return
	}
	l.lastEchoedNumber = number
	// Restart the timeout for the later heartbeats, which were sent after this
	// echo or shortly before it.
	l.unechoedSince = now
}
