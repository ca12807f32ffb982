package daemon

import (
	"context"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

// leavePropagationMargin is the time that the Leaving state needs to reach the
// other hosts. A leaving host waits for this time and for the time to live of the
// directory before it refuses new requests.
const leavePropagationMargin cicadapitch.Millis = 2000

// shutDown sets the host to Leaving, waits until callers no longer find it in the
// directory, drains the roles and closes the servers. It returns an error if
// attempts or requests are still running when ShutdownGraceMillis has passed.
func (d *Daemon) shutDown(roleCtx context.Context, callerServer, peerHTTPServer *http.Server) error {
	d.log.Info().Str("Host", string(d.self.Host)).Msg("leaving")
	graceCtx, cancel := context.WithTimeout(roleCtx, d.settings.ShutdownGraceMillis.Duration())
	defer cancel()
	d.group.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Leaving })
	_ = d.clock.Sleep(graceCtx, host.DirectoryTTL+leavePropagationMargin)
	err := d.drain(graceCtx)
	_ = callerServer.Shutdown(graceCtx)
	_ = d.peerServer.Close(graceCtx)
	_ = peerHTTPServer.Shutdown(graceCtx)
	_ = d.dialer.Close(graceCtx)
	d.log.Info().Str("Host", string(d.self.Host)).Bool("Cut", err != nil).Msg("stopped")
	return cicadapitch.Wrap(err)
}

// drain waits until the attempts on this host's shards have completed, releases the
// shards and then waits for the requests that this host accepted. It releases the
// shards before the last step, so that other hosts can run the attempts of those
// requests.
func (d *Daemon) drain(ctx context.Context) error {
	ownerErr := d.owner.Drain(ctx)
	if err := d.claims.ReleaseAll(ctx); err != nil {
		d.log.Warn().Err(err).Msg("failed to release claims")
	}
	if err := d.entry.Drain(ctx); err != nil {
		return err
	}
	return ownerErr
}
