package daemon

import (
	"context"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/host"
)

const (
	// leavePropagationMargin is the time that the Leaving state needs to reach the
	// other hosts. A leaving host waits for this time and for the time to live of the
	// directory before it refuses new requests.
	leavePropagationMargin cicadapitch.Millis = 2000
	// closeTime is the part of the grace that is left for the last responses and for the
	// ends of connections, at most a tenth of the grace.
	closeTime cicadapitch.Millis = 500
)

// shutDown sets the host to Leaving, waits until callers no longer find it in the
// directory, drains the roles and closes the servers. Requests that cannot end within
// ShutdownGraceMillis are refused from the beginning. It returns an error if
// attempts or requests are still running when that time has passed; they end with an
// error that says whether they may have run.
func (d *Daemon) shutDown(roleCtx context.Context, callerServer, peerHTTPServer *http.Server) error {
	d.log.Info().Str("Host", string(d.self.Host)).Msg("leaving")
	grace := d.settings.ShutdownGraceMillis
	closeCtx, cancelClose := context.WithTimeout(roleCtx, grace.Duration())
	defer cancelClose()
	drainTime := grace - min(closeTime, grace/10)
	drainCtx, cancelDrain := context.WithTimeout(closeCtx, drainTime.Duration())
	defer cancelDrain()
	d.leaving.Store(true)
	d.entry.LimitDeadlines(d.clock.Now().Add(drainTime))
	d.group.Update(func(m *cicadapitch.Member) { m.State = cicadapitch.Leaving })
	_ = d.clock.Sleep(drainCtx, host.DirectoryTTL+leavePropagationMargin)
	err := d.drain(drainCtx, closeCtx)
	if err != nil {
		d.log.Warn().Int("Running", d.entry.Running()).Msg("the grace of the shutdown is over; giving up the running requests")
		d.entry.GiveUp()
	}
	_ = callerServer.Shutdown(closeCtx)
	_ = d.peerServer.Close(closeCtx)
	_ = peerHTTPServer.Shutdown(closeCtx)
	_ = d.dialer.Close(closeCtx)
	d.log.Info().Str("Host", string(d.self.Host)).Bool("Cut", err != nil).Msg("stopped")
	return cicadapitch.Wrap(err)
}

// drain refuses new requests, waits until the attempts on this host's shards have
// completed, releases the shards and then waits for the requests that this host accepted.
// It releases the shards before the last step, so that other hosts can run the attempts of
// those requests. closeCtx bounds the release.
func (d *Daemon) drain(ctx, closeCtx context.Context) error {
	d.entry.StopAccepting()
	ownerErr := d.owner.Drain(ctx)
	if err := d.claims.ReleaseAll(closeCtx); err != nil {
		d.log.Warn().Err(err).Msg("failed to release claims")
	}
	if err := d.entry.Drain(ctx); err != nil {
		return err
	}
	return ownerErr
}

// closeConnections makes responses close their connection while the host leaves, so that callers go
// elsewhere.
func (d *Daemon) closeConnections(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
