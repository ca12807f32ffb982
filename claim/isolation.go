package claim

// hear notes that this host hears most of the hosts, of which it would learn of
// a change of the configuration.
func (s *State) noteQuorum(t Tick) {
	if s.hasQuorum(t) {
		s.lease.contactUntil = max(s.lease.contactUntil, t.Now.Add(s.policy.IsolationTimeout))
	}
}

// reach notes that the store has answered a call that was sent at a.Sent. The
// next answer is due one renewal later.
func (s *State) noteStoreContact(resp LeaseResponse) {
	span := s.policy.renewInterval(len(s.hostSeen)) + s.policy.IsolationTimeout
	s.lease.contactUntil = max(s.lease.contactUntil, resp.Sent.Add(span))
}
