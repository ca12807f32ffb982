package fronthost

import "cicadapitch.example/cicadapitch"

// ClosesListener reports whether the host self of the given ones closes its listener for callers,
// elapsed after a request to stop, while others of them take callers.
func ClosesListener(grace cicadapitch.Millis, self cicadapitch.HostID, hosts []cicadapitch.HostID, elapsed cicadapitch.Millis, others int) bool {
	return newShutdownPlan(grace, self, hosts).closes(elapsed, others)
}
