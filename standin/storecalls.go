package standin

// Calls counts the calls to a store by operation. It is encoded as JSON in GET
// /calls of the store.
type Calls struct {
	Get, List, Commit, Grant, Renew, Revoke, Watch int64
	// OpenWatches is the number of watches that are open now.
	OpenWatches int64 `json:"Waiting"`
	// Refused is the number of refused calls. They are also counted by
	// operation.
	Refused int64
}

// Total returns the number of all calls.
func (c Calls) Total() int64 { return c.Reads() + c.Writes() }

// Reads returns the number of calls that only read.
func (c Calls) Reads() int64 { return c.Get + c.List + c.Watch }

// Writes returns the number of calls that write.
func (c Calls) Writes() int64 { return c.Commit + c.Grant + c.Renew + c.Revoke }

// Calls returns the counts so far.
func (s *MemoryStore) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}
