package host

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

const (
	// minListInterval is the least interval between reads of the host list by
	// one host.
	minListInterval cicadapitch.Millis = 5 * cicadapitch.Second
	// listIntervalPerHost, times the number of hosts, is the read interval of
	// one host, so that the total read rate of all hosts is bounded.
	listIntervalPerHost cicadapitch.Millis = 100
)

// pollHostList reads the platform's host list at intervals until ctx ends. The
// list is stale, so it only provides seed addresses and marks hosts as leaving,
// and never removes a host.
func (g *Group) pollHostList(ctx context.Context) {
	if g.opts.hostList == nil {
		return
	}
	for {
		hosts, err := g.opts.hostList.Hosts(ctx)
		if err == nil {
			g.applyHostList(hosts)
		} else if ctx.Err() == nil {
			g.opts.log.Warn().Err(err).Msg("cannot read the host list")
		}
		n := cicadapitch.Millis(len(g.Members()))
		if g.opts.clock.Sleep(ctx, max(minListInterval, n*listIntervalPerHost)) != nil {
			return
		}
	}
}

// applyHostList sets the seeds to the listed addresses and the configured ones,
// and stores since when each host has been listed as leaving.
func (g *Group) applyHostList(hosts []cicadapitch.ListedHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := lo.Map(hosts, func(h cicadapitch.ListedHost, _ int) string { return h.PeerAddress })
	g.core.SetSeeds(lo.Uniq(append(addresses, g.opts.seeds...)))
	now := g.opts.clock.Now()
	leaving := make(map[cicadapitch.HostID]cicadapitch.Instant)
	for _, h := range hosts {
		if !h.Leaving {
			continue
		}
		since, ok := g.listedLeaving[h.Host]
		if !ok {
			since = now
		}
		leaving[h.Host] = since
	}
	changed := len(lo.Without(lo.Keys(leaving), lo.Keys(g.listedLeaving)...)) > 0 || len(leaving) != len(g.listedLeaving)
	g.listedLeaving = leaving
	if changed {
		g.signalChange()
	}
}

// listedAsLeaving reports whether m is ready and its host is listed as leaving. A
// process that started after the host was first listed as leaving is a new one,
// to which the listing does not apply.
func (g *Group) listedAsLeaving(m cicadapitch.Member) bool {
	since, ok := g.listedLeaving[m.Host]
	return ok && m.State == cicadapitch.Ready && m.Started <= since
}
