package batch

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// reserveShare is the share of what a class asks for that it gets under contention, however much more
	// urgent work there is.
	reserveShare = 0.1
	// reserveTimeConstant is the time constant with which what was asked for and admitted is forgotten,
	// about as long as a burst.
	reserveTimeConstant = 5 * cicadapitch.Second
	// largeFactor is the number of pieces, as a multiple of the mean of the level, from which a job is large.
	largeFactor = 2.0
	// largeRefusalFactor is how much more often large jobs may be refused than the others of their level. It
	// leaves a margin to twice as often.
	largeRefusalFactor = 1.5
	// meanPiecesWeight is the weight of the newest job in the mean number of pieces.
	meanPiecesWeight = 0.02
)

// account is what a class of jobs asked for and what was admitted, in pieces, with decay.
type account struct{ asked, admitted float64 }

// refused returns the refused share.
func (a account) refused() float64 {
	if a.asked <= 0 {
		return 0
	}
	return 1 - a.admitted/a.asked
}

// levelAccounts are the accounts of a priority level: of all jobs, of those whose request was refused
// before, and by size.
type levelAccounts struct {
	all, returned, large, small account
	meanPieces                  float64
}

// reserve keeps a share of the capacity for the jobs that would otherwise get none. It is charged with all jobs,
// and decides only under contention.
type reserve struct {
	levels    [priorityLevels]levelAccounts
	updatedAt cicadapitch.Instant
}

// of returns the accounts of a job, its own level's first.
func (r *reserve) of(job *jobState) []*account {
	l := &r.levels[priorityLevel(job.Priority)]
	list := []*account{&l.all}
	if job.Retried {
		list = append(list, &l.returned)
	}
	if l.isLarge(job) {
		return append(list, &l.large)
	}
	return append(list, &l.small)
}

func (l *levelAccounts) isLarge(job *jobState) bool {
	return float64(job.Pieces) > largeFactor*l.meanPieces
}

// ask counts a job that arrives.
func (r *reserve) ask(now cicadapitch.Instant, job *jobState) {
	factor := math.Exp(-float64(max(now.Sub(r.updatedAt), 0)) / float64(reserveTimeConstant))
	for i := range r.levels {
		l := &r.levels[i]
		for _, a := range []*account{&l.all, &l.returned, &l.large, &l.small} {
			a.asked *= factor
			a.admitted *= factor
		}
	}
	r.updatedAt = max(r.updatedAt, now)
	l := &r.levels[priorityLevel(job.Priority)]
	if l.meanPieces == 0 {
		l.meanPieces = float64(job.Pieces)
	}
	for _, a := range r.of(job) {
		a.asked += float64(job.Pieces)
	}
	l.meanPieces += meanPiecesWeight * (float64(job.Pieces) - l.meanPieces)
}

// admit counts a job that is admitted. It must be called after ask.
func (r *reserve) admit(job *jobState) {
	for _, a := range r.of(job) {
		a.admitted += float64(job.Pieces)
	}
}

// owes reports whether a job that would be refused is due to be admitted: its level, the requests of its level
// that return, or its size got less than they are due. It may owe a job before the share is reached, so that
// a large one fits.
func (r *reserve) owes(job *jobState) bool {
	l := &r.levels[priorityLevel(job.Priority)]
	owed := func(a account) bool { return a.admitted < reserveShare*a.asked }
	return owed(l.all) || job.Retried && owed(l.returned) ||
		l.isLarge(job) && l.large.refused() > largeRefusalFactor*l.small.refused()
}
