package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/quarantine"
)

const (
	// engineCount is the number of engines, downTime how long one that crashed is away.
	engineCount                    = 3
	downTime                       = 2 * cicadapitch.Second
	calmTime                       = 15 * cicadapitch.Second
	badTime                        = 40 * cicadapitch.Second
	documents                      = 5
	judgedCrash                    = 5
	proofTime   cicadapitch.Millis = 500
)

// placeCase is a load of sound requests, which share parts with bad ones.
type placeCase struct {
	hosts int
	// before and after are the numbers of parts that all prompts share before and after the part that
	// differs, bads the number of bad parts in its place.
	before, after, bads int
	// badGap and soundGap are the times between two bad and two sound requests.
	badGap, soundGap cicadapitch.Millis
	// calm is true if sound requests have come before the first bad one.
	calm bool
	// lossGap is the time between two engines that crash by themselves, or 0.
	lossGap cicadapitch.Millis
}

// placeRun is a run of a request at an engine.
type placeRun struct {
	host   *simHost
	id     cicadapitch.RequestID
	keys   []string
	sentAt cicadapitch.Instant
	ended  bool
}

// placeFleet is a fleet with engines that crash under bad parts.
type placeFleet struct {
	*simFleet
	c placeCase
	// runs holds the runs at each engine, downUntil when it is back.
	runs      [engineCount][]*placeRun
	downUntil [engineCount]cicadapitch.Instant
	// begun says when each sound request came, and whether it was sent to an engine that did not crash.
	begun  map[cicadapitch.RequestID]bool
	cameAt map[cicadapitch.RequestID]cicadapitch.Instant
}

// prompt returns the keys of a request with a part between those that all share.
func (f *placeFleet) prompt(part string, id cicadapitch.RequestID) []string {
	var keys []string
	for i := range f.c.before {
		keys = append(keys, fmt.Sprint("before", i))
	}
	keys = append(keys, part)
	for i := range f.c.after {
		keys = append(keys, fmt.Sprint("after", i))
	}
	return append(keys, quarantine.RequestKey(nil, string(id)))
}

// crash ends an engine and all its runs.
func (f *placeFleet) crash(engine int) {
	runs := f.runs[engine]
	f.runs[engine], f.downUntil[engine] = nil, f.now.Add(downTime)
	f.crashes = append(f.crashes, f.now)
	endedAt := f.now
	for _, r := range runs {
		if r.ended {
			continue
		}
		r.ended = true
		f.after(30, func() {
			ledger := r.host.ledger
			ledger.RecordCrash(f.now, r.keys, quarantine.Crash{Endpoint: cicadapitch.EndpointID(fmt.Sprint(engine)), SentAt: r.sentAt, EndedAt: endedAt})
			f.tell(r.host, ledger.Reports(f.now, r.keys...), r.id)
			f.after(60, func() { f.answerReports(r.host, r.keys) })
			f.after(quarantine.JudgeDelay, func() {
				if ledger.Judge(f.now, r.keys) {
					f.tell(r.host, ledger.Reports(f.now, r.keys...), r.id)
				}
			})
		})
	}
}

// answerReports brings what the other hosts know of the keys to a host, as their answers to its notice do.
func (f *placeFleet) answerReports(h *simHost, keys []string) {
	for _, o := range f.hosts {
		h.ledger.Merge(f.now, o.ledger.Reports(f.now, keys...))
	}
}

// send sends a request. A bad one crashes its engine; another one begins its answer after a moment.
func (f *placeFleet) send(bad bool) {
	h := f.hosts[f.rng.IntN(len(f.hosts))]
	id := f.newRequest()
	part := fmt.Sprint("document", f.rng.IntN(documents))
	if bad {
		part = fmt.Sprint("bad", f.rng.IntN(f.c.bads))
	} else {
		f.cameAt[id] = f.now
	}
	keys := f.prompt(part, id)
	f.try(h, keys, id, 0, func() {
		up := lo.Filter(lo.Range(engineCount), func(e, _ int) bool { return f.now >= f.downUntil[e] })
		if len(up) == 0 {
			h.trials.End(id)
			f.owner(h).trials.End(id)
			return
		}
		engine := up[f.rng.IntN(len(up))]
		r := &placeRun{host: h, id: id, keys: keys, sentAt: f.now}
		f.runs[engine] = append(f.runs[engine], r)
		if bad {
			f.arrivals = append(f.arrivals, simArrival{f.now, h})
			f.after(f.between(5, 30), func() {
				if !r.ended {
					f.crash(engine)
				}
			})
			return
		}
		f.after(10, func() { f.begun[id] = !r.ended })
		f.after(proofTime+10, func() {
			if r.ended {
				return
			}
			r.ended = true
			h.ledger.RecordAnswer(f.now, keys)
			f.tell(h, nil, id)
		})
	})
}

