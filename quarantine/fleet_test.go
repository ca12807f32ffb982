package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/quarantine"
)

const (
	// stepTime is the time of one step of a simulation, runTime its length.
	stepTime cicadapitch.Millis = 10
	runTime                     = 40 * cicadapitch.Second
	// contactTime is the time after a disturbance of a host from which it counts, and the
	// time after the fifth crash from which arrivals count.
	contactTime = 3 * cicadapitch.Second
	// maxLateArrivals is how many requests with a crashing part may arrive then.
	maxLateArrivals = 3
)

// simHost is a host of a simulated fleet.
type simHost struct {
	ledger *quarantine.Ledger
	trials *quarantine.Trials
	// disturbedAt is when the host last started or a cut of it ended or went on.
	disturbedAt, cutUntil cicadapitch.Instant
}

// simFleet simulates hosts that get requests with a part that crashes endpoints, while
// hosts are cut off from the others or restart and the store is away at times.
type simFleet struct {
	rng    *rand.Rand
	now    cicadapitch.Instant
	hosts  []*simHost
	events []simEvent
	// stored holds the quarantined parts in the store, storeDownUntil the end of its outage.
	stored         map[string]cicadapitch.Instant
	storeDownUntil cicadapitch.Instant
	crashes        []cicadapitch.Instant
	// arrivals holds the arrivals of bad requests and the host that sent each.
	arrivals []simArrival
	// badKeys and soundKeys return the keys of a bad and of a sound request with an id.
	badKeys, soundKeys func(id cicadapitch.RequestID) []string
	// sound counts the sound requests and those of them that were held back.
	sound, heldBack int
	nextRequest     int
}

type simEvent struct {
	at cicadapitch.Instant
	do func()
}

type simArrival struct {
	at   cicadapitch.Instant
	host *simHost
}

func (f *simFleet) after(d cicadapitch.Millis, do func()) {
	f.events = append(f.events, simEvent{f.now.Add(d), do})
}

// between returns a random time from low to high.
func (f *simFleet) between(low, high cicadapitch.Millis) cicadapitch.Millis {
	return low + cicadapitch.Millis(f.rng.Int64N(int64(high-low)+1))
}

func (f *simFleet) restart(h *simHost) {
	h.ledger, h.trials, h.disturbedAt = quarantine.NewLedger(), quarantine.NewTrials(), f.now
	if f.now >= f.storeDownUntil {
		for part, at := range f.stored {
			h.ledger.Merge(f.now, []quarantine.Report{{Part: part, AnsweredAgo: quarantine.Never, QuarantinedAgo: f.now.Sub(at)}})
		}
	}
}

func (f *simFleet) cut(h *simHost) bool { return f.now < h.cutUntil }

// owner returns the host that grants trials, as h knows it.
func (f *simFleet) owner(h *simHost) *simHost {
	for _, o := range f.hosts[:min(2, len(f.hosts))] {
		if o == h || !f.cut(o) && !f.cut(h) {
			return o
		}
	}
	return h
}

// try sends a request as soon as its parts allow that, or gives it up.
func (f *simFleet) try(h *simHost, parts []string, id cicadapitch.RequestID, waited cicadapitch.Millis, send func()) {
	part, state := h.ledger.Check(f.now, parts)
	if state == quarantine.Clear {
		send()
		return
	}
	if state == quarantine.Suspected {
		o := f.owner(h)
		granted := o.ledger.AllowsTrial(f.now, part, parts...) && o.trials.Begin(f.now, part, id)
		h.ledger.Merge(f.now, o.ledger.Reports(f.now, part))
		if granted {
			send()
			return
		}
		if waited < 800 {
			f.after(50, func() { f.try(h, parts, id, waited+50, send) })
			return
		}
	}
	f.heldBack++
}

