package peer

import "cicadapitch.example/cicadapitch"

// liveness decides when a connection sends heartbeats and when it is given up.
// Its methods are pure: the instant is passed in.
type liveness struct {
	interval cicadapitch.Millis
	silence  cicadapitch.Millis
	// received is when the last frame came.
	received cicadapitch.Instant
	// sent is the number of the last heartbeat and echoed the last answered.
	sent, echoed uint64
	// waiting is when the oldest heartbeat without an echo was sent.
	waiting cicadapitch.Instant
	ticked  cicadapitch.Instant
}

// verdict is what a tick asks for.
type verdict struct {
	// Heartbeat is the number to send, 0 for none.
	Heartbeat uint64
	// GiveUp is true once the connection counts as silent.
	GiveUp bool
}

// tick judges the connection. An echo proves both directions, so a connection
// that still receives but no longer delivers is given up too.
func (l *liveness) tick(now cicadapitch.Instant) verdict {
	if l.ticked != 0 && now.Sub(l.ticked) > 2*l.interval {
		// This process was paused itself, and echoes may wait unread.
		l.waiting = now
	}
	l.ticked = now
	if l.sent > l.echoed && now.Sub(l.waiting) >= l.silence {
		return verdict{GiveUp: true}
	}
	return verdict{Heartbeat: l.beat(now)}
}

// beat counts a heartbeat that is about to be sent.
func (l *liveness) beat(now cicadapitch.Instant) uint64 {
	if l.sent == l.echoed {
		l.waiting = now
	}
	l.sent++
	return l.sent
}

// rest forgets the last tick, because a connection without calls is not judged.
func (l *liveness) rest() { l.ticked = 0 }

// receive records any frame.
func (l *liveness) receive(now cicadapitch.Instant) { l.received = now }

// echo records the answer to a heartbeat.
func (l *liveness) echo(number uint64, now cicadapitch.Instant) {
	if number <= l.echoed || number > l.sent {
		return
	}
	l.echoed = number
	// The heartbeats still out were sent after this one was answered or
	// shortly before.
	l.waiting = now
}
