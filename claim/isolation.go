package claim

// noteQuorum extends the isolation deadline while this host has a quorum: a change
// of the configuration would reach it through the other hosts.
func (s *State) noteQuorum(t Tick) {
	if s.hasQuorum(t) {
		s.lease.contactUntil = max(s.lease.contactUntil, t.Now.Add(s.policy.IsolationTimeout))
	}
}

// noteStoreContact extends the isolation deadline after the store answered the
// call that was sent at a.Sent. It covers the time until the next renewal is due.
func (s *State) noteStoreContact(resp LeaseResponse) {
	span := s.policy.renewInterval(len(s.hostSeen)) + s.policy.IsolationTimeout
	s.lease.contactUntil = max(s.lease.contactUntil, resp.Sent.Add(span))
}
