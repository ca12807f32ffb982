package yamlfile

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// decode decodes the root node into the struct that out points to.
func (f *File) decode(node ast.Node, out any) {
	f.decodeValue(node, reflect.ValueOf(out).Elem(), "")
}

// decodeValue decodes node into v. path is the field path of v. The recursion ends
// because the Go types of v are not recursive, however deeply the file is nested.
func (f *File) decodeValue(node ast.Node, v reflect.Value, path string) {
	if node == nil || node.Type() == ast.NullType {
		return
	}
	if _, ok := f.lines[path]; !ok {
		f.lines[path] = node.GetToken().Position.Line
	}
	if v.Kind() == reflect.Pointer {
		v.Set(reflect.New(v.Type().Elem()))
		f.decodeValue(node, v.Elem(), path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		f.decodeMapping(node, v, path)
	case reflect.Slice:
		f.decodeSequence(node, v, path)
	default:
		f.decodeScalar(node, v, path)
	}
}

// decodeMapping decodes a mapping into the struct v.
func (f *File) decodeMapping(node ast.Node, v reflect.Value, path string) {
	entries, ok := mappingEntries(node)
	if !ok {
		f.AddProblem(path, "is not a set of fields", "write fields of the form Name: value")
		return
	}
	seen := make(map[string]bool)
	for _, e := range entries {
		name := e.Key.GetToken().Value
		field := joinPath(path, name)
		f.lines[field] = e.Key.GetToken().Position.Line
		if seen[name] {
			f.AddProblem(field, "is given twice", "keep one")
			continue
		}
		seen[name] = true
		target := v.FieldByName(name)
		if !target.IsValid() {
			f.AddProblem(field, "is not a known field", "remove it or use one of "+fieldNames(v.Type()))
			continue
		}
		f.decodeValue(e.Value, target, field)
	}
}

// mappingEntries returns the entries of node and whether node is a mapping.
func mappingEntries(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

// decodeSequence decodes a list into the slice v.
func (f *File) decodeSequence(node ast.Node, v reflect.Value, path string) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		f.AddProblem(path, "is not a list", "write one entry per line, each after a dash")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(list.Values), len(list.Values)))
	for i, n := range list.Values {
		f.decodeValue(n, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

// decodeScalar decodes a single value into v.
func (f *File) decodeScalar(node ast.Node, v reflect.Value, path string) {
	text, ok := scalarText(node)
	if !ok {
		f.AddProblem(path, "is not a single value", "write one value")
		return
	}
	if u, ok := v.Addr().Interface().(encoding.TextUnmarshaler); ok {
		if err := u.UnmarshalText([]byte(text)); err != nil {
			f.AddProblem(path, err.Error(), "use a value that this field allows")
		}
		return
	}
	f.setScalar(text, v, path)
}

// setScalar parses text by the kind of v and sets v to the result.
func (f *File) setScalar(text string, v reflect.Value, path string) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(text)
	case reflect.Bool:
		b, err := strconv.ParseBool(text)
		f.Check(err == nil, path, fmt.Sprintf("%q is neither true nor false", text), "write true or false")
		v.SetBool(b)
	case reflect.Int, reflect.Int64:
		n, err := strconv.ParseInt(text, 10, 64)
		f.Check(err == nil, path, fmt.Sprintf("%q is not a whole number", text), "write a whole number")
		v.SetInt(n)
	case reflect.Float64:
		n, err := strconv.ParseFloat(text, 64)
		ok := err == nil && n-n == 0
		f.Check(ok, path, fmt.Sprintf("%q is not a finite number", text), "write a number")
		if ok {
			v.SetFloat(n)
		}
	}
}

// scalarText returns the text of node and whether node is a single value.
func scalarText(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.InfinityNode, *ast.NanNode:
		return node.GetToken().Value, true
	}
	return "", false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldNames(t reflect.Type) string {
	var names []string
	for i := range t.NumField() {
		names = append(names, t.Field(i).Name)
	}
	return strings.Join(names, ", ")
}
