package configuration

//go:generate go tool -modfile=../tools/go.mod enumer -type=Result -json -text -output=result_enumer.go

// Result is what became of a change.
type Result int

// The results of a change.
const (
	// NotAccepted changes had no effect and never will have one.
	NotAccepted Result = iota
	// Applied changes are in the store.
	Applied
	// Repeated changes were applied before under the same id.
	Repeated
	// Overtaken changes had no effect, since another one came first.
	Overtaken
	// Unsettled changes may or may not have been applied.
	Unsettled
)
