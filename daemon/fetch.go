package daemon

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/peer"
)

const fetchMessage = "Configuration.Fetch"

// fetch asks a host for what is newer than a revision.
type fetch struct{ Have cicadapitch.Revision }

// fetcher implements configuration.Fetcher over the peer transport.
type fetcher struct{ dialer *peer.Dialer }

// Fetch implements configuration.Fetcher.
func (f fetcher) Fetch(
	ctx context.Context, from cicadapitch.Member, have cicadapitch.Revision,
) (configuration.Update, error) {
	return peer.Call[fetch, configuration.Update](ctx, f.dialer, from.PeerAddress, fetchMessage, fetch{have})
}

// serveConfiguration answers the fetches of other hosts.
func serveConfiguration(s *peer.Server, follower *configuration.Follower) {
	peer.Handle(s, fetchMessage, func(_ context.Context, m fetch) (configuration.Update, error) {
		return follower.UpdateSince(m.Have)
	})
}
