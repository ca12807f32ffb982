package batch

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// result is a result that an endpoint holds until expire.
type result struct {
	endpoint cicadapitch.EndpointID
	bytes    cicadapitch.Bytes
	expire   cicadapitch.Instant
	// fetched is set once the result was read by the stage that uses it.
	fetched bool
}

// countUnknownResults counts all of an endpoint's room as used, and pauses the
// endpoint, after it refused a result for lack of room. The endpoint holds results
// that this planner does not know, from an earlier owner or from failed calls.
func (p *Planner) countUnknownResults(now cicadapitch.Instant, w *worker, id CallID) {
	w.backoffUntil = now.Add(noRoomBackoff)
	unknown := p.spec.ResultCapacity - w.roomUsed
	if unknown <= 0 {
		return
	}
	w.roomUsed += unknown
	p.results[fmt.Sprintf("others/%d", id)] = result{endpoint: w.ID, bytes: unknown, expire: now.Add(unknownRoomLife)}
}

// releaseRoom releases the room of a piece whose call was refused. An endpoint
// may continue a call that failed without an answer, so the room of its pieces
// stays in use for the life of a result.
func (p *Planner) releaseRoom(now cicadapitch.Instant, w *worker, c *inFlightCall, i int, failure Failure) {
	bytes := c.Pieces[i].Job.ResultBytes
	if failure == CallRefused {
		w.roomUsed -= bytes
		return
	}
	name := fmt.Sprintf("unknown/%d/%d", c.ID, i)
	p.results[name] = result{endpoint: w.ID, bytes: bytes, expire: now.Add(p.spec.ResultTTL)}
}

// Locate groups handles by the endpoint that holds their results. It also returns
// the handles that this planner does not know.
func (p *Planner) Locate(handles []string) (map[cicadapitch.EndpointID][]string, []string) {
	out := map[cicadapitch.EndpointID][]string{}
	var unknown []string
	for _, h := range handles {
		if r, ok := p.results[h]; !ok {
			unknown = append(unknown, h)
		} else if p.workers[r.endpoint] != nil {
			out[r.endpoint] = append(out[r.endpoint], h)
		}
	}
	return out, unknown
}

// RecordFetched records that results were read by the stage that uses them. They
// stay in case that stage is repeated, and are evicted when their endpoint runs
// out of room.
func (p *Planner) RecordFetched(handles []string) {
	for _, h := range handles {
		if r, ok := p.results[h]; ok {
			r.fetched = true
			p.results[h] = r
		}
	}
}

// FetchedInputs returns the inputs that a running call has fetched, by the shard
// that holds them. It leaves out the inputs of jobs that have pieces outside of
// the call. It returns nil for a slow endpoint, since the call may have to be
// repeated.
func (p *Planner) FetchedInputs(id CallID) map[Shard][]string {
	w := p.calls[id]
	if w == nil || w.slowdown >= slowThreshold {
		return nil
	}
	c := w.calls[id]
	pieces := map[JobID]int{}
	for _, ref := range c.Pieces {
		pieces[ref.Job.ID]++
	}
	out := map[Shard][]string{}
	for _, ref := range c.Pieces {
		j := ref.Job
		if pieces[j.ID] == j.Pieces && len(j.InputShards) == 1 {
			out[j.InputShards[0]] = append(out[j.InputShards[0]], j.Inputs...)
			pieces[j.ID] = 0
		}
	}
	return out
}

// evictFetched adds the fetched results of endpoints that run out of room to
// toFree.
func (p *Planner) evictFetched() {
	for h, r := range p.results {
		w := p.workers[r.endpoint]
		if r.fetched && w != nil && float64(w.roomUsed) >= evictFetchedFrom*float64(p.spec.ResultCapacity) {
			p.toFree = append(p.toFree, h)
			r.fetched = false
			p.results[h] = r
		}
	}
}

// RecordFreed records that an endpoint has freed results.
func (p *Planner) RecordFreed(handles []string) {
	for _, h := range handles {
		if r, ok := p.results[h]; ok {
			p.removeResult(h, r)
		}
	}
}

// removeResult removes a result and releases its room.
func (p *Planner) removeResult(handle string, r result) {
	delete(p.results, handle)
	if w := p.workers[r.endpoint]; w != nil {
		w.roomUsed -= r.bytes
	}
}
