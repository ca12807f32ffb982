package daemon

// AttemptOutcomeQuery exports attemptOutcomeQuery to tests.
type AttemptOutcomeQuery = attemptOutcomeQuery

// AttemptOutcome exports attemptOutcome to tests.
var AttemptOutcome = attemptOutcome
