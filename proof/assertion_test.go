package proof_test

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/standin"
)

// requireOnlyBookingsFailed checks that every request through the pipeline "answer",
// whose stages are idempotent, succeeded, and that requests through the pipeline
// "book" failed only with OutcomeUnknown or NotRun.
func requireOnlyBookingsFailed(t *testing.T, results []requestResult) {
	t.Helper()
	for _, r := range failedRequests(results) {
		kind := cicadapitch.KindOf(r.err)
		allowed := kind == cicadapitch.OutcomeUnknown || kind == cicadapitch.NotRun
		if r.request.Pipeline != "book" || !allowed {
			t.Errorf("%s %s after %v: %v", r.request.Pipeline, r.request.Input, r.took, r.err)
		}
	}
}

// requireCompleteAnswers checks that every answer and its streamed text are complete
// and belong to their request. Failed requests are ignored.
func requireCompleteAnswers(t *testing.T, results []requestResult) {
	t.Helper()
	for _, r := range results {
		if r.err != nil {
			continue
		}
		require.Equal(t, expectedOutput(r.request.Pipeline, r.request.Input), r.answer.Output, "%s, streamed %q, answer %+v", r.request.Input, r.text, r.answer)
		require.Equal(t, expectedText(r.request.Input), r.text, "streamed text of %s, answer %+v", r.request.Input, r.answer)
	}
}

// requireBookingsMatchResults checks on the booking stand-ins that no booking was made
// twice, that each answered booking was made and that no booking was made whose
// request failed with NotRun.
func requireBookingsMatchResults(t *testing.T, f *fleet, results []requestResult) {
	t.Helper()
	bookings := lo.CountValuesBy(f.Bookings("booking"), func(b standin.Booking) string { return b.Input })
	for _, r := range results {
		if r.request.Pipeline != "book" {
			continue
		}
		n := bookings[expectedText(r.request.Input)]
		require.LessOrEqual(t, n, 1, r.request.Input)
		if r.err == nil {
			require.Equal(t, 1, n, r.request.Input)
		}
		if cicadapitch.KindOf(r.err) == cicadapitch.NotRun {
			require.Zero(t, n, "%s was refused as not run: %v", r.request.Input, r.err)
		}
	}
}

// failedRequests returns the results of the failed requests.
func failedRequests(results []requestResult) []requestResult {
	return lo.Filter(results, func(r requestResult, _ int) bool { return r.err != nil })
}

// requireAllAnswered checks that there were requests and none failed.
func requireAllAnswered(t *testing.T, results []requestResult) {
	t.Helper()
	require.NotEmpty(t, results)
	for _, r := range failedRequests(results) {
		t.Errorf("%s %s after %v: %v", r.request.Pipeline, r.request.Input, r.took, r.err)
	}
}
