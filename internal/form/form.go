package form

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
	MaxBytes = 1 << 20
	MaxDepth = 16
	// MaxColumn bounds the indentation, and with it the nesting by blocks.
	MaxColumn = 1000
)

// Form is a file while it is read and checked.
type Form struct {
	file     string
	lines    map[string]int
	problems Problems
}

// Read decodes the file into out, a pointer to a struct, and returns the form
// for further checks. Problems found so far are kept in the form.
func Read(r io.Reader, file string, out any) *Form {
	f := &Form{file: file, lines: map[string]int{"": 1}}
	body, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		f.Add("", fmt.Sprintf("cannot be read: %v", err), "check the file")
		return f
	}
	if len(body) > MaxBytes {
		f.Add("", fmt.Sprintf("is larger than %d bytes", MaxBytes), "shorten the file")
		return f
	}
	if node := f.parse(string(body)); node != nil {
		f.decode(node, out)
	}
	return f
}

// Add records a problem of a field, which is given by its path such as
// Pools[0].Model.
func (f *Form) Add(field, reason, remedy string) {
	shown := field
	if shown == "" {
		shown = "the file"
	}
	f.problems = append(f.problems, Problem{
		File: f.file, Line: f.line(field), Field: shown, Reason: reason, Remedy: remedy,
	})
}

// Check records a problem where ok is false.
func (f *Form) Check(ok bool, field, reason, remedy string) {
	if !ok {
		f.Add(field, reason, remedy)
	}
}

// HasProblem tells whether the field already has a problem.
func (f *Form) HasProblem(field string) bool {
	return slices.ContainsFunc(f.problems, func(p Problem) bool { return p.Field == field })
}

// Err returns all problems in the order of their lines, or nil.
func (f *Form) Err() error {
	if len(f.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(f.problems, func(a, b Problem) int { return a.Line - b.Line })
	return f.problems
}

// line returns the line of the field or of the nearest entry around it.
func (f *Form) line(field string) int {
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

func (f *Form) parse(body string) ast.Node {
	tokens := lexer.Tokenize(body)
	if !f.checkTokens(tokens) {
		return nil
	}
	tree, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		f.syntax(err)
		return nil
	}
	if len(tree.Docs) != 1 || tree.Docs[0].Body == nil {
		f.Add("", "does not hold exactly one document", "write one document with fields")
		return nil
	}
	return tree.Docs[0].Body
}

// checkTokens bounds the depth before the recursive parser sees the tokens.
func (f *Form) checkTokens(tokens token.Tokens) bool {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			depth++
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.InvalidType:
			f.lines[""] = t.Position.Line
			f.Add("", "is not valid YAML: "+t.Error, "mend the syntax at this line")
			return false
		case token.AnchorType, token.AliasType, token.TagType, token.MergeKeyType:
			f.lines[""] = t.Position.Line
			f.Add("", "holds an anchor, alias, merge key or tag", "write the value out")
			return false
		}
		if depth > MaxDepth || t.Position.Column > MaxColumn {
			f.lines[""] = t.Position.Line
			f.Add("", "is nested too deeply or has too long a line", "follow the shipped examples")
			return false
		}
	}
	return true
}

func (f *Form) syntax(err error) {
	type positioned interface{ GetToken() *token.Token }
	if p, ok := err.(positioned); ok && p.GetToken() != nil {
		f.lines[""] = p.GetToken().Position.Line
	}
	reason, _, _ := strings.Cut(err.Error(), "\n")
	f.Add("", "is not valid YAML: "+reason, "mend the syntax at this line")
}
