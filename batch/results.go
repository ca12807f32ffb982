package batch

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// result is a result at an endpoint, or a placeholder for result memory that is
// taken by results that the planner does not know.
type result struct {
	endpoint  cicadapitch.EndpointID
	bytes     cicadapitch.Bytes
	expiresAt cicadapitch.Instant
	// work is the part of its call's time that the result took, in milliseconds.
	work float64
	// fetched is set once the next stage has read the result. evictFetched clears
	// it when it adds the result to toFree.
	fetched bool
	// reclaimed is set while the result of an unfinished job is being freed.
	reclaimed bool
}

// countUnknownResults is called after an endpoint refused a result for lack of
// result memory. It pauses the endpoint and counts all its memory as used: the
// endpoint must hold results that this planner does not know, those of an earlier
// owner or of failed calls.
func (p *Planner) countUnknownResults(now cicadapitch.Instant, s *endpointState, id CallID) {
	s.backoffUntil, s.noMemoryAt = now.Add(noMemoryBackoff), now
	unknown := p.spec.ResultCapacity - s.resultMemoryUsed
	if unknown <= 0 {
		return
	}
	s.resultMemoryUsed += unknown
	p.results[fmt.Sprintf("others/%d", id)] = result{endpoint: s.ID, bytes: unknown, expiresAt: now.Add(unknownResultLife)}
}

// updateMemoryAfterFailure updates the used result memory of a piece whose call
// ended without results. A refused call releases the memory. After a call without
// an answer the memory counts as used for ResultTTL, since the endpoint may still
// run the call.
func (p *Planner) updateMemoryAfterFailure(now cicadapitch.Instant, s *endpointState, c *inFlightCall, i int, failure Failure) {
	bytes := c.Pieces[i].Job.ResultBytes
	if failure == CallRefused {
		s.resultMemoryUsed -= bytes
		return
	}
	name := fmt.Sprintf("unknown/%d/%d", c.ID, i)
	p.results[name] = result{endpoint: s.ID, bytes: bytes, expiresAt: now.Add(p.spec.ResultTTL)}
}

// Locate groups handles by the endpoint that holds their results. It also returns
// the handles that this planner does not know. Handles of endpoints that no longer
// exist are in neither result.
func (p *Planner) Locate(handles []string) (byEndpoint map[cicadapitch.EndpointID][]string, unknown []string) {
	byEndpoint = map[cicadapitch.EndpointID][]string{}
	for _, h := range handles {
		if r, ok := p.results[h]; !ok {
			unknown = append(unknown, h)
		} else if p.endpoints[r.endpoint] != nil {
			byEndpoint[r.endpoint] = append(byEndpoint[r.endpoint], h)
		}
	}
	return byEndpoint, unknown
}

// RecordFetched records that the next stage has read the results. They are kept,
// since that stage may run again, until their endpoint runs short of result memory.
func (p *Planner) RecordFetched(handles []string) {
	for _, h := range handles {
		if r, ok := p.results[h]; ok {
			r.fetched = true
			p.results[h] = r
		}
	}
}

// FetchedInputs returns the inputs of a running call by the shard that holds them.
// The caller must know that the call has read its inputs. Inputs of jobs that have
// pieces outside of the call or inputs in several shards are left out. The result
// is nil if the call is unknown or its endpoint is slow, since the call may then
// run again elsewhere, if the call may have waited for those of an earlier owner, and if the
// endpoint lacked memory for a result a short time ago.
func (p *Planner) FetchedInputs(id CallID) map[Shard][]string {
	s := p.calls[id]
	if s == nil || s.slowdown >= slowThreshold {
		return nil
	}
	c := s.calls[id]
	if s.promptAt == 0 || c.started.Sub(s.promptAt) > takeoverTime || s.noMemoryAt > 0 && c.started.Sub(s.noMemoryAt) < takeoverTime {
		return nil
	}
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

// evictFetched adds to toFree the fetched results of endpoints whose used result
// memory has reached evictionThreshold.
func (p *Planner) evictFetched() {
	for h, r := range p.results {
		s := p.endpoints[r.endpoint]
		if r.fetched && s != nil && float64(s.resultMemoryUsed) >= evictionThreshold*float64(p.spec.ResultCapacity) {
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

// removeResult removes a result and releases its memory.
func (p *Planner) removeResult(handle string, r result) {
	delete(p.results, handle)
	if s := p.endpoints[r.endpoint]; s != nil {
		s.resultMemoryUsed -= r.bytes
	}
}
