package configuration

import (
	"encoding/json"
	"reflect"

	"cicadapitch.example/cicadapitch"
)

// FieldChange is the change of one field, such as Zones[east].Out from false to
// true. Before and After are JSON; Before is empty for an added element and After
// for a removed one.
type FieldChange struct {
	Field  string
	Before string
	After  string
}

// Diff returns the fields that differ between two configurations, in the order in
// which Configuration declares them. It ignores Revision, Change and the order of
// list elements.
func Diff(before, after *cicadapitch.Configuration) []FieldChange {
	var changes []FieldChange
	add := func(field string, a, b any) { changes = append(changes, FieldChange{field, toJSON(a), toJSON(b)}) }
	if before.Deployment != after.Deployment {
		add("Deployment", before.Deployment, after.Deployment)
	}
	if before.Weight != after.Weight {
		add("Weight", before.Weight, after.Weight)
	}
	diffList("Zones", before.Zones, after.Zones, zoneKey, add)
	diffList("Hosts", before.Hosts, after.Hosts, hostKey, add)
	diffList("Pools", before.Pools, after.Pools, poolKey, add)
	diffList("Endpoints", before.Endpoints, after.Endpoints, endpointKey, add)
	diffList("Pipelines", before.Pipelines, after.Pipelines, pipelineKey, add)
	diffList("Customers", before.Customers, after.Customers, customerKey, add)
	diffList("Operators", before.Operators, after.Operators, operatorKey, add)
	return changes
}

// diffList calls add for each added or removed element, and for each changed
// field of the other elements.
func diffList[T any](name string, before, after []T, key func(T) string, add func(field string, a, b any)) {
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[key(v)] = v
	}
	kept := make(map[string]bool, len(after))
	for _, v := range after {
		id := key(v)
		kept[id] = true
		previous, ok := old[id]
		if !ok {
			add(name+"["+id+"]", nil, v)
			continue
		}
		diffFields(name+"["+id+"]", previous, v, add)
	}
	for _, v := range before {
		if !kept[key(v)] {
			add(name+"["+key(v)+"]", v, nil)
		}
	}
}

// diffFields calls add for each field that differs between two structs of one
// type.
func diffFields(name string, before, after any, add func(field string, a, b any)) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if old, current := a.Field(i).Interface(), b.Field(i).Interface(); !reflect.DeepEqual(old, current) {
			add(name+"."+a.Type().Field(i).Name, old, current)
		}
	}
}

// toJSON returns v as JSON, or an empty string if v is nil.
func toJSON(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
