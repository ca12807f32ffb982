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

// estimateCell holds one estimate under its own lock.
type estimateCell struct {
	mu    sync.Mutex
	state pipeline.Estimate
}

// estimates holds one running estimate of a duration for each stage of each pool.
type estimates struct{ cells sync.Map }

func newEstimates() *estimates { return &estimates{} }

// get returns the estimate for a stage, or one made from its expected service time
// if nothing has been measured.
func (e *estimates) get(st cicadapitch.Stage) pipeline.Estimate {
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
func (e *estimates) add(st cicadapitch.Stage, m cicadapitch.Millis) {
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
