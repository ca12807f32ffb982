package order

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// MemberSpread reads the hosts' revisions from the membership records.
type MemberSpread struct{ members cicadapitch.Members }

// NewMemberSpread returns a spread over the members.
func NewMemberSpread(members cicadapitch.Members) *MemberSpread {
	return &MemberSpread{members: members}
}

// InForce implements Spread. Hosts that are still starting take no callers and
// do not count.
func (s *MemberSpread) InForce(_ context.Context, r cicadapitch.Revision) (n, m int) {
	for _, h := range s.members.Members() {
		if h.State == cicadapitch.Starting || h.State == cicadapitch.Dead {
			continue
		}
		m++
		if h.Revision >= r {
			n++
		}
	}
	return n, m
}
