package claim

// hear notes that this host hears most of the hosts, of which it would learn of
// a change of the configuration.
func (s *State) hear(t Tick) {
	if s.quorum(t) {
		s.leasing.contact = max(s.leasing.contact, t.Now.Add(s.policy.IsolationTimeout))
	}
}

// reach notes that the store has answered a call that was sent at a.Sent. The
// next answer is due one renewal later.
func (s *State) reach(a LeaseResponse) {
	span := s.policy.renewEvery(len(s.known)) + s.policy.IsolationTimeout
	s.leasing.contact = max(s.leasing.contact, a.Sent.Add(span))
}
