package gateway

import (
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/placement"
)

// idleLimit returns how many idle connections to an endpoint this host keeps.
func (g *Gateway) idleLimit(e catalog.Endpoint) int {
	accepted := 0
	if c := g.membership.View().Catalog; c != nil && c.Services[e.Service] != nil {
		accepted = c.Services[e.Service].MaxConnections
	}
	return placement.IdleConnections(accepted, g.hostCount(), func() int {
		return g.positionAmong(g.membership.Hosts())(string(e.ID))
	})
}
