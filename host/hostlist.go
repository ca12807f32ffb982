package host

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

const (
	// minListInterval is the least span between two readings of the platform's
	// list.
	minListInterval cicadapitch.Millis = 5 * cicadapitch.Second
	// listIntervalPerHost keeps the readings of all hosts together constant.
	listIntervalPerHost cicadapitch.Millis = 100
)

// pollHostList reads the platform's list again and again. It lags, so it gives
// addresses to begin with and hints, and never removes a host.
func (g *Group) pollHostList(ctx context.Context) {
	if g.opts.hostList == nil {
		return
	}
	for {
		hosts, err := g.opts.hostList.Hosts(ctx)
		if err == nil {
			g.applyHostList(hosts)
		} else if ctx.Err() == nil {
			g.opts.log.Warn().Err(err).Msg("host list not read")
		}
		n := cicadapitch.Millis(len(g.Members()))
		if g.opts.clock.Sleep(ctx, max(minListInterval, n*listIntervalPerHost)) != nil {
			return
		}
	}
}

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

// listedAsLeaving reports whether the list says that a ready host leaves. A process that
// started after the list first said so is another one.
func (g *Group) listedAsLeaving(m cicadapitch.Member) bool {
	since, ok := g.listedLeaving[m.Host]
	return ok && m.State == cicadapitch.Ready && m.Started <= since
}
