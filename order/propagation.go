package order

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
)

// MemberPropagation reads the hosts' revisions from the membership records.
type MemberPropagation struct{ members cicadapitch.Members }

// NewMemberPropagation returns a spread over the members.
func NewMemberPropagation(members cicadapitch.Members) *MemberPropagation {
	return &MemberPropagation{members: members}
}

// InForce implements Spread.
func (s *MemberPropagation) InForce(_ context.Context, r cicadapitch.Revision) (n, m int) {
	return configuration.CountInForce(s.members.Members(), r)
}

// HostsUp implements Spread. Hosts that are still starting take no callers and are
// left out, as InForce does.
func (s *MemberPropagation) HostsUp() map[cicadapitch.HostID]bool {
	up := make(map[cicadapitch.HostID]bool)
	for _, m := range s.members.Members() {
		up[m.Host] = m.State != cicadapitch.Starting && m.State != cicadapitch.Dead
	}
	return up
}
