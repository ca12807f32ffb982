package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/placement"
)

const (
	modelChunk    = 1024
	modelSlots    = 64
	modelCapacity = 450_000
)

// modelRequest is a request in the replay. Times are in milliseconds since its start.
type modelRequest struct {
	kind    string
	host    int
	session string
	prompt  []catalog.PromptPart
	output  int
	sentAt  float64
	fetch   float64
	// left is what remains to be prefilled, read what was not cached, of which shared belongs to shared
	// parts.
	left, read, shared float64
	tokens             int
	firstAt, lastAt    float64
	longestGap         float64
	run                *placement.Run
	engine             cicadapitch.EndpointID
}

// modelEngine is an engine with continuous batching: each of its steps produces a token for every
// request that has its prompt prefilled, and prefills a chunk of the first other one.
type modelEngine struct {
	speed, stepBase, stepPerRequest float64
	queue, running                  []*modelRequest
	cache                           map[string]*modelPart
	cacheTokens, held               float64
	nextAt                          float64
	busy                            bool
}

type modelPart struct {
	tokens float64
	usedAt float64
}

// admit starts the waiting requests for which there are a slot and memory.
func (e *modelEngine) admit(now float64) {
	for len(e.queue) > 0 && len(e.running) < modelSlots {
		r := e.queue[0]
		if now < r.sentAt+r.fetch {
			return
		}
		r.read, r.shared = 0, 0
		for i, part := range r.prompt {
			if p := e.cache[part.ID]; p != nil && r.read == 0 {
				p.usedAt = now
				continue
			}
			r.read += float64(part.Tokens)
			if i < len(r.prompt)-1 {
				r.shared += float64(part.Tokens)
			}
		}
		need := r.read + float64(r.output)
		if len(e.running) > 0 && e.held+need > modelCapacity {
			return
		}
		e.held += need
		// Attention makes long prompts dearer: twice as dear at 100,000 tokens.
		total := 0.0
		for _, part := range r.prompt {
			total += float64(part.Tokens)
		}
		r.left = max(r.read, 1) * (1 + (total-r.read/2)/100_000)
		e.queue, e.running = e.queue[1:], append(e.running, r)
	}
}

// step returns the time of the next step and completes it.
func (e *modelEngine) step(now float64, ended func(*modelRequest), first func(*modelRequest, float64)) {
	e.admit(now)
	if len(e.running) == 0 {
		if e.busy = len(e.queue) > 0; e.busy {
			e.nextAt = e.queue[0].sentAt + e.queue[0].fetch
		}
		return
	}
	took, decoding, chunk := 0.0, 0, float64(modelChunk)
	for _, r := range e.running {
		if r.left == 0 {
			decoding++
		}
	}
	if decoding > 0 {
		took = e.stepBase + e.stepPerRequest*float64(decoding)
	}
	var prefilled []*modelRequest
	for _, r := range e.running {
		if r.left == 0 {
			continue
		}
		part := min(chunk, r.left)
		chunk, r.left = chunk-part, r.left-part
		took += part / e.speed
		if r.left == 0 {
			prefilled = append(prefilled, r)
		}
	}
	now += took
	for _, r := range prefilled {
		r.firstAt, r.lastAt, r.tokens = now, now, 1
		for _, part := range r.prompt {
			if e.cache[part.ID] == nil {
				e.cache[part.ID] = &modelPart{tokens: float64(part.Tokens)}
				e.cacheTokens += float64(part.Tokens)
			}
			e.cache[part.ID].usedAt = now
		}
		first(r, now)
	}
	e.evict()
	e.running = slices.DeleteFunc(e.running, func(r *modelRequest) bool {
		if r.tokens > 0 && r.firstAt < now {
			r.longestGap = max(r.longestGap, now-r.lastAt)
			r.lastAt = now
			r.tokens++
		}
		if r.left > 0 || r.tokens < r.output {
			return false
		}
		e.held -= r.read + float64(r.output)
		ended(r)
		return true
	})
	e.nextAt = now
}

// evict removes the least recently used parts while they exceed the memory.
func (e *modelEngine) evict() {
	for e.cacheTokens > modelCapacity {
		oldest := ""
		for id, p := range e.cache {
			if oldest == "" || p.usedAt < e.cache[oldest].usedAt || p.usedAt == e.cache[oldest].usedAt && id < oldest {
				oldest = id
			}
		}
		e.cacheTokens -= e.cache[oldest].tokens
		delete(e.cache, oldest)
	}
}

