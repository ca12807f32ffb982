package membership

import (
	"math"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/placement"
)

const (
	// maxReportAge bounds the ages in heartbeats, maxReportedLoad the requests at one engine, and
	// maxReportedWait a queue wait.
	maxReportAge                       = 24 * 60 * cicadapitch.Minute
	maxReportedLoad                    = 1_000_000
	maxReportedWait cicadapitch.Millis = 10 * cicadapitch.Minute
)

// Checked returns the heartbeat without what is out of range, as a heartbeat of another build may
// have: ages in the future, negative counts, and limits that are no numbers.
func (hb Heartbeat) Checked() Heartbeat {
	if !isEra(hb.Era) || hb.Revision < 0 {
		hb.Era, hb.Revision, hb.Endpoints = 0, 0, nil
	}
	if hb.Endpoints != nil && (hb.Endpoints.Revision < 0 || !isAge(hb.Endpoints.Age)) {
		hb.Endpoints = nil
	}
	if hb.Catalog.Version < 0 || !isAge(hb.Catalog.Age) {
		hb.Catalog = CatalogHead{}
	}
	isReport := func(r DownReport, _ int) bool { return isAge(r.Age) }
	hb.Down, hb.CutOff = lo.Filter(hb.Down, isReport), lo.Filter(hb.CutOff, isReport)
	hb.Loads = lo.PickBy(hb.Loads, func(_ cicadapitch.EndpointID, n int) bool { return n >= 0 && n <= maxReportedLoad })
	if len(hb.Work) > 0 {
		hb.Work = lo.PickBy(hb.Work, func(_ cicadapitch.EndpointID, w placement.EngineWork) bool { return w.Valid() })
	}
	hb.Waits = lo.PickBy(hb.Waits, func(_ string, w AgedWaits) bool {
		return isAge(w.Age) && lo.EveryBy(w.Waits, func(m cicadapitch.Millis) bool { return m >= 0 && m <= maxReportedWait })
	})
	hb.Limits = lo.Filter(hb.Limits, func(r placement.RateLimitReport, _ int) bool {
		return isAge(r.AnsweredAgo) && isRate(r.PerSecond) && isRate(r.Refusals)
	})
	return hb
}

// checkHeartbeat returns a heartbeat of another host without what is out of range, with full revisions.
func (m *Membership) checkHeartbeat(hb Heartbeat) Heartbeat {
	hb = hb.Checked()
	era := m.eraOf(hb.Era)
	hb.Revision, hb.Endpoints = fullRevision(hb.Revision, era), fullClaim(hb.Endpoints, era)
	return hb
}

// isEra reports whether an era of the store is in range.
func isEra(e cicadapitch.StoreEra) bool { return e >= 0 && e <= cicadapitch.MaxStoreEra }

// isAge reports whether a reported age is in range.
func isAge(m cicadapitch.Millis) bool { return m >= 0 && m <= maxReportAge }

// isRate reports whether a reported rate is a number of at least 0.
func isRate(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }
