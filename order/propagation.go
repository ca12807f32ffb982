package order

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
)

// MemberPropagation implements Propagation with the revisions in the membership
// records.
type MemberPropagation struct{ members cicadapitch.Members }

// NewMemberPropagation returns a MemberPropagation that reads members.
func NewMemberPropagation(members cicadapitch.Members) *MemberPropagation {
	return &MemberPropagation{members: members}
}

// InForce implements Propagation.
func (p *MemberPropagation) InForce(_ context.Context, r cicadapitch.Revision) (inForce, total int) {
	return configuration.CountInForce(p.members.Members(), r)
}

// HostsUp implements Propagation. Like InForce, it excludes starting hosts, since
// they do not accept requests yet.
func (p *MemberPropagation) HostsUp() map[cicadapitch.HostID]bool {
	up := make(map[cicadapitch.HostID]bool)
	for _, m := range p.members.Members() {
		up[m.Host] = m.State != cicadapitch.Starting && m.State != cicadapitch.Dead
	}
	return up
}
