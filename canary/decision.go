package canary

import "cicadapitch.example/cicadapitch"

//go:generate go tool -modfile=../tools/go.mod enumer -type=Test -json -text -output=test_enumer.go

// Test is what the judge compares between the versions.
type Test int

// The tests.
const (
	// Failures compares the shares of answers that failed.
	Failures Test = iota
	// Slowness compares the shares of answers that took longer than a threshold.
	Slowness
)

// Sample is the number of answers of one version that were tested, and of those that were bad.
type Sample struct{ Answers, Bad int64 }

// Evidence is the state of one test, for the log.
type Evidence struct {
	// Route is the route that was tested. All is set if it is all routes together.
	Route string
	All   bool
	Test  Test
	// Old and New are the samples since the evidence began.
	Old, New Sample
	// Threshold is the time above which an answer was slow, 0 for all routes together.
	Threshold cicadapitch.Millis
	// Ratio is the natural logarithm of the likelihood ratio that the test reached, and Limit the value
	// from which it calls for a rollback.
	Ratio, Limit float64
	// Noticed is set if the difference is so large that callers notice it. A rollback needs both.
	Noticed bool
}

// Decision is what the judge decides.
type Decision struct {
	Phase Phase
	// Share is the share of the requests for the new version: of Canary the small one, of Shift and
	// Completed 1, of RolledBack 0.
	Share float64
	// Reason says in plain words why the phase is in force.
	Reason string
	// Evidence are the strongest tests, the strongest first, at most MaxEvidence. After a rollback the
	// first is the one that called for it.
	Evidence []Evidence
	// Waiting are hosts that keep a rollout in Shift from its completion, at most MaxWaiting.
	Waiting []string
	// ShiftAt is when Shift begins or began, and Deadline when a good version is to be completed.
	ShiftAt, Deadline cicadapitch.Instant
}

const (
	// MaxEvidence bounds the tests of a decision, for the log.
	MaxEvidence = 4
	// MaxWaiting bounds the hosts of a decision, for the log.
	MaxWaiting = 8
)
