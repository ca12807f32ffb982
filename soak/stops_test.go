package soak_test

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

const (
	// stopsDuration is the time for which hosts are stopped per seed if the environment sets none.
	stopsDuration = 14 * time.Second
	// stopHosts and stopCallers are the size of a run if the environment sets none.
	stopHosts   = 4
	stopCallers = 48
	// keptConns is how many idle connections to a host each caller keeps, and maxIdle how long it
	// leaves one of them idle.
	keptConns = 4
	maxIdle   = 8 * time.Second
	// lossSlack is the time from the last byte of a request after which a host that closes the
	// connection has read it.
	lossSlack = 200 * time.Millisecond
	// deadlineSlack is the time before the deadline from which answers may be cut off.
	deadlineSlack = 100 * time.Millisecond
)

// stopsLayout is that of runs in which hosts are stopped as planned. Hosts that restart often leave
// more entries than the budget of store calls suffices for in small pages.
func stopsLayout() layout {
	return layout{hosts: envInt("SOAK_HOSTS", stopHosts), grace: 8 * time.Second, idleTimeout: 20 * time.Second, storePageSize: 500}
}

// stopRegressions maps seeds that failed once to the cause of the failure.
var stopRegressions = map[int]string{
	2:  "streams that wait for nothing were passed on until the listener closed, and so were plain requests whose endpoint needed more time than the host had left",
	11: "a stream was cut off for a silence although the only other engine of its version was leaving",
}

func TestPlannedStops(t *testing.T) {
	first := envInt("SOAK_FIRST", 1)
	for seed := first; seed < first+envInt("SOAK_SEEDS", 1); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runStops(t, uint64(seed)) })
	}
}

func TestPlannedStopsRegressions(t *testing.T) {
	for seed, cause := range stopRegressions {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Log(cause)
			runStops(t, uint64(seed))
		})
	}
}

// runStops stops hosts in overlapping series beside changes of the configuration, signals and slow
// and silent endpoints, while callers use their open connections until the hosts are gone. No
// request that a host has passed on may end without its whole answer.
func runStops(t *testing.T, seed uint64) {
	s := newTestbed(t, seed, stopsLayout())
	duration := time.Duration(envInt("SOAK_SECONDS", int(stopsDuration/time.Second))) * time.Second
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	results, cuts := &resultLog{}, &cutLog{}
	var callers, series sync.WaitGroup
	for i := range envInt("SOAK_CALLERS", stopCallers) {
		c := &connCaller{caller: caller{testbed: s, results: results, rng: rand.New(rand.NewPCG(seed, uint64(300+i)))}, cuts: cuts}
		callers.Go(func() { c.run(ctx) })
	}
	for i, run := range []func(context.Context, *rand.Rand){
		s.stopSeries, s.stopSeries, s.hangupSeries, s.pauseSeries, s.configurationSeries, s.slowSeries, s.silenceSeries, s.leavingSeries,
	} {
		series.Go(func() { run(ctx, rand.New(rand.NewPCG(seed, uint64(200+i)))) })
	}
	callers.Wait()
	series.Wait()
	for _, e := range s.endpoints {
		e.SetDelay(0)
		e.SetSilence(0, 0)
		s.store.Set(platformtest.EndpointKey(e.ID), e.Entry("ready"))
	}
	for _, p := range s.processes {
		p.waitReady(s.grace + recoveryTimeout)
	}
	s.requireAllServe(results)
	results.check(t, s)
	cuts.check(t, s)
}

// pauseBetween waits for a random time, and reports whether ctx goes on.
func pauseBetween(ctx context.Context, rng *rand.Rand, least, most time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(least + time.Duration(rng.Int64N(int64(most-least)))):
		return true
	}
}

// logEvent logs an event with its time.
func (s *testbed) logEvent(args ...any) {
	s.t.Log(append([]any{time.Now().Format("05.000")}, args...)...)
}

// stopSeries stops some or all hosts, at once or one after the other. Another series may stop the
// same host again while it stops.
func (s *testbed) stopSeries(ctx context.Context, rng *rand.Rand) {
	for pauseBetween(ctx, rng, 200*time.Millisecond, 6*time.Second) {
		gap := time.Duration(rng.IntN(3)) * 400 * time.Millisecond
		for _, i := range rng.Perm(s.hosts)[:1+rng.IntN(s.hosts)] {
			s.logEvent("term", s.processes[i].name)
			s.processes[i].terminate(s.grace)
			if gap > 0 && !pauseBetween(ctx, rng, gap, 2*gap) {
				return
			}
		}
	}
}

// hangupSeries sends SIGHUP to random hosts.
func (s *testbed) hangupSeries(ctx context.Context, rng *rand.Rand) {
	for pauseBetween(ctx, rng, 100*time.Millisecond, time.Second) {
		s.processes[rng.IntN(s.hosts)].signal(syscall.SIGHUP)
	}
}

