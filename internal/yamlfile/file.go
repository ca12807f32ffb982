package yamlfile

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of a file.
const (
	// MaxBytes is the maximum size of a file in bytes.
	MaxBytes = 1 << 20
	// MaxDepth is the maximum nesting depth of bracketed mappings and lists.
	MaxDepth = 16
	// MaxColumn is the maximum column of a token. It bounds the indentation
	// and thereby the nesting depth of indented blocks.
	MaxColumn = 1000
)

// File is a file that is being decoded and validated, with the problems found
// so far.
type File struct {
	file string
	// lines maps the path of each field in the file to its line. The empty
	// path is the whole file.
	lines    map[string]int
	problems Problems
}

// Read decodes the YAML in r into out, a pointer to a struct, and returns the File
// for further checks. file is the file name for error messages. Problems that Read
// finds are recorded in the File and returned by Err.
//
// The struct may contain structs, slices, pointers, strings, bools, int, int64 and
// float64 values and types that implement encoding.TextUnmarshaler. Other types
// are not filled.
func Read(r io.Reader, file string, out any) *File {
	f := &File{file: file, lines: map[string]int{"": 1}}
	body, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		f.AddProblem("", fmt.Sprintf("cannot be read: %v", err), "check the file")
		return f
	}
	if len(body) > MaxBytes {
		f.AddProblem("", fmt.Sprintf("is larger than %d bytes", MaxBytes), "shorten the file")
		return f
	}
	if node := f.parse(string(body)); node != nil {
		f.decode(node, out)
	}
	return f
}

// AddProblem records a problem with a field. field is the path of the field, such as
// Pools[0].Model, or empty for the whole file.
func (f *File) AddProblem(field, reason, remedy string) {
	label := field
	if label == "" {
		label = "the file"
	}
	f.problems = append(f.problems, Problem{
		File: f.file, Line: f.line(field), Field: label, Reason: reason, Remedy: remedy,
	})
}

// Check records a problem with a field if ok is false.
func (f *File) Check(ok bool, field, reason, remedy string) {
	if !ok {
		f.AddProblem(field, reason, remedy)
	}
}

// HasProblem reports whether a problem with the field is already recorded.
func (f *File) HasProblem(field string) bool {
	return slices.ContainsFunc(f.problems, func(p Problem) bool { return p.Field == field })
}

// Err returns all recorded problems as Problems, sorted by line, or nil if there
// are none.
func (f *File) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return a.Line - b.Line })
	return f.problems
}

// line returns the line of the field or, for a field that is missing from the file,
// the line of the nearest enclosing entry.
func (f *File) line(field string) int {
	for {
		if n, ok := f.lines[field]; ok {
			return n
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			return 1
		}
		field = field[:i]
	}
}

// parse returns the root node of the only document in body. If there is none, it
// records a problem and returns nil.
func (f *File) parse(body string) ast.Node {
	tokens := lexer.Tokenize(body)
	if !f.checkTokens(tokens) {
		return nil
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		f.addSyntaxError(err)
		return nil
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		f.AddProblem("", "does not hold exactly one document", "write one document with fields")
		return nil
	}
	return tree.Docs[0].Body
}

// checkTokens records a problem and returns false if the tokens are invalid, use an
// unsupported feature or are nested too deeply. It must run before the parser,
// which is recursive.
func (f *File) checkTokens(tokens token.Tokens) bool {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.InvalidType:
			f.lines[""] = t.Position.Line
			f.AddProblem("", "is not valid YAML: "+t.Error, "correct the syntax at this line")
			return false
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType:
			f.lines[""] = t.Position.Line
			f.AddProblem("", "contains an anchor, alias, merge key or tag", "write the value out")
			return false
		}
		if depth > MaxDepth || t.Position.Column > MaxColumn {
			f.lines[""] = t.Position.Line
			f.AddProblem("", fmt.Sprintf("is nested more than %d levels deep or goes beyond column %d", MaxDepth, MaxColumn), "reduce the nesting or shorten the line")
			return false
		}
	}
	return true
}

// addSyntaxError records an error of the YAML parser, at its line if known.
func (f *File) addSyntaxError(err error) {
	type tokenError interface{ GetToken() *token.Token }
	if e, ok := err.(tokenError); ok && e.GetToken() != nil {
		f.lines[""] = e.GetToken().Position.Line
	}
	reason, _, _ := strings.Cut(err.Error(), "\n")
	f.AddProblem("", "is not valid YAML: "+reason, "correct the syntax at this line")
}
