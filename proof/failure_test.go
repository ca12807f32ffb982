package proof_test

import (
	"testing"

	"cicadapitch.example/cicadapitch"
)

// requireOnlyBookingsFailed checks that requests that may be repeated were all
// answered, and that a booking failed only with an outcome that the caller can
// act on.
func requireOnlyBookingsFailed(t *testing.T, all []served) {
	t.Helper()
	for _, s := range failures(all) {
		kind := cicadapitch.KindOf(s.err)
		known := kind == cicadapitch.OutcomeUnknown || kind == cicadapitch.NotRun
		if s.request.Pipeline != "book" || !known {
			t.Errorf("%s %s after %v: %v", s.request.Pipeline, s.request.Input, s.took, s.err)
		}
	}
}
