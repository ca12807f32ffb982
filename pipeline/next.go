package pipeline

import "cicadapitch.example/cicadapitch"

//go:generate go tool -modfile=../tools/go.mod enumer -type=Move -json -text -output=move_enumer.go

// Move is what to do after an attempt without a result.
type Move int

// The moves after an attempt.
const (
	// Fail ends the stage with the error.
	Fail Move = iota
	// Retry starts a further attempt.
	Retry
	// Follow starts a further attempt at the owner that the error names.
	Follow
	// Ask asks the owner what became of the attempt.
	Ask
)

const (
	maxRefusals  = 8
	maxRedirects = 3
	maxFailures  = 3

	backoffBase  cicadapitch.Millis = 5
	backoffLimit cicadapitch.Millis = 500
)

// AttemptCounts counts the attempts of one stage that gave no result.
type AttemptCounts struct {
	Idempotent bool
	// Refusals did not start. They cost no work of an endpoint.
	Refusals  int
	Redirects int
	// Failures may have started.
	Failures int
}

// RetryDecision is a move with the wait before it.
type RetryDecision struct {
	Move Move
	Wait cicadapitch.Millis
	// NeedsBudget is true where the move needs a token of the retry budget.
	NeedsBudget bool
}

// DecideRetry decides what follows an attempt that ended with an error of the given
// kind. Left is the span in which the stage must end. Random is used for the
// jitter of the wait.
func DecideRetry(p AttemptCounts, kind cicadapitch.Kind, left cicadapitch.Millis, random uint64) (AttemptCounts, RetryDecision) {
	switch {
	case Permanent(kind):
		return p, RetryDecision{Move: Fail}
	case kind == cicadapitch.Redirected && p.Redirects < maxRedirects:
		p.Redirects++
		return p, inTime(RetryDecision{Move: Follow}, left)
	case NotStarted(kind):
		p.Refusals++
		if p.Refusals > maxRefusals {
			return p, RetryDecision{Move: Fail}
		}
		return p, inTime(RetryDecision{Move: Retry, Wait: backoff(p.Refusals, random)}, left)
	case !p.Idempotent:
		return p, RetryDecision{Move: Ask}
	}
	p.Failures++
	if p.Failures > maxFailures {
		return p, RetryDecision{Move: Fail}
	}
	return p, inTime(RetryDecision{Move: Retry, Wait: backoff(p.Failures, random), NeedsBudget: true}, left)
}

// Permanent reports whether an error of the kind is the endpoint's own answer,
// which a further attempt would not change.
func Permanent(kind cicadapitch.Kind) bool {
	switch kind {
	case cicadapitch.Invalid, cicadapitch.Denied, cicadapitch.NotFound, cicadapitch.Conflict:
		return true
	}
	return false
}

// NotStarted reports whether an attempt that ended with an error of the kind
// did not start and never will.
func NotStarted(kind cicadapitch.Kind) bool {
	return kind == cicadapitch.NotRun || kind == cicadapitch.Redirected
}

func inTime(s RetryDecision, left cicadapitch.Millis) RetryDecision {
	if left <= s.Wait {
		return RetryDecision{Move: Fail}
	}
	return s
}

// backoff doubles with each attempt. Its jitter covers the whole span, so that
// callers who failed together do not come back together.
func backoff(n int, random uint64) cicadapitch.Millis {
	span := min(backoffBase<<min(n-1, 10), backoffLimit)
	return cicadapitch.Millis(random % uint64(span+1))
}
