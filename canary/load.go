package canary

import (
	"math"

	"cicadapitch.example/cicadapitch"
)

const (
	// loadTime is the time constant of the rates of answers.
	loadTime = 4 * cicadapitch.Second
	// minLoadAnswers is the number of answers from which rates are compared.
	minLoadAnswers = 50
	// recentLooks is the number of looks whose times are taken together as those of a disturbance: 4 s.
	recentLooks = 8
	// minRecentAnswers is the number of answers from which a disturbance is told from chance.
	minRecentAnswers = 50
)

// load compares the requests per endpoint of the versions.
type load struct {
	// oldEndpoints and newEndpoints are the endpoints that serve.
	oldEndpoints, newEndpoints int
	// before are the answers up to the last look, and oldRecent and newRecent the faded numbers since.
	oldBefore, newBefore int64
	oldRecent, newRecent float64
	// perEndpoint is the largest faded number of answers of an endpoint of the old version in Canary.
	perEndpoint float64
}

// look takes the answers since the last look.
func (l *load) look(since cicadapitch.Millis, routes map[string]*routeTotals, phase Phase) {
	var oldAnswers, newAnswers int64
	for _, t := range routes {
		oldAnswers += t.old.answers
		newAnswers += t.new.answers
	}
	if l.oldBefore+l.newBefore == 0 {
		// The first reports may hold the answers of a long time.
		l.oldBefore, l.newBefore = oldAnswers, newAnswers
		return
	}
	fade := math.Exp(-float64(max(since, 0)) / float64(loadTime))
	l.oldRecent = l.oldRecent*fade + float64(oldAnswers-l.oldBefore)
	l.newRecent = l.newRecent*fade + float64(newAnswers-l.newBefore)
	l.oldBefore, l.newBefore = oldAnswers, newAnswers
	if phase == Canary && l.oldEndpoints > 0 {
		l.perEndpoint = max(l.perEndpoint, l.oldRecent/float64(l.oldEndpoints))
	}
}

// explains reports whether endpoints of the new version get so many more requests than the old ones do,
// or in Shift did, that slowness is due to that.
func (l *load) explains(phase Phase) bool {
	if l.oldEndpoints == 0 || l.newEndpoints == 0 || l.newRecent < minLoadAnswers {
		return false
	}
	reference := l.oldRecent / float64(l.oldEndpoints)
	if phase == Shift {
		reference = l.perEndpoint
	}
	return l.newRecent/float64(l.newEndpoints) > loadFactor*reference
}

// recentTimes holds the old version's times of the last looks.
type recentTimes struct {
	before [Bins]int64
	looks  [recentLooks][Bins]int64
	next   int
	// worst are the largest shares of times above the edge of each bin in any recentLooks looks.
	worst [Bins]float64
}

// add takes the totals at a look and returns what came since the last one.
func (r *recentTimes) add(totals [Bins]int64) (since [Bins]int64) {
	for i := range totals {
		since[i] = totals[i] - r.before[i]
	}
	r.before, r.looks[r.next] = totals, since
	r.next = (r.next + 1) % recentLooks
	var sum [Bins]int64
	for _, look := range r.looks {
		for i, n := range look {
			sum[i] += n
		}
	}
	if n := count(sum); n >= minRecentAnswers {
		above := int64(0)
		for i := Bins - 1; i >= 0; i-- {
			r.worst[i] = max(r.worst[i], float64(above)/float64(n))
			above += sum[i]
		}
	}
	return since
}
