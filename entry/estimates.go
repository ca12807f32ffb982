package entry

import (
	"sync"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/pipeline"
)

type estimateKey struct {
	pool  cicadapitch.PoolID
	stage cicadapitch.StageID
}

// estimateCell holds the estimate for one stage under its own lock.
type estimateCell struct {
	mu    sync.Mutex
	state pipeline.Estimate
}

// durationEstimates holds an estimate of a duration for each stage of each pool.
type durationEstimates struct{ cells sync.Map }

func newDurationEstimates() *durationEstimates { return &durationEstimates{} }

// get returns the estimate for a stage, or one made from ExpectedMillis if nothing
// has been measured.
func (e *durationEstimates) get(st cicadapitch.Stage) pipeline.Estimate {
	c, ok := e.cells.Load(estimateKey{st.Pool, st.ID})
	if !ok {
		return pipeline.NewEstimate(st.ExpectedMillis)
	}
	cell := c.(*estimateCell)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	return cell.state
}

// add adds a measured duration to the estimate for a stage.
func (e *durationEstimates) add(st cicadapitch.Stage, m cicadapitch.Millis) {
	k := estimateKey{st.Pool, st.ID}
	c, ok := e.cells.Load(k)
	if !ok {
		c, _ = e.cells.LoadOrStore(k, &estimateCell{state: pipeline.NewEstimate(st.ExpectedMillis)})
	}
	cell := c.(*estimateCell)
	cell.mu.Lock()
	defer cell.mu.Unlock()
	cell.state = cell.state.Add(m)
}
