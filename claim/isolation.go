package claim

// extendIsolationDeadlineByQuorum extends the isolation deadline while this host has a
// quorum: a change of the configuration would reach it through the other hosts.
func (s *State) extendIsolationDeadlineByQuorum(t Tick) {
	if s.hasQuorum(t) {
		s.lease.isolationDeadline = max(s.lease.isolationDeadline, t.Now.Add(s.policy.IsolationTimeout))
	}
}

// extendIsolationDeadlineByStore extends the isolation deadline after the store
// answered the call that was sent at resp.Sent. The new deadline covers the time until
// the next renewal is due.
func (s *State) extendIsolationDeadlineByStore(resp LeaseResponse) {
	span := s.policy.renewInterval(len(s.hostSeen)) + s.policy.IsolationTimeout
	s.lease.isolationDeadline = max(s.lease.isolationDeadline, resp.Sent.Add(span))
}
