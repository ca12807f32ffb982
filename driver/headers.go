package driver

// HTTP headers of calls to endpoints and of their answers.
const (
	// HeaderAttempt carries the attempt's id, as AttemptID.String formats it.
	HeaderAttempt = "Cicadapitch-Attempt"
	// HeaderCustomer carries the id of the customer whose request is served.
	HeaderCustomer = "Cicadapitch-Customer"
	// HeaderFencing carries the fencing number of the shard's owner in decimal.
	HeaderFencing = "Cicadapitch-Fencing"
	// HeaderNotRun is set to "true" in an error answer by an endpoint that did
	// not start the call and never will.
	HeaderNotRun = "Cicadapitch-Not-Run"
)
