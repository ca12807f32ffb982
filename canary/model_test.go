package canary_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/canary"
)

// tick is the step of the model.
const tick cicadapitch.Millis = 25

// answer is what an endpoint does with a request.
type answer struct {
	took        cicadapitch.Millis
	failed, bad bool
}

// model is one simulated rollout.
type model struct {
	hosts    int
	rate     float64 // requests a second over all hosts
	duration cicadapitch.Millis
	longest  cicadapitch.Millis
	base     float64 // share of failures of both versions
	median   float64 // of the times in milliseconds
	sigma    float64 // of the logarithm of the times
	weights  []float64
	// bursts slow both versions by a factor of 3 for up to 2 s every 7 s or so.
	bursts bool
	// coldFor is the time in which the new endpoints are cold: three times as slow and not timed.
	coldFor cicadapitch.Millis
	// endpoints, if set, is the number of new endpoints; each differs by up to spread from the median and
	// is slowed by a factor of 2 for 300 ms every 6 s on its own.
	endpoints int
	spread    float64
	// wave lets the rate vary by so much in a period of 8 s.
	wave float64
	// share and factor: so many answers of the new version take a factor of the time. fail: so many fail.
	share, factor, fail float64
	onset               cicadapitch.Millis
	// onlyRoute, if not negative, is the only route on which the version is bad.
	onlyRoute int
	underLoad bool
	// noPending leaves calls without an answer out of the reports.
	noPending bool
}

// outcome is what came of a rollout.
type outcome struct {
	phase         canary.Phase
	decision      canary.Decision
	requests      int
	exposed       int
	at            cicadapitch.Millis // of the final phase
	beforeShift   bool
	rolledBack    bool
	fiftieth      cicadapitch.Millis // the 50th bad answer, 0 for none
	lastToNew     cicadapitch.Millis // the last request to the new version
	overBoundEver bool
}

// allowed is the number of requests that a bad version may get.
func (o outcome) allowed() float64 { return 0.1*float64(o.requests) + 50 }

type modelHost struct {
	name     string
	tally    *canary.Tally
	splitter *canary.Splitter
	phase    canary.Phase
	share    float64
}

type running struct {
	call   *canary.Call
	end    cicadapitch.Instant
	failed bool
	bad    bool
}

type run struct {
	model
	rng       *rand.Rand
	hosts     []*modelHost
	live      []string
	judge     *canary.Judge
	ends      [][]running // by tick
	out       outcome
	bad       int
	burstEnd  cicadapitch.Instant
	nextBurst cicadapitch.Instant
	decision  canary.Decision
	reports   map[cicadapitch.Instant][]func(now cicadapitch.Instant)
}

var routeNames = []string{"answer", "book", "search"}

const start cicadapitch.Instant = 1_000_000

// play simulates a rollout.
func (m model) play(seed uint64) outcome {
	r := &run{model: m, rng: rand.New(rand.NewPCG(seed, 7)), reports: map[cicadapitch.Instant][]func(cicadapitch.Instant){}}
	order := canary.Order{Service: "s", To: "v2", Duration: m.duration, Revision: 5, At: start}
	r.judge = canary.NewJudge(order, canary.Bounds{ExposureShare: 0.1, ExposureSlack: 50})
	r.judge.SetEndpoints(12, 1)
	for i := range m.hosts {
		h := &modelHost{name: fmt.Sprintf("host-%d", i), tally: canary.NewTally(5, "a"), splitter: canary.NewSplitter(r.rng.Float64())}
		r.hosts, r.live = append(r.hosts, h), append(r.live, h.name)
	}
	r.nextBurst = start.Add(cicadapitch.Millis(r.rng.IntN(7000)))
	end := start.Add(m.duration + m.longest + 10*cicadapitch.Second)
	r.ends = make([][]running, end.Sub(start)/tick+1)
	for now := start; now < end; now = now.Add(tick) {
		r.step(now)
		if r.decision.Phase.Final() && now >= start.Add(r.out.at+1000) {
			break
		}
	}
	// The requests until the deadline count also after the decision.
	if rest := m.duration - r.out.at - 1000; r.decision.Phase.Final() && rest > 0 {
		r.out.requests += int(float64(rest) / 1000 * m.rate)
	}
	r.out.phase, r.out.decision = r.decision.Phase, r.decision
	return r.out
}

func (r *run) step(now cicadapitch.Instant) {
	t := int(now.Sub(start) / tick)
	for _, c := range r.ends[t] {
		c.call.End(c.end, c.failed)
		if c.bad {
			if r.bad++; r.bad == 50 {
				r.out.fiftieth = now.Sub(start)
			}
		}
	}
	r.ends[t] = nil
	for _, f := range r.reports[now] {
		f(now)
	}
	delete(r.reports, now)
	if !r.decision.Phase.Final() || now < start.Add(r.out.at+1000) {
		r.arrive(now)
	}
	for i, h := range r.hosts {
		if (int(now.Sub(start)/tick)+i)%10 == 0 {
			r.report(now, h)
		}
	}
	if now.Sub(start)%250 == 0 {
		before := r.decision.Phase
		r.decision = r.judge.Decide(now, r.live, r.longest)
		if p := r.decision.Phase; p != before {
			r.judge.Recorded(r.judge.State())
			if p == canary.Shift {
				r.judge.SetEndpoints(12, 12)
			}
			if p.Final() {
				r.out.at = now.Sub(start)
			}
			if p == canary.RolledBack {
				r.out.rolledBack, r.out.beforeShift = true, before == canary.Canary
			}
		}
	}
}

