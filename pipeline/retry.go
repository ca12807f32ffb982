package pipeline

import "cicadapitch.example/cicadapitch"

//go:generate go tool -modfile=../tools/go.mod enumer -type=RetryAction -linecomment -json -text -output=retryaction_enumer.go

// RetryAction is what to do after an attempt that gave no result.
type RetryAction int

// The actions after an attempt.
const (
	// Fail ends the stage with the error.
	Fail RetryAction = iota
	// Retry starts a further attempt.
	Retry
	// FollowRedirect starts a further attempt at the owner that the error
	// names.
	FollowRedirect // Follow
	// QueryOutcome asks the owner for the outcome of the attempt, which may
	// have run and must not be repeated.
	QueryOutcome // Ask
)

const (
	// Limits of the attempts of one stage. Redirects beyond maxRedirects count as
	// refusals.
	maxRefusals  = 8
	maxRedirects = 3
	maxFailures  = 3

	backoffBase  cicadapitch.Millis = 5
	backoffLimit cicadapitch.Millis = 500
)

// AttemptCounts holds the counts of the attempts of one stage that gave no result,
// and whether the stage is idempotent.
type AttemptCounts struct {
	// Idempotent is true if the stage may run more than once.
	Idempotent bool
	// Refusals is the number of attempts that no endpoint started.
	Refusals int
	// Redirects is the number of attempts that were redirected to the shard's
	// owner.
	Redirects int
	// Failures is the number of attempts that may have started.
	Failures int
}

// RetryDecision is an action and the wait before it.
type RetryDecision struct {
	Action RetryAction
	Wait   cicadapitch.Millis
	// NeedsBudget is true if the action needs a token of the retry budget.
	NeedsBudget bool
}

// DecideRetry returns the counts and what to do after an attempt that ended
// with an error of the given kind. It fails the stage if the next attempt could
// not start within the remaining time. Random supplies the jitter of the wait.
func DecideRetry(counts AttemptCounts, kind cicadapitch.Kind, remaining cicadapitch.Millis, random uint64) (AttemptCounts, RetryDecision) {
	switch {
	case Permanent(kind):
		return counts, RetryDecision{Action: Fail}
	case kind == cicadapitch.Redirected && counts.Redirects < maxRedirects:
		counts.Redirects++
		return counts, failIfTooLate(RetryDecision{Action: FollowRedirect}, remaining)
	case NotStarted(kind):
		counts.Refusals++
		if counts.Refusals > maxRefusals {
			return counts, RetryDecision{Action: Fail}
		}
		return counts, failIfTooLate(RetryDecision{Action: Retry, Wait: backoff(counts.Refusals, random)}, remaining)
	case !counts.Idempotent:
		return counts, RetryDecision{Action: QueryOutcome}
	}
	counts.Failures++
	if counts.Failures > maxFailures {
		return counts, RetryDecision{Action: Fail}
	}
	return counts, failIfTooLate(RetryDecision{Action: Retry, Wait: backoff(counts.Failures, random), NeedsBudget: true}, remaining)
}

// Permanent reports whether an error of the kind is permanent: the endpoint
// itself rejected the request, and a further attempt would give the same error.
func Permanent(kind cicadapitch.Kind) bool {
	switch kind {
	case cicadapitch.Invalid, cicadapitch.Denied, cicadapitch.NotFound, cicadapitch.Conflict:
		return true
	}
	return false
}

// NotStarted reports whether an error of the kind guarantees that the attempt
// did not start and will not start later.
func NotStarted(kind cicadapitch.Kind) bool {
	return kind == cicadapitch.NotRun || kind == cicadapitch.Redirected
}

// failIfTooLate returns the decision, or Fail if the wait takes all the
// remaining time.
func failIfTooLate(d RetryDecision, remaining cicadapitch.Millis) RetryDecision {
	if remaining <= d.Wait {
		return RetryDecision{Action: Fail}
	}
	return d
}

// backoff returns a random wait between 0 and a limit that doubles with each
// attempt. The full jitter prevents hosts that failed at the same time from
// retrying at the same time.
func backoff(n int, random uint64) cicadapitch.Millis {
	limit := min(backoffBase<<min(n-1, 10), backoffLimit)
	return cicadapitch.Millis(random % uint64(limit+1))
}
