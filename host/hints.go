package host

import (
	"context"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

const (
	// listInterval is the least span between two readings of the platform's
	// list.
	listInterval cicadapitch.Millis = 5 * cicadapitch.Second
	// listIntervalPerHost keeps the readings of all hosts together constant.
	listIntervalPerHost cicadapitch.Millis = 100
)

// followList reads the platform's list again and again. It lags, so it gives
// addresses to begin with and hints, and never removes a host.
func (g *Group) followList(ctx context.Context) {
	if g.opts.list == nil {
		return
	}
	for {
		hosts, err := g.opts.list.Hosts(ctx)
		if err == nil {
			g.takeList(hosts)
		} else if ctx.Err() == nil {
			g.opts.log.Warn().Err(err).Msg("host list not read")
		}
		n := cicadapitch.Millis(len(g.Members()))
		if g.opts.clock.Sleep(ctx, max(listInterval, n*listIntervalPerHost)) != nil {
			return
		}
	}
}

func (g *Group) takeList(hosts []cicadapitch.ListedHost) {
	g.mu.Lock()
	defer g.mu.Unlock()
	addresses := lo.Map(hosts, func(h cicadapitch.ListedHost, _ int) string { return h.PeerAddress })
	g.core.SetSeeds(lo.Uniq(append(addresses, g.opts.peers...)))
	now := g.opts.clock.Now()
	hints := make(map[cicadapitch.HostID]cicadapitch.Instant)
	for _, h := range hosts {
		if !h.Leaving {
			continue
		}
		since, ok := g.hints[h.Host]
		if !ok {
			since = now
		}
		hints[h.Host] = since
	}
	changed := len(lo.Without(lo.Keys(hints), lo.Keys(g.hints)...)) > 0 || len(hints) != len(g.hints)
	g.hints = hints
	if changed {
		g.wake()
	}
}

// hinted reports whether the list says that a ready host leaves. A process that
// started after the list first said so is another one.
func (g *Group) hinted(m cicadapitch.Member) bool {
	since, ok := g.hints[m.Host]
	return ok && m.State == cicadapitch.Ready && m.Started <= since
}
