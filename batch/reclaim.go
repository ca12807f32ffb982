package batch

import (
	"slices"

	"cicadapitch.example/cicadapitch"
)

// reclaimMemory frees results of unfinished jobs while streams that are taken up again lack result
// memory. The jobs that are served last lose theirs first, and run these pieces once more.
func (p *Planner) reclaimMemory(now cicadapitch.Instant) {
	needed := p.missingMemory()
	if needed <= 0 {
		return
	}
	for _, job := range slices.Backward(p.sortedJobs(now)) {
		if needed <= 0 || job.Resumed {
			return
		}
		for i, h := range job.handles {
			if h != "" {
				needed -= p.reclaim(job, i)
			}
		}
	}
}

// missingMemory returns by how much the queued pieces of streams that are taken up again exceed the
// result memory that is free or is being reclaimed.
func (p *Planner) missingMemory() cicadapitch.Bytes {
	var missing cicadapitch.Bytes
	for _, job := range p.jobs {
		if job.Resumed {
			missing += job.ResultBytes * cicadapitch.Bytes(len(job.queued))
		}
	}
	if missing == 0 {
		return 0
	}
	for _, s := range p.endpoints {
		if !s.removed {
			missing -= max(p.freeMemory(s), 0)
		}
	}
	for _, r := range p.results {
		if r.reclaimed {
			missing -= r.bytes
		}
	}
	return missing
}

// freeMemory returns the result memory of an endpoint that further calls may fill.
func (p *Planner) freeMemory(s *endpointState) cicadapitch.Bytes {
	return cicadapitch.Bytes(maxMemoryShare*float64(p.spec.ResultCapacity)) - s.resultMemoryUsed
}

// reclaim frees the result of a piece of an unfinished job, puts the piece back into the queue and
// returns the size of the result.
func (p *Planner) reclaim(job *jobState, index int) cicadapitch.Bytes {
	h := job.handles[index]
	r := p.results[h]
	p.countWaste(WasteReclaimed, r.work)
	if s := p.endpoints[r.endpoint]; s != nil {
		job.zones[s.Zone]--
	}
	job.handles[index] = ""
	job.remaining++
	job.queued = append(job.queued, index)
	r.reclaimed = true
	if r.bytes > 0 {
		p.results[h] = r
	}
	p.toFree = append(p.toFree, h)
	return r.bytes
}