// report sends the report of a host, 2 in 100 of which are lost and which take up to 100 ms.
func (r *run) report(now cicadapitch.Instant, h *modelHost) {
	rep := h.tally.Report(now, h.phase)
	if r.noPending {
		for name, rc := range rep.Counts.Routes {
			rc.Old.Pending, rc.New.Pending = canary.Times{}, canary.Times{}
			rep.Counts.Routes[name] = rc
		}
	}
	if r.rng.Float64() < 0.02 {
		return
	}
	at := now.Add(tick * cicadapitch.Millis(1+r.rng.IntN(4)))
	r.reports[at] = append(r.reports[at], func(now cicadapitch.Instant) {
		r.judge.Report(now, h.name, rep)
		h.phase, h.share = r.decision.Phase, r.decision.Share
	})
}

func (r *run) arrive(now cicadapitch.Instant) {
	rate := r.rate * (1 + r.wave*math.Sin(2*math.Pi*float64(now.Sub(start))/8000))
	for range poisson(r.rng, rate*float64(tick)/1000) {
		r.out.requests++
		// Hosts get uneven shares of the requests.
		h := r.hosts[min(r.rng.IntN(len(r.hosts)), r.rng.IntN(len(r.hosts)))]
		isNew := h.splitter.Next(h.share)
		route := 0
		for x := r.rng.Float64(); route < len(r.weights)-1 && x >= r.weights[route]; route++ {
			x -= r.weights[route]
		}
		cold := isNew && now < start.Add(r.coldFor)
		a := r.answer(now, route, isNew, cold)
		if isNew {
			r.out.exposed++
			r.out.lastToNew = now.Sub(start)
			r.out.overBoundEver = r.out.overBoundEver || float64(r.out.exposed) > r.out.allowed()
		}
		c := running{call: h.tally.Begin(now, routeNames[route], isNew, !cold), end: now.Add(a.took), failed: a.failed, bad: a.bad}
		if at := int((now.Sub(start)+a.took)/tick) + 1; at < len(r.ends) {
			r.ends[at] = append(r.ends[at], c)
		}
	}
}

// answer draws what happens to a request.
func (r *run) answer(now cicadapitch.Instant, route int, isNew, cold bool) answer {
	took := r.median * float64(route+1) * math.Exp(r.sigma*r.rng.NormFloat64())
	a := answer{failed: r.rng.Float64() < r.base}
	if r.bursts {
		if now >= r.nextBurst {
			r.burstEnd = now.Add(500 + cicadapitch.Millis(r.rng.IntN(1500)))
			r.nextBurst = now.Add(4000 + cicadapitch.Millis(r.rng.IntN(6000)))
		}
		if now < r.burstEnd {
			took *= 3
		}
	}
	if cold {
		took *= 3
	}
	if r.endpoints > 0 {
		took *= r.endpointFactor(now, isNew)
	}
	if isNew && r.badNow(now, route) {
		if r.rng.Float64() < r.fail {
			a.failed, a.bad = true, true
		}
		if r.factor > 0 && r.rng.Float64() < r.share {
			took *= r.factor
			a.bad = true
		}
	}
	if a.failed && !a.bad {
		took /= 4
	}
	a.took = min(max(cicadapitch.Millis(took), 1), r.longest)
	if cicadapitch.Millis(took) > r.longest {
		a.failed = true
	}
	return a
}

// endpointFactor is that of an endpoint drawn for a request: 12 old ones and r.endpoints new ones, each with a speed
// and short disturbances of its own.
func (r *run) endpointFactor(now cicadapitch.Instant, isNew bool) float64 {
	i := r.rng.IntN(12)
	if isNew {
		i = 12 + r.rng.IntN(r.endpoints)
	}
	f := 1 + r.spread*math.Sin(float64(i*i)+float64(r.nextBurst%97))
	if (now.Sub(start)+cicadapitch.Millis(i*1733))%6000 < 300 {
		f *= 2
	}
	return f
}

func (r *run) badNow(now cicadapitch.Instant, route int) bool {
	if now < start.Add(r.onset) || r.onlyRoute >= 0 && route != r.onlyRoute {
		return false
	}
	return !r.underLoad || math.Sin(2*math.Pi*float64(now.Sub(start))/8000) > 0.3
}

func poisson(rng *rand.Rand, mean float64) int {
	if mean > 30 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*rng.NormFloat64())))
	}
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for ; p > limit; n++ {
		p *= rng.Float64()
	}
	return n
}
