package daemon

import (
	"context"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/peer"
)

// fetchMessage is the name of the peer message that fetches the configuration.
const fetchMessage = "Configuration.Fetch"

// fetchRequest asks a peer for its configuration if that is newer than revision
// Have.
type fetchRequest struct{ Have cicadapitch.Revision }

// fetcher implements configuration.Fetcher over the peer transport.
type fetcher struct{ dialer *peer.Dialer }

// Fetch implements configuration.Fetcher.
func (f fetcher) Fetch(
	ctx context.Context, from cicadapitch.Member, have cicadapitch.Revision,
) (configuration.Update, error) {
	return peer.Call[fetchRequest, configuration.Update](ctx, f.dialer, from.PeerAddress, fetchMessage, fetchRequest{have})
}

// serveConfiguration registers the handler for configuration fetches of peers.
func serveConfiguration(s *peer.Server, follower *configuration.Follower) {
	peer.Handle(s, fetchMessage, func(_ context.Context, m fetchRequest) (configuration.Update, error) {
		return follower.UpdateSince(m.Have)
	})
}
