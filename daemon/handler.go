package daemon

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/do/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/host"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/report"
)

// apiVersion is the version of the HTTP API, not of the program.
const apiVersion = "1.0.0"

// callerHandler returns the handler of the caller listener, which serves callers,
// operators, metrics scrapers and health checks.
func (d *Daemon) callerHandler() http.Handler {
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("cicadapitch", apiVersion))
	entry.Register(api, d.entry, d.directory)
	order.Register(api, d.orders)
	report.Register(api, d.reportSources(), d.authenticate)
	mux.Handle("GET /metrics", do.MustInvoke[*report.PrometheusReporter](d.injector))
	mux.HandleFunc("GET /healthz", d.serveHealth)
	mux.HandleFunc("GET /readyz", d.serveReadiness)
	return mux
}

// directory returns the hosts that a caller in a zone should use. It leaves out
// this host until it accepts callers. caller identifies the caller; each caller has
// its own order of hosts with the same load.
func (d *Daemon) directory(zone cicadapitch.ZoneID, caller string) entry.DirectoryAnswer {
	cfg := d.follower.Current()
	q := host.Query{Caller: caller, Zone: zone, Region: regionOf(cfg, zone)}
	listing := host.SelectHosts(d.group.Members(), cfg, q)
	answer := entry.DirectoryAnswer{TTL: listing.TTL}
	for _, m := range listing.Hosts {
		if m.Host == d.self.Host && !d.acceptsCallers.Load() {
			continue
		}
		h := entry.DirectoryHost{Host: m.Host, Zone: m.Zone, URL: m.CallerURL}
		answer.Hosts = append(answer.Hosts, h)
	}
	return answer
}

// regionOf returns the region of a zone, or "" if cfg is nil or has no such zone.
func regionOf(cfg *cicadapitch.Configuration, zone cicadapitch.ZoneID) cicadapitch.RegionID {
	if cfg == nil {
		return ""
	}
	z, _ := cfg.Zone(zone)
	return z.Region
}

// reportSources returns the data sources of the operators' queries.
func (d *Daemon) reportSources() report.Sources {
	store := do.MustInvoke[cicadapitch.Store](d.injector)
	return report.Sources{
		Configurations: d.follower,
		Members:        d.group,
		Statistics:     do.MustInvoke[*report.Recorder](d.injector),
		Audit: func(ctx context.Context, from cicadapitch.Revision, n int) ([]configuration.AuditRecord, error) {
			return configuration.ReadAudit(ctx, store, from, n)
		},
	}
}

// authenticate checks the key of an operator in an Authorization header.
func (d *Daemon) authenticate(authorization string) error {
	_, err := d.orders.Authenticate(authorization)
	return err
}

// serveHealth serves GET /healthz, the liveness check. Every response is 204.
func (d *Daemon) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

// serveReadiness serves GET /readyz, the readiness check. The response is 204 if the host
// accepts callers, otherwise 503 with the name of the host state.
func (d *Daemon) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	state := d.group.Self().State
	if state != cicadapitch.Ready || !d.acceptsCallers.Load() {
		http.Error(w, state.String(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
