package batch

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

type result struct {
	endpoint cicadapitch.EndpointID
	bytes    cicadapitch.Bytes
	expire   cicadapitch.Instant
	// fetched results were read by their user.
	fetched bool
}

// fullOfOthers takes that an endpoint has less room than was thought: it holds
// results of an earlier owner, or of calls that broke.
func (p *Planner) fullOfOthers(now cicadapitch.Instant, w *worker, id CallID) {
	w.until = now.Add(roomPause)
	unknown := p.spec.ResultCapacity - w.used
	if unknown <= 0 {
		return
	}
	w.used += unknown
	p.results[fmt.Sprintf("others/%d", id)] = result{endpoint: w.ID, bytes: unknown, expire: now.Add(othersLife)}
}

// unsettled releases the room of a piece without a result. An endpoint may go on
// with a call that broke, so its room stays taken for a result's life.
func (p *Planner) unsettled(now cicadapitch.Instant, w *worker, f *flight, i int, failure Failure) {
	bytes := f.Pieces[i].Job.ResultBytes
	if failure == Full {
		w.used -= bytes
		return
	}
	name := fmt.Sprintf("unknown/%d/%d", f.ID, i)
	p.results[name] = result{endpoint: w.ID, bytes: bytes, expire: now.Add(p.spec.ResultTTL)}
}

// Locate returns results by the endpoint that holds them, and those that this
// owner did not order.
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

// Fetched takes that results were read by their user. They are given up where
// their endpoint runs out of room, and kept for a repeat otherwise.
func (p *Planner) Fetched(handles []string) {
	for _, h := range handles {
		if r, ok := p.results[h]; ok {
			r.fetched = true
			p.results[h] = r
		}
	}
}

// FetchedBy returns the inputs that a call has fetched, by the shard that
// holds them. Inputs of jobs with pieces elsewhere or still waiting are left out,
// and those of calls at slow endpoints, which may have to be repeated.
func (p *Planner) FetchedBy(id CallID) map[Shard][]string {
	w := p.calls[id]
	if w == nil || w.slow >= slowFrom {
		return nil
	}
	f := w.calls[id]
	pieces := map[JobID]int{}
	for _, ref := range f.Pieces {
		pieces[ref.Job.ID]++
	}
	out := map[Shard][]string{}
	for _, ref := range f.Pieces {
		j := ref.Job
		if pieces[j.ID] == j.Pieces && len(j.InputShards) == 1 {
			out[j.InputShards[0]] = append(out[j.InputShards[0]], j.Inputs...)
			pieces[j.ID] = 0
		}
	}
	return out
}

// makeRoom lists fetched results at endpoints that run out of room.
func (p *Planner) makeRoom() {
	for h, r := range p.results {
		w := p.workers[r.endpoint]
		if r.fetched && w != nil && float64(w.used) >= tightRoom*float64(p.spec.ResultCapacity) {
			p.orphans = append(p.orphans, h)
			r.fetched = false
			p.results[h] = r
		}
	}
}

// Freed takes that an endpoint has given up results.
func (p *Planner) Freed(handles []string) {
	for _, h := range handles {
		if r, ok := p.results[h]; ok {
			p.forget(h, r)
		}
	}
}

// forget drops a result and gives its room back.
func (p *Planner) forget(handle string, r result) {
	delete(p.results, handle)
	if w := p.workers[r.endpoint]; w != nil {
		w.used -= r.bytes
	}
}