// pauseSeries makes random hosts stand still, and kills one now and then.
func (s *testbed) pauseSeries(ctx context.Context, rng *rand.Rand) {
	for pauseBetween(ctx, rng, 2*time.Second, 6*time.Second) {
		p := s.processes[rng.IntN(s.hosts)]
		if rng.IntN(3) == 0 {
			s.logEvent("kill", p.name)
			p.kill()
			continue
		}
		d := time.Duration(100+rng.IntN(1500)) * time.Millisecond
		s.logEvent("pause", p.name, d)
		p.pauseFor(d)
	}
}

// configurationSeries changes the configuration, at times in a storm.
func (s *testbed) configurationSeries(ctx context.Context, rng *rand.Rand) {
	for pauseBetween(ctx, rng, 200*time.Millisecond, 3*time.Second) {
		for range 1 + rng.IntN(8) {
			s.configure()
			if !pauseBetween(ctx, rng, 100*time.Millisecond, 400*time.Millisecond) {
				return
			}
		}
	}
}

// randomEndpoint returns an endpoint of a service that serves callers.
func (s *testbed) randomEndpoint(rng *rand.Rand) *platformtest.Endpoint {
	for {
		if e := s.endpoints[rng.IntN(len(s.endpoints))]; e.Service != "stage" {
			return e
		}
	}
}

// slowSeries changes how long the calls of endpoints take.
func (s *testbed) slowSeries(ctx context.Context, rng *rand.Rand) {
	for pauseBetween(ctx, rng, 100*time.Millisecond, time.Second) {
		e := s.randomEndpoint(rng)
		e.SetDelay([]time.Duration{0, 50, 400, 1100}[rng.IntN(4)] * time.Millisecond)
	}
}

// silenceSeries makes endpoints fall silent for a second or so, some answers or all at once.
func (s *testbed) silenceSeries(ctx context.Context, rng *rand.Rand) {
	for pauseBetween(ctx, rng, 100*time.Millisecond, time.Second) {
		e := s.endpoints[rng.IntN(len(s.endpoints))]
		if rng.IntN(2) == 0 {
			e.FallSilent(time.Duration(800+rng.IntN(700)) * time.Millisecond)
			continue
		}
		share := []float64{0, 0.1, 0.5}[rng.IntN(3)]
		e.SetSilence(rng.Uint64(), share, platformtest.SilenceValues()...)
	}
}

// leavingSeries lets an endpoint leave and come back. It serves meanwhile.
func (s *testbed) leavingSeries(ctx context.Context, rng *rand.Rand) {
	for pauseBetween(ctx, rng, 500*time.Millisecond, 4*time.Second) {
		e := s.endpoints[rng.IntN(len(s.endpoints))]
		s.store.Set(platformtest.EndpointKey(e.ID), e.Entry("draining"))
		pauseBetween(ctx, rng, 500*time.Millisecond, 3*time.Second)
		s.store.Set(platformtest.EndpointKey(e.ID), e.Entry("ready"))
	}
}

// connCaller sends requests over connections that it keeps.
type connCaller struct {
	caller
	cuts *cutLog
	// idle holds the idle connections by host.
	idle map[*hostProcess][]*callerConn
}

// run sends requests until ctx ends.
func (c *connCaller) run(ctx context.Context) {
	c.idle = map[*hostProcess][]*callerConn{}
	for ctx.Err() == nil {
		p := c.chooseHost()
		conn, err := c.connection(p)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		path := []string{"/book/a", "/look/a", "/answer/a", "/plan/a"}[c.rng.IntN(4)]
		first, id := c.sendOn(p, conn, path, part{})
		last := first
		for tries := 0; first.broken && tries < maxTakeUps && (last.broken || last.status != http.StatusOK); tries++ {
			next := c.testbed.processes[c.rng.IntN(c.testbed.hosts)]
			if conn, err = c.connection(next); err != nil {
				continue
			}
			has := part{cmp.Or(last.text, first.text), id}
			last, _ = c.sendOn(next, conn, path, has)
			last.text = cmp.Or(last.text, has.text)
		}
		time.Sleep(time.Duration(c.rng.IntN(60)) * time.Millisecond)
	}
	for _, list := range c.idle {
		for _, conn := range list {
			conn.conn.Close()
		}
	}
}

// chooseHost returns a random host, which is one that has got SIGTERM more often than not.
func (c *connCaller) chooseHost() *hostProcess {
	p := c.testbed.processes[c.rng.IntN(c.testbed.hosts)]
	if p.currentRun().sinceTerm(time.Now()) < 0 {
		p = c.testbed.processes[c.rng.IntN(c.testbed.hosts)]
	}
	return p
}

// connection returns an idle connection to a host that is due, or else a new one.
func (c *connCaller) connection(p *hostProcess) (*callerConn, error) {
	now := time.Now()
	list := c.idle[p]
	if i := slices.IndexFunc(list, func(conn *callerConn) bool { return now.After(conn.notBefore) }); i >= 0 {
		conn := list[i]
		c.idle[p] = slices.Delete(list, i, i+1)
		return conn, nil
	}
	return dialHost(p)
}

