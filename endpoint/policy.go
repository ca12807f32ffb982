package endpoint

import "cicadapitch.example/cicadapitch"

// Policy holds the numbers that steer the decisions of a shard.
type Policy struct {
	// TickEvery is the span between two looks at running and queued work.
	TickEvery cicadapitch.Millis
	// PollEvery is the span between two load reports of an endpoint.
	PollEvery cicadapitch.Millis
	// PollTimeout bounds one load report.
	PollTimeout cicadapitch.Millis
	// ReportLag bounds the age of a load report when it is read.
	ReportLag cicadapitch.Millis
	// ForeignWork bounds how long a previous owner's calls can run on.
	ForeignWork cicadapitch.Millis
}

// StandardPolicy returns the policy that the daemon uses.
func StandardPolicy() Policy {
	return Policy{
		TickEvery:   50,
		PollEvery:   cicadapitch.Second,
		PollTimeout: cicadapitch.Second,
		ReportLag:   500,
		ForeignWork: 15 * cicadapitch.Second,
	}
}
