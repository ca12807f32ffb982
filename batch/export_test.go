package batch

// KeepOrderWithoutContention makes the planner order and admit jobs as if they did not compete.
func (p *Planner) KeepOrderWithoutContention() { p.withoutContention = true }

// HedgeEverything makes the planner hedge overdue calls without regard to their endpoints and the queue.
func (p *Planner) HedgeEverything() { p.hedgeEverything = true }
