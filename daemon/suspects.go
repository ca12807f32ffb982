package daemon

import (
	"context"
	"math/rand/v2"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/quarantine"
)

// suspectsMessage is the name of the peer message with reports of prefixes that crash
// endpoints.
const suspectsMessage = "Endpoint.Suspects"

const (
	// suspectsInterval is the pause between two exchanges of reports.
	suspectsInterval cicadapitch.Millis = 500
	// suspectsTimeout bounds one exchange.
	suspectsTimeout cicadapitch.Millis = 1000
)

// suspectsFanout bounds the hosts with which a host exchanges reports at a time.
const suspectsFanout = 8

// suspectsNotice carries reports in both directions.
type suspectsNotice struct{ Reports []quarantine.Report }

// suspectSharer shares the ledger of prefixes that crash endpoints with other hosts.
type suspectSharer struct {
	ledger *quarantine.Ledger
	// others returns the other hosts that are ready.
	others func() []cicadapitch.Member
	dialer *peer.Dialer
	clock  cicadapitch.Clock
	log    zerolog.Logger
}

// serve registers the handler for the reports of other hosts.
func (s *suspectSharer) serve(server *peer.Server) {
	peer.Handle(server, suspectsMessage, func(_ context.Context, n suspectsNotice) (suspectsNotice, error) {
		now := s.clock.Now()
		s.ledger.Merge(now, n.Reports)
		return suspectsNotice{s.ledger.Reports(now)}, nil
	})
}

// otherReadyHosts returns the other hosts of a group that are ready.
func otherReadyHosts(g *host.Group) []cicadapitch.Member {
	self := g.Self().Host
	return lo.Filter(g.Members(), func(m cicadapitch.Member, _ int) bool {
		return m.Host != self && m.State == cicadapitch.Ready
	})
}

// tell sends reports to all other hosts in the background.
func (s *suspectSharer) tell(reports []quarantine.Report) {
	for _, m := range s.others() {
		go s.exchange(context.Background(), m, reports)
	}
}

// run exchanges all reports with some other hosts at a time until ctx ends, so that hosts
// which missed one or have just joined get it. Without suspects it sends nothing; a host
// that joins hears of them from those that know some.
func (s *suspectSharer) run(ctx context.Context) {
	for s.clock.Sleep(ctx, suspectsInterval) == nil {
		reports := s.ledger.Reports(s.clock.Now())
		if len(reports) == 0 {
			continue
		}
		others := s.others()
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		for _, m := range others[:min(len(others), suspectsFanout)] {
			go s.exchange(ctx, m, reports)
		}
	}
}

// exchange sends reports to a host and merges those that it answers with.
func (s *suspectSharer) exchange(ctx context.Context, m cicadapitch.Member, reports []quarantine.Report) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout.Duration())
	defer cancel()
	answer, err := peer.Call[suspectsNotice, suspectsNotice](ctx, s.dialer, m.PeerAddress, suspectsMessage, suspectsNotice{reports})
	if err != nil {
		s.log.Warn().Str("Peer", string(m.Host)).Int("Suspects", len(reports)).Err(err).Msg("telling a host of suspected prefixes failed")
		return
	}
	s.ledger.Merge(s.clock.Now(), answer.Reports)
}

// logChange logs a change of a prefix's quarantine.
func (s *suspectSharer) logChange(c quarantine.Change) {
	s.log.Warn().Str("Prefix", c.Part).Stringer("State", c.State).Int("Crashes", c.Crashes).Msg("quarantine")
}