// modelKind is a kind of requests.
type modelKind struct {
	name string
	// perSecond is the rate of all hosts, burst its factor from 8 to 14 s.
	perSecond, burst float64
	sessions         int
	// life is the time in milliseconds after which a new session takes the place of each one, or 0.
	life float64
	// shared is the mean of the tokens that the requests of a session share, spread their spread, own the tokens of
	// a request alone, output the mean output.
	shared, spread, own, output float64
	// hot is the share of the requests that belong to the first session.
	hot float64
	// fetch is the time in milliseconds for which an engine fetches the inputs of a request before it waits
	// for a slot.
	fetch float64
}

// modelLoad is the load of one replay.
type modelLoad struct {
	hosts, engines int
	// slow is the number of engines at half speed.
	slow  int
	kinds []modelKind
	seed  uint64
	// reportEvery is the time in milliseconds between two reports of a host to the others.
	reportEvery float64
}

const modelSeconds = 24

// requests returns the requests of the load in the order of their arrival.
func (l modelLoad) requests() []*modelRequest {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	var out []*modelRequest
	for _, k := range l.kinds {
		sizes := make([]float64, k.sessions)
		for i := range sizes {
			sizes[i] = min(k.shared*math.Exp(k.spread*rng.NormFloat64()-k.spread*k.spread/2), 50_000)
		}
		for at := 0.0; at < modelSeconds*1000; {
			rate := k.perSecond
			if at > 8_000 && at < 14_000 && k.burst > 0 {
				rate *= k.burst
			}
			at += rng.ExpFloat64() * 1000 / rate
			s := rng.IntN(k.sessions)
			if rng.Float64() < k.hot {
				s = 0
			}
			id := fmt.Sprint(k.name, s)
			if k.life > 0 {
				id = fmt.Sprint(id, "/", int(at/k.life+float64(s)/float64(k.sessions)))
			}
			out = append(out, &modelRequest{
				kind: k.name, host: rng.IntN(l.hosts), session: id, sentAt: at, fetch: k.fetch,
				output: 1 + int(k.output*rng.ExpFloat64()),
				prompt: []catalog.PromptPart{
					{ID: k.name, Tokens: 200},
					{ID: id, Tokens: cicadapitch.Tokens(sizes[s])},
					{ID: fmt.Sprint(id, "-", len(out)), Tokens: cicadapitch.Tokens(k.own * (0.5 + rng.Float64()))},
				},
			})
		}
	}
	slices.SortStableFunc(out, func(a, b *modelRequest) int { return int(math.Copysign(1, a.sentAt-b.sentAt)) })
	return out
}

// modelHost is a host of the replay with its chooser and the reports of the others.
type modelHost struct {
	chooser *placement.Chooser
	calls   map[cicadapitch.EndpointID]int
	work    map[cicadapitch.EndpointID]placement.EngineWork
	reports placement.EngineReports
	// heard holds the hosts whose reports reach this one.
	heard []int
}

// modelFleet is a replay in progress.
type modelFleet struct {
	load    modelLoad
	byWork  bool
	service *catalog.Service
	list    []fleet.Endpoint
	engines []*modelEngine
	hosts   []*modelHost
	// nextReport is when the hosts report next.
	nextReport float64
}

// modelHeard is the number of hosts whose reports each host hears in a large deployment: those that it sends
// heartbeats to and those that send it some.
const modelHeard = 24

// newModelFleet returns the hosts and engines of a load.
func newModelFleet(l modelLoad, byWork bool) *modelFleet {
	f := &modelFleet{load: l, byWork: byWork, list: endpoints(l.engines)}
	f.service = &catalog.Service{Name: "engines", Engine: &catalog.EngineSpec{Slots: modelSlots, KVCapacityTokens: modelCapacity}}
	for i := range f.list {
		f.list[i].Slots = modelSlots
		e := &modelEngine{speed: 65, stepBase: 4, stepPerRequest: 0.06, cache: map[string]*modelPart{}}
		if i < l.slow {
			e.speed, e.stepBase, e.stepPerRequest = 32, 8, 0.12
		}
		f.engines = append(f.engines, e)
	}
	rng := rand.New(rand.NewPCG(l.seed, 2))
	for i := range l.hosts {
		h := &modelHost{chooser: chooser(), reports: placement.NewEngineReports()}
		others := lo.Reject(rng.Perm(l.hosts), func(j, _ int) bool { return j == i })
		h.heard = others[:min(len(others), modelHeard)]
		f.hosts = append(f.hosts, h)
	}
	return f
}