// tell delivers reports of h to all other hosts that it reaches, and ends a trial.
func (f *simFleet) tell(h *simHost, reports []quarantine.Report, id cicadapitch.RequestID) {
	for _, o := range f.hosts {
		o := o
		f.after(f.between(1, 80), func() {
			if o != h && (f.cut(o) || f.cut(h)) {
				return
			}
			o.ledger.Merge(f.now, reports)
			o.trials.End(id)
		})
	}
}

// reportCrash tells all hosts of a crash that h recorded, or only the owner of a whole request
// of which h knows no other crash. The owner tells all hosts once it knows of several.
func (f *simFleet) reportCrash(h *simHost, keys []string, id cicadapitch.RequestID) {
	if !quarantine.IsRequestKey(keys[0]) || h.ledger.Crashes(keys[0]) > 1 {
		f.tell(h, h.ledger.Reports(f.now, keys...), id)
		return
	}
	owner, reports := f.owner(h), h.ledger.Reports(f.now, keys...)
	f.after(f.between(1, 80), func() {
		owner.ledger.Merge(f.now, reports)
		owner.trials.End(id)
		if owner.ledger.Crashes(keys[0]) > 1 {
			owner.ledger.Judge(f.now, keys)
			f.tell(owner, owner.ledger.Reports(f.now, keys...), id)
		}
	})
}

func (f *simFleet) newRequest() cicadapitch.RequestID {
	f.nextRequest++
	return cicadapitch.RequestID(fmt.Sprint(f.nextRequest))
}

func (f *simFleet) sendBad(h *simHost) {
	id := f.newRequest()
	parts := f.badKeys(id)
	held := f.heldBack
	f.try(h, parts, id, 0, func() {
		sentAt := f.now
		f.arrivals = append(f.arrivals, simArrival{f.now, h})
		f.after(f.between(20, 400), func() {
			endedAt := f.now
			f.crashes = append(f.crashes, endedAt)
			f.after(30, func() {
				ledger := h.ledger
				ledger.RecordCrash(f.now, parts, quarantine.Crash{Endpoint: cicadapitch.EndpointID(id), SentAt: sentAt, EndedAt: endedAt})
				f.reportCrash(h, parts, id)
				f.after(quarantine.JudgeDelay, func() {
					if ledger.Judge(f.now, parts) {
						f.tell(h, ledger.Reports(f.now, parts...), id)
					}
				})
			})
		})
	})
	f.heldBack = held
}

func (f *simFleet) sendSound(h *simHost) {
	id := f.newRequest()
	parts := f.soundKeys(id)
	f.sound++
	f.try(h, parts, id, 0, func() {
		f.after(f.between(300, 1200), func() {
			h.ledger.RecordAnswer(f.now, parts)
			h.trials.End(id)
			f.tell(h, nil, id)
		})
	})
}

// gossip exchanges reports with some other hosts and stores the quarantine.
func (f *simFleet) gossip(h *simHost) {
	for range 12 {
		o := f.hosts[f.rng.IntN(len(f.hosts))]
		if o == h || f.cut(o) || f.cut(h) {
			continue
		}
		reports, answer := h.ledger.Reports(f.now), o.ledger.Reports(f.now)
		f.after(f.between(1, 60), func() { o.ledger.Merge(f.now, reports); h.ledger.Merge(f.now, answer) })
	}
	if f.now >= f.storeDownUntil {
		for part, at := range h.ledger.Quarantined(f.now) {
			f.stored[part] = at
		}
	}
}

// disturb cuts hosts off or restarts them, one or up to all but one at a time, or takes
// the store away.
func (f *simFleet) disturb() {
	switch f.rng.IntN(4) {
	case 0:
		f.storeDownUntil = f.now.Add(f.between(1000, 6000))
		return
	case 1:
		if len(f.stored) > 0 && f.now >= f.storeDownUntil {
			for _, h := range f.hosts {
				f.restart(h)
			}
			return
		}
	}
	for _, i := range f.rng.Perm(len(f.hosts))[:1+f.rng.IntN(len(f.hosts)-1)] {
		h := f.hosts[i]
		if f.rng.IntN(2) == 0 {
			f.restart(h)
			continue
		}
		h.cutUntil = f.now.Add(f.between(500, 5000))
		h.disturbedAt = max(h.disturbedAt, h.cutUntil)
	}
}