// keep keeps an idle connection for later.
func (c *connCaller) keep(p *hostProcess, conn *callerConn) {
	if len(c.idle[p]) >= keptConns {
		conn.conn.Close()
		return
	}
	if c.rng.IntN(2) == 0 {
		conn.notBefore = time.Now().Add(time.Duration(c.rng.Int64N(int64(maxIdle))))
	}
	c.idle[p] = append(c.idle[p], conn)
}

// sendOn sends a request on a connection and records what came of it. It returns the outcome and
// the id of the request.
func (c *connCaller) sendOn(p *hostProcess, conn *callerConn, path string, has part) (outcome, string) {
	id := c.newID()
	call := c.request(p, path, id, has)
	if path == "/answer/a" && c.rng.IntN(3) == 0 {
		call.Pieces = "0,0"
	}
	req, err := call.HTTPRequest()
	require.NoError(c.testbed.t, err)
	if path == "/book/a" || path == "/plan/a" {
		c.results.update(func() { c.results.atMostOnce = append(c.results.atMostOnce, id) })
	}
	startedAt, kept := time.Now(), conn.used
	r := conn.exchange(req, callerTimeout)
	c.cuts.add(cut{
		ending: r.ending, id: id, path: path, host: p.name, run: conn.run, kept: kept, resumes: has.text != "",
		startedAt: startedAt, sentAt: r.sentAt, endedAt: r.endedAt,
	})
	if r.kept {
		c.keep(p, conn)
	} else {
		conn.conn.Close()
	}
	if r.resp == nil {
		return outcome{}, id
	}
	if r.resp.StatusCode != http.StatusOK {
		c.record(id, path, isStream(path), r.resp, string(r.body), nil)
		return outcome{status: r.resp.StatusCode}, id
	}
	text := has.text + string(r.body)
	var cutErr error
	if !r.complete {
		cutErr = http.ErrAbortHandler
	}
	c.record(id, path, isStream(path), r.resp, text, cutErr)
	events := completeEvents(text)
	return outcome{http.StatusOK, events, path == "/answer/a" && !r.complete && events != ""}, id
}

// cut is an exchange that ended without a whole answer.
type cut struct {
	ending         ending
	id, path, host string
	run            *processRun
	// kept is true if the connection had carried another request before.
	kept, resumes              bool
	startedAt, sentAt, endedAt time.Time
}

// cutLog collects the exchanges that ended without a whole answer and counts all.
type cutLog struct {
	mu     sync.Mutex
	cuts   []cut
	counts map[ending]int
	// afterTerm counts the exchanges that began after their host had got SIGTERM, and late those
	// on kept connections that began more than half of the grace after it.
	afterTerm, late int
}

func (l *cutLog) add(c cut) {
	since := c.run.sinceTerm(c.startedAt)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[ending]int{}
	}
	l.counts[c.ending]++
	if since >= 0 {
		l.afterTerm++
	}
	if c.kept && since >= 4*time.Second {
		l.late++
	}
	if c.ending != answered {
		l.cuts = append(l.cuts, c)
	}
}

// fault returns why a host must not have ended the exchange so, or an empty string. passedOn is
// true if an endpoint got the request.
func (c cut) fault(passedOn bool) string {
	waited := c.endedAt.Sub(c.sentAt)
	switch {
	case c.run.disturbed(c.startedAt, c.endedAt), c.ending == unsent:
		return ""
	case c.ending == timedOut:
		return "no end of the answer in time"
	case c.endedAt.Sub(c.startedAt) >= callerDeadline-deadlineSlack:
		return ""
	case passedOn:
		return "passed on"
	case waited > lossSlack:
		return "read"
	}
	return ""
}

// check fails the test if a host has ended a connection without the answer that it owed.
func (l *cutLog) check(t *testing.T, s *testbed) {
	ran := map[string]bool{}
	for _, e := range s.endpoints {
		for id := range e.RunCounts() {
			ran[id] = true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t.Logf("endings %v, %d begun after SIGTERM, %d of them on kept connections after 4 s", l.counts, l.afterTerm, l.late)
	faults := map[string]int{}
	var lines []string
	for _, c := range l.cuts {
		why := c.fault(ran[c.id])
		if why == "" {
			continue
		}
		faults[fmt.Sprintf("%s, %s", why, c.ending)]++
		lines = append(lines, fmt.Sprintf("%s %s of %s at %s, %s: kept %v, resumes %v, sent %d ms and ended %d ms after SIGTERM",
			c.id, c.path, c.host, c.endedAt.Format("05.000"), c.ending, c.kept, c.resumes,
			c.run.sinceTerm(c.sentAt).Milliseconds(), c.run.sinceTerm(c.endedAt).Milliseconds()))
	}
	for _, why := range slices.Sorted(maps.Keys(faults)) {
		t.Logf("%d requests: %s", faults[why], why)
	}
	require.Empty(t, lines, "requests without the answer that their host owed:\n%s", strings.Join(lines, "\n"))
}
