package batch

// KeepOrderWithoutContention makes the planner order and admit jobs as if they did not compete.
func (p *Planner) KeepOrderWithoutContention() { p.withoutContention = true }
