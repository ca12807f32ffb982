package configuration

import (
	"encoding/json"
	"reflect"

	"cicadapitch.example/cicadapitch"
)

// FieldChange is one field that a change touched, such as
// "Zones[east].Out" from "false" to "true". Values are JSON, empty for none.
type FieldChange struct {
	Field  string
	Before string
	After  string
}

// Diff returns the fields in which two configurations differ, in the order of
// the fields. Revision and Change are left out.
func Diff(before, after *cicadapitch.Configuration) []FieldChange {
	var list []FieldChange
	add := func(field string, a, b any) { list = append(list, FieldChange{field, text(a), text(b)}) }
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
	return list
}

func diffList[T any](name string, before, after []T, key func(T) string, add func(field string, a, b any)) {
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[key(v)] = v
	}
	kept := make(map[string]bool, len(after))
	for _, v := range after {
		id := key(v)
		kept[id] = true
		was, ok := old[id]
		if !ok {
			add(name+"["+id+"]", nil, v)
			continue
		}
		diffFields(name+"["+id+"]", was, v, add)
	}
	for _, v := range before {
		if !kept[key(v)] {
			add(name+"["+key(v)+"]", v, nil)
		}
	}
}

func diffFields(name string, before, after any, add func(field string, a, b any)) {
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		if was, is := a.Field(i).Interface(), b.Field(i).Interface(); !reflect.DeepEqual(was, is) {
			add(name+"."+a.Type().Field(i).Name, was, is)
		}
	}
}

// text returns v as JSON.
func text(v any) string {
	if v == nil {
		return ""
	}
	b, err := json.Marshal(v)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
