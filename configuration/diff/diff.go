// Package diff compares two configurations field by field.
package diff

import (
	"encoding/json"
	"fmt"
	"reflect"

	"cicadapitch.example/cicadapitch"
)

// Entry is one difference. Before and After are JSON; an empty one means that
// the element is missing on that side.
type Entry struct {
	// Field is a path such as Zones[a].Out.
	Field  string
	Before string
	After  string
}

// String returns the difference on one line.
func (e Entry) String() string {
	switch {
	case e.Before == "":
		return fmt.Sprintf("+ %s: %s", e.Field, e.After)
	case e.After == "":
		return fmt.Sprintf("- %s: %s", e.Field, e.Before)
	}
	return fmt.Sprintf("~ %s: %s -> %s", e.Field, e.Before, e.After)
}

// Between returns the differences from one configuration to another in the
// order of the fields. Elements of lists are matched by their ID, so that a
// new order alone is no difference. Revision and Change are left out. A nil
// configuration counts as an empty one.
func Between(before, after *cicadapitch.Configuration) []Entry {
	d := &differ{}
	a, b := content(before), content(after)
	d.value("", reflect.ValueOf(a), reflect.ValueOf(b))
	return d.entries
}

func content(c *cicadapitch.Configuration) cicadapitch.Configuration {
	if c == nil {
		return cicadapitch.Configuration{}
	}
	copied := *c
	copied.Revision = 0
	copied.Change = ""
	return copied
}

type differ struct{ entries []Entry }

func (d *differ) value(path string, a, b reflect.Value) {
	switch {
	case a.Kind() == reflect.Struct:
		d.fields(path, a, b)
	case a.Kind() == reflect.Slice && hasID(a.Type().Elem()):
		d.list(path, a, b)
	default:
		d.plain(path, text(a), text(b))
	}
}

func (d *differ) fields(path string, a, b reflect.Value) {
	for i := range a.NumField() {
		name := a.Type().Field(i).Name
		if path != "" {
			name = path + "." + name
		}
		d.value(name, a.Field(i), b.Field(i))
	}
}

func (d *differ) list(path string, a, b reflect.Value) {
	after := byID(b)
	before := byID(a)
	for i := range a.Len() {
		id := idOf(a.Index(i))
		field := fmt.Sprintf("%s[%s]", path, id)
		if other, ok := after[id]; ok {
			d.value(field, a.Index(i), other)
			continue
		}
		d.plain(field, text(a.Index(i)), "")
	}
	for i := range b.Len() {
		id := idOf(b.Index(i))
		if _, ok := before[id]; !ok {
			d.plain(fmt.Sprintf("%s[%s]", path, id), "", text(b.Index(i)))
		}
	}
}

func (d *differ) plain(path, before, after string) {
	if before != after {
		d.entries = append(d.entries, Entry{Field: path, Before: before, After: after})
	}
}

func hasID(t reflect.Type) bool {
	if t.Kind() != reflect.Struct {
		return false
	}
	f, ok := t.FieldByName("ID")
	return ok && f.Type.Kind() == reflect.String
}

func idOf(v reflect.Value) string { return v.FieldByName("ID").String() }

func byID(list reflect.Value) map[string]reflect.Value {
	m := make(map[string]reflect.Value, list.Len())
	for i := range list.Len() {
		m[idOf(list.Index(i))] = list.Index(i)
	}
	return m
}

// text encodes a value. An empty list is the same as a missing one.
func text(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.Len() == 0 {
		return "[]"
	}
	b, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(b)
}