// runDue runs the events that are due.
func (f *simFleet) runDue() {
	due := slices.Clone(f.events)
	f.events = f.events[:0]
	for _, e := range due {
		if e.at <= f.now {
			e.do()
		} else {
			f.events = append(f.events, e)
		}
	}
}

func (f *simFleet) run(badGap cicadapitch.Millis) {
	for end := f.now.Add(runTime); f.now < end; f.now = f.now.Add(stepTime) {
		f.runDue()
		if f.rng.Int64N(int64(badGap/stepTime)) == 0 {
			f.sendBad(f.hosts[f.rng.IntN(len(f.hosts))])
		}
		if f.rng.IntN(3) == 0 {
			f.sendSound(f.hosts[f.rng.IntN(len(f.hosts))])
		}
		if f.rng.IntN(400) == 0 {
			f.disturb()
		}
		for i, h := range f.hosts {
			if (int64(f.now)/10+int64(i))%40 == 0 {
				f.gossip(h)
			}
		}
	}
}

// requireBound runs simulations of fleets over random series of cuts, restarts and outages. It
// checks that at most maxLateArrivals bad requests arrive later than contactTime after the
// given number of crashes, sent by hosts that were not disturbed for as long, and that sound
// requests are sent.
func requireBound(t *testing.T, crashes int, badKeys, soundKeys func(cicadapitch.RequestID) []string) {
	for hosts, seeds := range map[int]uint64{2: 12, 8: 12, 40: 2} {
		for seed := range seeds {
			f := &simFleet{
				rng: rand.New(rand.NewPCG(seed, uint64(hosts))), now: start, stored: map[string]cicadapitch.Instant{},
				badKeys: badKeys, soundKeys: soundKeys,
			}
			for range hosts {
				h := &simHost{}
				f.restart(h)
				f.hosts = append(f.hosts, h)
			}
			f.run([]cicadapitch.Millis{50, 300, 1000}[seed%3])
			require.Greater(t, len(f.crashes), 2)
			if len(f.crashes) >= crashes {
				late := 0
				for _, a := range f.arrivals {
					if a.at > f.crashes[crashes-1].Add(contactTime) && a.at > a.host.disturbedAt.Add(contactTime) {
						late++
					}
				}
				require.LessOrEqual(t, late, maxLateArrivals, "%d hosts, seed %d, %d crashes", hosts, seed, len(f.crashes))
			}
			require.Less(t, f.heldBack*20, f.sound, "%d hosts, seed %d: %d of %d sound requests were held back", hosts, seed, f.heldBack, f.sound)
		}
	}
}

// TestFleetKeepsTheBoundThroughDisturbances covers a part of prompts that crashes endpoints,
// while sound requests have the same first part.
func TestFleetKeepsTheBoundThroughDisturbances(t *testing.T) {
	requireBound(t, 5,
		func(id cicadapitch.RequestID) []string { return []string{"first", "bad", "own" + string(id)} },
		func(id cicadapitch.RequestID) []string { return []string{"first", "sound" + string(id)} })
}

// TestFleetKeepsTheBoundForRepeatedRequests covers a whole request that crashes endpoints when
// it is repeated, while sound requests are repeated too.
func TestFleetKeepsTheBoundForRepeatedRequests(t *testing.T) {
	requireBound(t, 3,
		func(cicadapitch.RequestID) []string { return []string{quarantine.RequestKey(nil, "bad")} },
		func(id cicadapitch.RequestID) []string {
			return []string{quarantine.RequestKey(nil, "sound", string(id[len(id)-1:]))}
		})
}
