package host

// Introduce makes cores know each other as if they had done so long ago.
func Introduce(cores []*Core) {
	for _, c := range cores {
		for _, other := range cores {
			if other != c {
				c.mergeRecord(c.lastTick, other.self.record())
			}
		}
		c.updates.pending = nil
		c.pushPending = false
	}
}

// RecordOf returns the own record of a core as it crosses the wire.
func RecordOf(c *Core) Record { return c.self.record() }
