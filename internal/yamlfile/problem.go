package yamlfile

import (
	"fmt"
	"strings"
)

// Problem is one invalid or missing entry of a file.
type Problem struct {
	File string
	// Line counts from 1. If the field is missing from the file, it is the
	// line of the nearest enclosing entry.
	Line int
	// Field is the path of the field, such as Pools[0].Model.
	Field  string
	Reason string
	Remedy string
}

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s; %s", p.File, p.Line, p.Field, p.Reason, p.Remedy)
}

// Problems are all problems of a file.
type Problems []Problem

// Error implements error. It returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}
