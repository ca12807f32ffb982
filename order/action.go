package order

//go:generate go tool -modfile=../tools/go.mod enumer -type=Action -json -text -output=action_enumer.go

// Action says what an order does to an element of the configuration.
type Action int

// The actions.
const (
	// Create adds an element that is not there yet.
	Create Action = iota
	// Replace changes an element that is there.
	Replace
	// Remove removes an element.
	Remove
)
