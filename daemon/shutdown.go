package daemon

import (
	"context"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

// leaveMargin is added to the directory's time to live before a leaving host
// refuses new requests, so that its new state reaches the other hosts.
const leaveMargin cicadapitch.Millis = 2000

// shutDown leaves the directory, waits until callers have stopped using it,
// hands the shards over and ends once the last request has its answer.
func (d *Daemon) shutDown(work context.Context, callers, peers *http.Server) error {
	d.log.Info().Str("Host", string(d.self.Host)).Msg("leaving")
	grace, cancel := context.WithTimeout(work, d.settings.ShutdownGraceMillis.Duration())
	defer cancel()
	d.group.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Leaving })
	_ = d.clock.Sleep(grace, host.DirectoryTTL+leaveMargin)
	err := d.drain(grace)
	_ = callers.Shutdown(grace)
	_ = d.peers.Close(grace)
	_ = peers.Shutdown(grace)
	_ = d.dialer.Close(grace)
	d.log.Info().Str("Host", string(d.self.Host)).Bool("Cut", err != nil).Msg("stopped")
	return cicadapitch.Wrap(err)
}

// drain hands the shards over first, so that the attempts of this host's own
// requests run elsewhere while it finishes them.
func (d *Daemon) drain(ctx context.Context) error {
	ownerErr := d.owner.Drain(ctx)
	if err := d.claims.ReleaseAll(ctx); err != nil {
		d.log.Warn().Err(err).Msg("claims not released")
	}
	if err := d.entry.Drain(ctx); err != nil {
		return err
	}
	return ownerErr
}
