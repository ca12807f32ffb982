package host

// Introduce stores the record of each core in all others and drops the updates
// that result, as if the cores had known each other for long.
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

// RecordOf returns the own record of c in its wire form.
func RecordOf(c *Core) Record { return c.self.record() }
