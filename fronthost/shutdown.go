package fronthost

import (
	"context"
	"net/http"
	"slices"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/membership"
)

const (
	// directoryExpiry is how long after a stop was asked for callers may come with an answer of
	// the directory that names this host, at most a third of the shutdown grace.
	directoryExpiry = membership.DirectoryTTL + 500
	// turnSpread is the time over which hosts that stop together end one after the other, so that
	// the first ones are back before the last ones end.
	turnSpread = 3 * cicadapitch.Second
	// turnPollInterval is the pause between two looks whether another host takes callers.
	turnPollInterval cicadapitch.Millis = 50
	// firstRequestTime is how long after the listener has closed callers that have connected may
	// begin a request.
	firstRequestTime cicadapitch.Millis = 300
	// idlePollInterval is the pause between two looks whether the host is idle.
	idlePollInterval cicadapitch.Millis = 20
	// listenStopMargin is how long before the end of the shutdown grace the listener for
	// callers closes at the latest.
	listenStopMargin cicadapitch.Millis = 1200
	// giveUpMargin is how long before the end of the shutdown grace the host gives up
	// the requests in progress.
	giveUpMargin cicadapitch.Millis = 400
	// exitMargin is how long before the end of the shutdown grace the process ends, even if
	// callers have not taken their answers.
	exitMargin cicadapitch.Millis = 150
	// lastBytesTime is left for the last answers to reach their callers. Connections that the end of
	// the process closes may lose them.
	lastBytesTime cicadapitch.Millis = 50
)

// shutdownPlan says when a host that stops closes its listener for callers.
type shutdownPlan struct {
	// expiry is when no answer of the directory names the host any more, latest when the listener
	// closes whatever callers need. Both count from the request to stop.
	expiry, latest cicadapitch.Millis
	// turn is how long after expiry the listener closes while no other host takes callers.
	turn cicadapitch.Millis
}

// newShutdownPlan returns the plan of the host self among all hosts.
func newShutdownPlan(grace cicadapitch.Millis, self cicadapitch.HostID, hosts []cicadapitch.HostID) shutdownPlan {
	p := shutdownPlan{expiry: min(directoryExpiry, grace/3), latest: max(grace-listenStopMargin, 0)}
	ranked := fleet.Rank("stop", hosts, func(id cicadapitch.HostID) string { return string(id) })
	if i := slices.Index(ranked, self); i > 0 {
		p.turn = turnSpread * cicadapitch.Millis(i) / cicadapitch.Millis(len(ranked))
	}
	return p
}

// closes reports whether the listener closes, elapsed after the request to stop. others is the
// number of other hosts that take callers. A host that nobody waits for comes back sooner.
func (p shutdownPlan) closes(elapsed cicadapitch.Millis, others int) bool {
	switch {
	case elapsed >= p.latest:
		return true
	case elapsed < p.expiry:
		return false
	}
	return others > 0 || elapsed >= p.expiry+p.turn
}

// shutDown makes responses close their connection, passes on only what is answered in time, takes the
// host out of the directory, closes the listener for callers by the plan, and gives up what still runs
// shortly before the grace ends. The other listeners stay open until the process ends.
func (h *Host) shutDown(callers *http.Server) {
	start, grace := h.clock.Now(), h.settings.Bounds.ShutdownGrace
	endsAt := start.Add(grace - giveUpMargin)
	plan := newShutdownPlan(grace, h.settings.Host, h.membership.RecentHosts())
	h.gateway.LogRunning(h.log.Info()).Int64("ExpiryMs", int64(plan.expiry)).Int64("TurnMs", int64(plan.turn)).Msg("stop requested")
	h.ingress.CloseConnections()
	h.gateway.Stop(endsAt)
	ctx, cancel := context.WithTimeout(context.Background(), (grace - exitMargin).Duration())
	defer cancel()
	go h.membership.Leave(ctx)
	// Sleep fails only if ctx has ended, which Shutdown reports too.
	_ = h.clock.Sleep(ctx, plan.expiry)
	for !plan.closes(h.clock.Now().Sub(start), len(h.membership.Hosts())) && h.clock.Sleep(ctx, turnPollInterval) == nil {
	}
	h.membership.CloseToCallers()
	h.log.Info().Int64("AfterMs", int64(h.clock.Now().Sub(start))).Int("OtherHosts", len(h.membership.Hosts())).Msg("no further callers")
	err := h.finish(ctx, callers, endsAt)
	h.gateway.LogRunning(h.log.Info()).Int64("TookMs", int64(h.clock.Now().Sub(start))).Err(err).Msg("stop")
}

// finish waits for the requests in progress and what is done for other hosts until endsAt, and then
// answers what still runs.
func (h *Host) finish(ctx context.Context, callers *http.Server, endsAt cicadapitch.Instant) error {
	running, cancel := context.WithTimeout(ctx, endsAt.Sub(h.clock.Now()).Duration())
	defer cancel()
	closeUnused := time.AfterFunc(firstRequestTime.Duration(), h.ingress.CloseUnused)
	defer closeUnused.Stop()
	err := callers.Shutdown(running)
	if err == nil {
		err = h.awaitIdle(running)
	}
	if err != nil {
		h.gateway.LogRunning(h.log.Warn()).Msg("giving up what runs")
		h.gateway.GiveUp()
		err = callers.Shutdown(ctx)
	}
	_ = h.clock.Sleep(ctx, lastBytesTime) // fails only if ctx has ended
	return err
}

// awaitIdle waits until nothing is done for other hosts any more. The error is that of ctx.
func (h *Host) awaitIdle(ctx context.Context) error {
	for !h.gateway.Idle() {
		if err := h.clock.Sleep(ctx, idlePollInterval); err != nil {
			return err
		}
	}
	return nil
}
