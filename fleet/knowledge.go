package fleet

import (
	"sync"

	"cicadapitch.example/cicadapitch"
)

// silenceTime is how long after its last answer a host, or the last failure of the store, still
// counts for what is assumed of the store.
const silenceTime cicadapitch.Millis = 2000

// promptTime is the longest time of a prompt answer of another host.
const promptTime cicadapitch.Millis = 300

const (
	// minPrompt is the share of prompt answers below which a host's own processor or link is too
	// busy to tell whether others are silent, promptWeight the weight of the newest answer in it.
	minPrompt    = 0.5
	promptWeight = 0.1
)

// outageAge is how long nobody has to have reached the store for an outage. It is longer than
// claims of sound hosts take to get around, and shorter than entries of endpoints last.
const outageAge cicadapitch.Millis = 1500

//go:generate go tool -modfile=../tools/go.mod enumer -type=Currency

// Currency says whether a host's knowledge of the endpoints may be used.
type Currency int

const (
	// Current knowledge is young enough.
	Current Currency = iota
	// StoreAway means that the knowledge is old, but most likely still true: the store does not
	// answer, and no host knows anything younger.
	StoreAway
	// Behind means that the knowledge is old and another host has younger knowledge, or that the
	// store has not been asked yet.
	Behind
	// CutOff means that the knowledge is old and that the store does not answer, nor do other
	// hosts in time: this host is cut off or too busy to tell that from an outage of the store.
	CutOff
)

// Claim says how old knowledge of the endpoints is: it is complete up to Revision, and Age ago the
// store had no later change of an endpoint.
type Claim struct {
	Revision cicadapitch.StoreRevision
	Age      cicadapitch.Millis
}

// Knowledge tracks how old a host's knowledge of the endpoints is, by this host's monotonic clock
// alone. The zero value knows nothing. It is safe for concurrent use.
type Knowledge struct {
	mu sync.Mutex
	// upTo is the store's revision up to which all changes of endpoints are applied. asOf is
	// an instant at which the store had no later one, or 0.
	upTo cicadapitch.StoreRevision
	asOf cicadapitch.Instant
	// heardOf is the latest instant for which any host knew all changes, and so reached the
	// store. outageEnd is the last one that came after a pause of outageAge.
	heardOf, outageEnd cicadapitch.Instant
	// youngerAt is when another host last claimed knowledge that was younger than this host's
	// and that this host lacked.
	youngerAt cicadapitch.Instant
	// storeFailedAt is when a question to the store last failed, heardAt when another host last
	// answered.
	storeFailedAt, heardAt cicadapitch.Instant
	// late is the smoothed share of questions to other hosts that were not answered promptly.
	late float64
}

// Advance records that all changes of endpoints up to a revision are applied.
func (k *Knowledge) Advance(upTo cicadapitch.StoreRevision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.upTo = max(k.upTo, upTo)
}

// Confirm applies the answer of the store to a question that was asked at askedAt: it had no
// changes of endpoints after the revision.
func (k *Knowledge) Confirm(askedAt cicadapitch.Instant, revision cicadapitch.StoreRevision) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if revision <= k.upTo {
		k.asOf = max(k.asOf, askedAt)
	}
	k.hearOf(askedAt)
}

// hearOf records that a host reached the store at an instant. The caller holds mu.
func (k *Knowledge) hearOf(at cicadapitch.Instant) {
	if k.heardOf > 0 && at.Sub(k.heardOf) > outageAge {
		k.outageEnd = at
	}
	k.heardOf = max(k.heardOf, at)
}

// HeardOf returns the latest instant at which any host reached the store, as far as this one has
// heard, or 0.
func (k *Knowledge) HeardOf() cicadapitch.Instant {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heardOf
}

// Outage reports whether no host that this one has heard of has reached the store for a time, or
// whether that was so less than window ago.
func (k *Knowledge) Outage(now cicadapitch.Instant, window cicadapitch.Millis) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.heardOf > 0 && now.Sub(k.heardOf) > outageAge || k.outageEnd > 0 && now.Sub(k.outageEnd) < window
}

// Hear applies the claim of another host in its answer, which came at now, to a question that was
// asked at askedAt. It reports false if the other host knows changes that this one lacks. c is nil
// if the host makes no claim.
func (k *Knowledge) Hear(askedAt, now cicadapitch.Instant, c *Claim) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heardAt = max(k.heardAt, now)
	k.recordAnswer(now.Sub(askedAt) <= promptTime)
	if c == nil {
		return true
	}
	if c.Revision.Era() < k.upTo.Era() {
		return true // the store has come back from a copy since that host asked it
	}
	// The claim was made later than the question was asked, so it is at most that old.
	asOf := askedAt.Add(-max(c.Age, 0))
	k.hearOf(asOf)
	if c.Revision > k.upTo {
		if asOf > k.asOf {
			k.youngerAt = max(k.youngerAt, now)
		}
		return false
	}
	k.asOf = max(k.asOf, asOf)
	return true
}

// Unanswered records that another host did not answer a question in time.
func (k *Knowledge) Unanswered() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordAnswer(false)
}

// recordAnswer records whether a question to another host was answered promptly. The caller holds
// mu.
func (k *Knowledge) recordAnswer(prompt bool) {
	k.late *= 1 - promptWeight
	if !prompt {
		k.late += promptWeight
	}
}

// StoreFailed records that a question to the store failed.
func (k *Knowledge) StoreFailed(now cicadapitch.Instant) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeFailedAt = max(k.storeFailedAt, now)
}

// UpTo returns the store's revision up to which all changes of endpoints are applied.
func (k *Knowledge) UpTo() cicadapitch.StoreRevision {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.upTo
}

// Claim returns what this host may tell others, or nil if it knows nothing.
func (k *Knowledge) Claim(now cicadapitch.Instant) *Claim {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.asOf == 0 {
		return nil
	}
	return &Claim{k.upTo, now.Sub(k.asOf)}
}

// Age returns how old the knowledge is, and false if there is none.
func (k *Knowledge) Age(now cicadapitch.Instant) (cicadapitch.Millis, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return now.Sub(k.asOf), k.asOf > 0
}

// Currency says whether knowledge that may be as old as limit may be used. others is true if there
// are other hosts.
func (k *Knowledge) Currency(now cicadapitch.Instant, limit cicadapitch.Millis, others bool) Currency {
	k.mu.Lock()
	defer k.mu.Unlock()
	recent := func(at cicadapitch.Instant) bool { return at > 0 && now.Sub(at) < silenceTime }
	switch {
	case k.asOf > 0 && now.Sub(k.asOf) <= limit:
		return Current
	case k.asOf == 0 || !recent(k.storeFailedAt) || recent(k.youngerAt) && k.heardOf > k.asOf:
		return Behind
	case others && (!recent(k.heardAt) || k.late > 1-minPrompt):
		return CutOff
	}
	return StoreAway
}
