package canary

import "math"

const (
	// profileAnswers bounds the weight of the past in a profile, in answers. It follows the old version's times
	// within some seconds at 100 answers a second, and is smooth enough for a choice of a threshold.
	profileAnswers = 1000
	// minProfileAnswers is the number of answers from which a threshold is chosen. Its noise makes a
	// threshold less fit, not wrong.
	minProfileAnswers = 20
	// toleratedFactor is the factor of times that is no reason for a rollback. Endpoints of the same version
	// differ by so much, and the new version's requests go to few endpoints.
	toleratedFactor = 1.2
	// clearMargin keeps apart slowdowns and times that are longer by toleratedFactor. At 1, the threshold would
	// lie where few answers are, and its noise would decide.
	clearMargin = 1.5
	// keepScore is the part of the best threshold's score from which the one in use is kept. Calls that wait
	// while the threshold changes may count twice or not at all.
	keepScore = 0.6
)

// logBinRatio is the width of a bin on the scale of logarithms.
var logBinRatio = math.Log(binRatio)

// profile is the recent distribution of the old version's times on one route.
type profile struct {
	counts [Bins]float64
	// after are the numbers of times in later bins.
	after [Bins]float64
	total float64
}

// add takes further times.
func (p *profile) add(times [Bins]int64) {
	if p.total > profileAnswers {
		for i := range p.counts {
			p.counts[i] *= profileAnswers / p.total
		}
		p.total = profileAnswers
	}
	for i, n := range times {
		p.counts[i] += float64(n)
		p.total += float64(n)
	}
	for i := Bins - 2; i >= 0; i-- {
		p.after[i] = p.after[i+1] + p.counts[i+1]
	}
}

// above returns the share of times above a factor of the edge of a bin. Within a bin the
// logarithms of times are taken as evenly spread.
func (p *profile) above(edge int, factor float64) float64 {
	// whole and part are the bin in which the time is, and its place there.
	whole, part := math.Modf(float64(edge+1) + math.Log(factor)/logBinRatio)
	n := p.total
	if whole >= 0 && part >= 0 {
		i := min(int(whole), Bins-1)
		n = p.after[i] + p.counts[i]*(1-part)
	}
	// Half an answer on either side keeps the share from 0 and 1.
	return (n + 0.5) / (p.total + 1)
}

// slowdown is a way of being slow: a share of the answers takes a factor of the time.
type slowdown struct{ share, factor float64 }

// slowdowns are the ways of being slow that are tested. The first is the least that a bad version has; what
// is worse than one of them has evidence for it, too.
var slowdowns = [...]slowdown{{1. / 3, 2}, {1, 2}, {1. / 3, 5}, {1, 5}}

// threshold is a time above which answers count as slow.
type threshold struct {
	// bin is the last bin that is not slow.
	bin int
	// equal and bad are the shares of slow answers to expect of a version like the old one and of a bad one.
	// noticed is the share from which callers notice.
	equal, bad, noticed float64
}

// threshold returns the threshold that tells a slowdown best from the old version's times, and whether there is one. A
// slowdown must raise the share of slow answers by clearMargin times as much as toleratedFactor does.
// floor is the least share of slow answers that is expected above each edge, or nil; used is the threshold
// in use, if inUse is set.
func (p *profile) threshold(s slowdown, floor *[Bins]float64, used threshold, inUse bool) (best threshold, ok bool) {
	if p.total < minProfileAnswers {
		return threshold{}, false
	}
	score, kept := 0.0, 0.0
	for b := range Bins - 1 {
		th, d := p.score(s, floor, b)
		if d > score {
			score, best, ok = d, th, true
		}
		if inUse && b == used.bin {
			used, kept = th, d
		}
	}
	if kept > 0 && kept >= keepScore*score {
		return used, true
	}
	return best, ok
}

// score returns the threshold at a bin and the evidence to expect of an answer of a bad version there, 0 if it does not tell
// a slowdown.
func (p *profile) score(s slowdown, floor *[Bins]float64, b int) (threshold, float64) {
	equal, tolerated := p.above(b, 1), p.above(b, 1/toleratedFactor)
	bad := s.share*p.above(b, 1/s.factor) + (1-s.share)*equal
	if floor != nil {
		equal, tolerated = max(equal, floor[b]), max(tolerated, floor[b])
	}
	if bad-equal <= clearMargin*(tolerated-equal) {
		return threshold{}, 0
	}
	return threshold{bin: b, equal: equal, bad: bad, noticed: max((equal+bad)/2, tolerated)}, divergence(bad, equal)
}

// divergence returns the mean logarithm of the likelihood ratio that an answer brings if the share of slow
// answers is p, against q.
func divergence(p, q float64) float64 { return p*math.Log(p/q) + (1-p)*math.Log((1-p)/(1-q)) }
