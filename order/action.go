package order

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

//go:generate go tool -modfile=../tools/go.mod enumer -type=Action -json -text -output=action_enumer.go

// Action is what an order does to an element of the configuration, such as a
// pipeline or a customer.
type Action int

// The actions.
const (
	// Create adds an element. It fails if the element exists.
	Create Action = iota
	// Replace changes an existing element.
	Replace
	// Remove removes an existing element.
	Remove
)

// checkExists returns a Conflict error if the action is Create and the element
// exists, and a NotFound error if the action is another one and it does not.
func (a Action) checkExists(exists bool, kind, name string) error {
	switch {
	case a == Create && exists:
		return cicadapitch.NewError(cicadapitch.Conflict, fmt.Sprintf("there is a %s %q already", kind, name),
			"use the action Replace, or another name")
	case a != Create && !exists:
		return errUnknown(kind, name)
	}
	return nil
}
