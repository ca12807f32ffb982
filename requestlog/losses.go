package requestlog

import (
	"cmp"
	"io"
	"slices"

	"cicadapitch.example/cicadapitch"
)

// servedLoss is the loss of a request that was served.
const servedLoss = "Nothing"

// Loss counts the attempts of callers on one route that were not served for one cause.
type Loss struct {
	// Route is empty for attempts that were rejected before their route was known.
	Route, Cause string
	Count        int
	// Took is the median time that they took, Longest the longest.
	Took, Longest cicadapitch.Millis
	// First is the id of the first one.
	First cicadapitch.RequestID
}

// Losses reads the combined logs of hosts from r and counts the attempts of callers that were not served,
// by route and cause, the most frequent first. It also returns the number of all attempts.
func Losses(r io.Reader) (losses []Loss, attempts int, err error) {
	lines, err := readLines(r)
	if err != nil {
		return nil, 0, err
	}
	sortByTime(lines)
	type key struct{ route, cause string }
	first, took := map[key]cicadapitch.RequestID{}, map[key][]cicadapitch.Millis{}
	for _, l := range lines {
		if l.fields.Loss == "" {
			continue
		}
		attempts++
		if l.fields.Loss == servedLoss {
			continue
		}
		k := key{l.fields.Route, l.fields.Loss}
		if len(took[k]) == 0 {
			first[k] = l.fields.ID
		}
		took[k] = append(took[k], l.fields.TookMs)
	}
	for k, times := range took {
		slices.Sort(times)
		losses = append(losses, Loss{k.route, k.cause, len(times), times[len(times)/2], times[len(times)-1], first[k]})
	}
	slices.SortFunc(losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route), cmp.Compare(a.Cause, b.Cause))
	})
	return losses, attempts, nil
}
