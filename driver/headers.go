package driver

// Headers of calls and of answers.
const (
	HeaderAttempt  = "Cicadapitch-Attempt"
	HeaderCustomer = "Cicadapitch-Customer"
	HeaderFencing  = "Cicadapitch-Fencing"
	// HeaderNotRun is "true" in the answer of an endpoint that did not start
	// the call and never will.
	HeaderNotRun = "Cicadapitch-Not-Run"
)
