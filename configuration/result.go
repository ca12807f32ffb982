package configuration

//go:generate go tool -modfile=../tools/go.mod enumer -type=Result -json -text -output=result_enumer.go

// Result is the result of a change.
type Result int

// The results of a change.
const (
	// NotAccepted means that the change had no effect and will not have one.
	NotAccepted Result = iota
	// Applied means that the change was written to the store.
	Applied
	// Repeated means that a change with the same id had been applied before.
	Repeated
	// Overtaken means that the change had no effect because another change was
	// written first.
	Overtaken
	// Unsettled means that it is unknown whether the change was applied.
	Unsettled
)