// play plays a case. It returns the number of bad requests that arrived later than contactTime after the judged
// crash, and the numbers of sound requests that came and that began from twice that time on.
func (c placeCase) play(seed uint64) (late, came, begun int) {
	f := &placeFleet{
		simFleet: &simFleet{rng: rand.New(rand.NewPCG(seed, 63)), now: start, stored: map[string]cicadapitch.Instant{}},
		c:        c, begun: map[cicadapitch.RequestID]bool{}, cameAt: map[cicadapitch.RequestID]cicadapitch.Instant{},
	}
	for range c.hosts {
		h := &simHost{}
		f.restart(h)
		f.hosts = append(f.hosts, h)
	}
	every := func(gap cicadapitch.Millis) bool { return gap > 0 && f.now.Sub(start)%gap == 0 }
	if c.calm {
		for end := f.now.Add(calmTime); f.now < end; f.now = f.now.Add(stepTime) {
			f.tick(every(c.soundGap), false, false)
		}
	}
	for end := f.now.Add(badTime); f.now < end; f.now = f.now.Add(stepTime) {
		f.tick(every(c.soundGap), every(c.badGap), every(c.lossGap))
	}
	if len(f.crashes) == 0 {
		return 0, 1, 1
	}
	// Crashes of engines by themselves count for nothing.
	from := f.arrivals[min(len(f.arrivals), judgedCrash)-1].at
	for _, a := range f.arrivals {
		if a.at > from.Add(contactTime) {
			late++
		}
	}
	for id, at := range f.cameAt {
		if at > from.Add(2*contactTime) && at < f.now.Add(-cicadapitch.Second) {
			came++
			if f.begun[id] {
				begun++
			}
		}
	}
	return late, came, begun
}

// tick lets what is due happen, and requests come.
func (f *placeFleet) tick(sound, bad, loss bool) {
	f.runDue()
	if sound {
		f.send(false)
	}
	if bad {
		f.send(true)
	}
	if loss {
		f.crash(f.rng.IntN(engineCount))
	}
	for i, h := range f.hosts {
		if (int64(f.now)/10+int64(i))%40 == 0 {
			f.gossip(h)
		}
	}
}

// TestSoundPartsBesideABadOneAreServedAtAnyPlace guards against the quarantine of a part that all requests share in
// place of the bad one, wherever that stands, with and without sound requests before it, and while engines crash by
// themselves. It checks both bounds: sound requests begin at least half as often as before, and few bad ones still arrive.
func TestSoundPartsBesideABadOneAreServedAtAnyPlace(t *testing.T) {
	for _, calm := range []bool{true, false} {
		placeCase{bads: 1, calm: calm}.checkAll(t)
	}
}

// TestTwoBadPartsAreToldFromTheSharedOnes covers two bad parts that come at once, after sound requests.
func TestTwoBadPartsAreToldFromTheSharedOnes(t *testing.T) {
	placeCase{bads: 2, calm: true}.checkAll(t)
}

// TestTwoBadPartsAreToldFromTheSharedOnesFromTheStart covers two bad parts that come before any sound request was
// answered.
func TestTwoBadPartsAreToldFromTheSharedOnesFromTheStart(t *testing.T) {
	placeCase{bads: 2}.checkAll(t)
}

// checkAll plays the case at all places and rates.
func (c placeCase) checkAll(t *testing.T) {
	for _, c.hosts = range []int{1, 8} {
		for _, place := range [][2]int{{0, 0}, {1, 0}, {0, 1}, {1, 1}, {2, 2}, {0, 3}, {3, 0}} {
			c.before, c.after = place[0], place[1]
			for _, rate := range [][2]cicadapitch.Millis{{20, 700}, {400, 100}} {
				c.badGap, c.soundGap = rate[0], rate[1]
				for _, c.lossGap = range []cicadapitch.Millis{0, 5000} {
					c.check(t)
				}
			}
		}
	}
}

// check plays a case. Two bad parts may arrive twice as often.
func (c placeCase) check(t *testing.T) {
	late, came, begun := c.play(1)
	if late > maxLateArrivals*c.bads || 2*begun < came {
		t.Errorf("%+v: %d bad requests arrived late, %d of %d sound requests began", c, late, begun, came)
	}
}
