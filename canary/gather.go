package canary

import (
	"cmp"
	"maps"
	"slices"

	"cicadapitch.example/cicadapitch"
)

const (
	// maxHosts bounds the hosts that are told apart, a few times as many as a deployment has. Reports of
	// further ones have no effect.
	maxHosts = 2048
	// maxProcesses bounds the processes of a host whose late reports are recognized. Later restarts forget
	// the one that was silent for longest.
	maxProcesses = 8
	// freshTime is the age up to which a report says what a host does now: four reports.
	freshTime = cicadapitch.Second
	// coarseReports is the sequence number from which the first report of a process that comes here holds the counts of a
	// longer time.
	coarseReports = 8
)

// hostState are the processes of a host, by incarnation.
type hostState struct {
	// latest is the process from which the latest report came.
	latest    *process
	processes map[string]*process
}

// process is one process of a host: its latest report, with counts that never decrease, and when it came.
type process struct {
	report Report
	at     cicadapitch.Instant
}

// versionTotals are the counts of one version over all hosts.
type versionTotals struct {
	answers, failures int64
	times, pending    [Bins]int64
}

// routeTotals are the counts of one route over all hosts.
type routeTotals struct{ old, new versionTotals }

// gathering merges the reports of all hosts. Counts of ended processes are kept.
type gathering struct {
	hosts  map[string]*hostState
	routes map[string]*routeTotals
	// shiftAt is when the first report of a host in Shift came, or 0.
	shiftAt cicadapitch.Instant
	// coarse is set by a report that holds the counts of a longer time: the first one here, or one after several were lost.
	coarse bool
}

func newGathering() *gathering {
	return &gathering{hosts: map[string]*hostState{}, routes: map[string]*routeTotals{}}
}

// add takes a report. One that is not newer than the latest of its process has no effect.
func (g *gathering) add(now cicadapitch.Instant, host string, r Report) {
	h := g.hosts[host]
	if h == nil {
		if len(g.hosts) >= maxHosts {
			return
		}
		h = &hostState{processes: map[string]*process{}}
		g.hosts[host] = h
	}
	r = r.Checked()
	p := h.processes[r.Incarnation]
	if p == nil {
		p = h.begin(r.Incarnation)
	} else if r.Sequence <= p.report.Sequence {
		return
	}
	if r.Phase == Shift && g.shiftAt == 0 {
		g.shiftAt = now
	}
	if first := p.at == 0; first && r.Sequence > coarseReports || !first && now.Sub(p.at) > freshTime {
		g.coarse = true
	}
	r.Counts = g.merge(p.report.Counts, r.Counts)
	p.report, p.at = r, now
	h.latest = p
}

// begin adds a process. If there are too many, it forgets the one that was silent for longest, whose counts stay
// in the totals.
func (h *hostState) begin(incarnation string) *process {
	if len(h.processes) >= maxProcesses {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(h.processes)), func(a, b string) int {
			return cmp.Compare(h.processes[a].at, h.processes[b].at)
		})
		delete(h.processes, oldest)
	}
	p := &process{}
	h.processes[incarnation] = p
	return p
}

// merge returns the newer counts of a process and adds what is new in them to the totals. A route that is
// left out keeps its counts and has nothing pending.
func (g *gathering) merge(before, counts Counts) Counts {
	merged := Counts{Routes: make(map[string]RouteCounts, len(counts.Routes))}
	for name := range before.Routes {
		merged.Routes[name] = RouteCounts{}
	}
	for name := range counts.Routes {
		merged.Routes[name] = RouteCounts{}
	}
	for name := range merged.Routes {
		was, is, t := before.Routes[name], counts.Routes[name], g.route(name)
		rc := RouteCounts{Old: latestOf(was.Old, is.Old), New: latestOf(was.New, is.New)}
		t.old.change(was.Old, rc.Old)
		t.new.change(was.New, rc.New)
		merged.Routes[name] = rc
	}
	return merged
}

// route returns the totals of a route, or of OtherRoutes if there are too many.
func (g *gathering) route(name string) *routeTotals {
	name = routeKey(g.routes, name)
	if g.routes[name] == nil {
		g.routes[name] = &routeTotals{}
	}
	return g.routes[name]
}

// ready reports whether a host has phase Shift in force and nothing running at the old version. All its
// processes that have reported within freshTime must say so, since reports of an ended one may be late.
func (g *gathering) ready(now cicadapitch.Instant, host string) bool {
	h := g.hosts[host]
	if h == nil || now.Sub(h.latest.at) > freshTime {
		return false
	}
	for _, p := range h.processes {
		shifted := p.report.Phase == Shift || p.report.Phase == Completed
		if now.Sub(p.at) <= freshTime && (!shifted || p.report.Old > 0) {
			return false
		}
	}
	return true
}

// newAnswers returns the answers of the new version.
func (g *gathering) newAnswers() (n int64) {
	for _, t := range g.routes {
		n += t.new.answers
	}
	return n
}

// latestOf returns the newer counts, with cumulative ones that never decrease.
func latestOf(before, v VersionCounts) VersionCounts {
	v.Answers, v.Failures = max(before.Answers, v.Answers), max(before.Failures, v.Failures)
	for i := range v.Times {
		v.Times[i] = max(before.Times[i], v.Times[i])
	}
	return v
}

// change replaces the counts of a source that are part of the totals.
func (t *versionTotals) change(before, after VersionCounts) {
	t.answers += int64(after.Answers) - int64(before.Answers)
	t.failures += int64(after.Failures) - int64(before.Failures)
	for i := range t.times {
		t.times[i] += int64(after.Times[i]) - int64(before.Times[i])
		t.pending[i] += int64(after.Pending[i]) - int64(before.Pending[i])
	}
}
