package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/relay"
)

// relayFleet implements relay.Fleet.
type relayFleet struct{ g *Gateway }

// Relays implements relay.Fleet. Hosts in the endpoint's zone come first, each group in random
// order.
func (f relayFleet) Relays(address string) []fleet.Host {
	hosts := f.g.membership.Relays()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	zone := f.zoneOf(address)
	near, far := lo.FilterReject(hosts, func(h fleet.Host, _ int) bool { return h.Zone == zone })
	return slices.Concat(near, far)
}

func (f relayFleet) zoneOf(address string) cicadapitch.ZoneID {
	e, _ := f.g.membership.View().EndpointAt(address)
	return e.Zone
}

// Relaying implements relay.Fleet.
func (f relayFleet) Relaying(h fleet.Host) bool {
	return slices.ContainsFunc(f.g.membership.Relays(), func(r fleet.Host) bool { return r.Incarnation == h.Incarnation })
}

// Dialer implements relay.Fleet.
func (f relayFleet) Dialer() *peer.Dialer { return f.g.membership.Dialer() }

// EndpointAddresses implements relay.Fleet.
func (f relayFleet) EndpointAddresses() []string { return f.g.membership.View().Addresses() }

// CutOff reports whether this host does not reach most endpoints while other hosts do.
func (g *Gateway) CutOff() bool { return g.paths.CutOff(g.membership.View().Addresses()) }

// RelayHandler serves the connections that this host relays, below relay.Path.
func (g *Gateway) RelayHandler() http.Handler { return g.relays }

// RunRelays returns to direct connections to endpoints once they open again, until ctx ends.
func (g *Gateway) RunRelays(ctx context.Context) { g.relayDialer.Run(ctx) }

// logPath logs and counts a change of what this host believes of its path to an endpoint. Idle
// connections over a path that is cut hang, so they are closed.
func (g *Gateway) logPath(c relay.Change) {
	e, _ := g.membership.View().EndpointAt(c.Address)
	g.log.Info().Str("Endpoint", string(e.ID)).Int64("EntryRevision", e.Revision.Number()).Str("Address", c.Address).
		Stringer("From", c.From).Stringer("To", c.To).Int64("AfterMs", int64(c.After)).Msg("path")
	g.metrics.Tagged(map[string]string{"To": c.To.String()}).Counter("PathChanges").Inc(1)
	if c.To == relay.Relayed {
		go g.endpoints.CloseIdleConnections(c.Address)
	}
}