// replay plays the load and returns its requests.
func (l modelLoad) replay(byWork bool) []*modelRequest {
	f := newModelFleet(l, byWork)
	requests := l.requests()
	for _, r := range requests {
		f.advance(r.sentAt)
		f.send(r)
	}
	f.advance(math.Inf(1))
	return requests
}

// modelInstant converts a time of the replay.
func modelInstant(ms float64) cicadapitch.Instant { return start.Add(cicadapitch.Millis(ms)) }

// advance plays the steps of the engines and the reports up to a time, or to the end of all requests.
func (f *modelFleet) advance(until float64) {
	for {
		var next *modelEngine
		for _, e := range f.engines {
			if e.busy && (next == nil || e.nextAt < next.nextAt) {
				next = e
			}
		}
		switch {
		case f.nextReport <= until && (next == nil || f.nextReport <= next.nextAt) && (next != nil || !math.IsInf(until, 1)):
			f.exchangeReports()
			f.nextReport += f.load.reportEvery
		case next == nil || next.nextAt > until:
			return
		default:
			next.step(next.nextAt, f.ended, f.answered)
		}
	}
}

func (f *modelFleet) answered(r *modelRequest, now float64) {
	if f.byWork {
		f.hosts[r.host].chooser.RecordFirstEvent(modelInstant(now), r.run, cicadapitch.Millis(now-r.sentAt))
	}
}

func (f *modelFleet) ended(r *modelRequest) {
	if f.byWork {
		f.hosts[r.host].chooser.EndRun(r.run)
	} else {
		f.hosts[r.host].chooser.RecordEnd(r.engine)
	}
}

// send sends a request to the engine that its host chooses.
func (f *modelFleet) send(r *modelRequest) {
	h, now := f.hosts[r.host], modelInstant(r.sentAt)
	criteria := placement.Criteria{Service: f.service, Session: r.session, Hosts: f.load.hosts, OtherLoads: h.reports.Calls}
	if f.byWork {
		criteria.Prompt, criteria.OtherWork, criteria.Route = r.prompt, h.reports.Work, r.kind
		criteria.ReportAge, criteria.Output = cicadapitch.Millis(f.load.reportEvery), cicadapitch.Tokens(f.load.kinds[0].output)
	}
	e, p, _ := h.chooser.PredictEngine(now, f.list, criteria)
	r.engine = e.ID
	if f.byWork {
		r.run = h.chooser.RecordRun(now, e, criteria, p)
	} else {
		h.chooser.RecordStart(e.ID)
	}
	m := f.engines[slices.IndexFunc(f.list, func(o fleet.Endpoint) bool { return o.ID == e.ID })]
	m.queue = append(m.queue, r)
	if !m.busy {
		m.busy, m.nextAt = true, r.sentAt+r.fetch
	}
}

// exchangeReports gives each host the reports of those that it hears, scaled up to all.
func (f *modelFleet) exchangeReports() {
	for _, h := range f.hosts {
		h.calls, h.work = h.chooser.Loads(), h.chooser.Work()
	}
	for _, h := range f.hosts {
		h.reports = placement.NewEngineReports()
		for _, i := range h.heard {
			h.reports.Add(f.hosts[i].calls, f.hosts[i].work, 0)
		}
		if others := len(f.hosts) - 1; len(h.heard) < others {
			h.reports.Scale(others, len(h.heard))
		}
	}
}

// modelResult are the figures of one kind in a replay.
type modelResult struct {
	n int
	// p50, p95 are times to the first event, pause the longest pause of 95 % of the requests.
	p50, p95, pause float64
	// read is the number of tokens of shared parts that were prefilled.
	read float64
}

// resultsOf returns the results by kind of the requests that arrived after 4 s.
func resultsOf(requests []*modelRequest) map[string]modelResult {
	times, pauses := map[string][]float64{}, map[string][]float64{}
	out := map[string]modelResult{}
	for _, r := range requests {
		if r.sentAt < 4_000 {
			continue
		}
		for _, kind := range []string{r.kind, "all"} {
			times[kind] = append(times[kind], r.firstAt-r.sentAt)
			pauses[kind] = append(pauses[kind], r.longestGap)
			m := out[kind]
			m.read += r.shared
			m.n++
			out[kind] = m
		}
	}
	quantile := func(v []float64, q float64) float64 {
		slices.Sort(v)
		return v[int(q*float64(len(v)-1))]
	}
	for kind, m := range out {
		m.p50, m.p95, m.pause = quantile(times[kind], 0.5), quantile(times[kind], 0.95), quantile(pauses[kind], 0.95)
		out[kind] = m
	}
	return out
}
