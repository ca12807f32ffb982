package form

import (
	"fmt"
	"strings"
)

// Problem is one wrong entry of a file.
type Problem struct {
	File string
	// Line counts from 1. It is the line of the nearest enclosing entry
	// where the field itself is missing.
	Line   int
	Field  string
	Reason string
	Remedy string
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", p.File, p.Line, p.Field, p.Reason, p.Remedy)
}

// Problems are all wrong entries of a file.
type Problems []Problem

// Error implements error. It gives one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, one := range p {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}
