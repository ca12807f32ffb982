package configuration

import (
	"reflect"

	"cicadapitch.example/cicadapitch"
)

// Delta is the difference between the configurations of the revisions From and
// To. Lists that did not change are nil.
type Delta struct {
	From, To   cicadapitch.Revision
	Change     cicadapitch.ChangeID
	Deployment string
	Weight     cicadapitch.Weight
	Zones      *ListDelta[cicadapitch.Zone]        `cbor:",omitempty"`
	Hosts      *ListDelta[cicadapitch.HostSetting] `cbor:",omitempty"`
	Pools      *ListDelta[cicadapitch.Pool]        `cbor:",omitempty"`
	Endpoints  *ListDelta[cicadapitch.Endpoint]    `cbor:",omitempty"`
	Pipelines  *ListDelta[cicadapitch.Pipeline]    `cbor:",omitempty"`
	Customers  *ListDelta[cicadapitch.Customer]    `cbor:",omitempty"`
	Operators  *ListDelta[cicadapitch.Operator]    `cbor:",omitempty"`
	// Checksum is the checksum of the configuration of revision To.
	Checksum Checksum
}

// ListDelta is the difference between two versions of a list. Either Whole is set
// or the other fields are.
type ListDelta[T any] struct {
	// Set holds changed entries, which keep their position, and new entries,
	// which are appended.
	Set []T `cbor:",omitempty"`
	// Removed are the ids of the removed entries.
	Removed []string `cbor:"Gone,omitempty"`
	// Whole is the complete new list. It is used if Set and Removed cannot
	// express the new order.
	Whole []T `cbor:",omitempty"`
}

// NewDelta returns the delta that turns before into after.
func NewDelta(before, after *cicadapitch.Configuration) (Delta, error) {
	b, err := Encode(after)
	if err != nil {
		return Delta{}, err
	}
	return newDelta(before, after, checksum(b)), nil
}

func newDelta(before, after *cicadapitch.Configuration, sum Checksum) Delta {
	return Delta{
		From:       before.Revision,
		To:         after.Revision,
		Change:     after.Change,
		Deployment: after.Deployment,
		Weight:     after.Weight,
		Zones:      listDelta(before.Zones, after.Zones, zoneKey),
		Hosts:      listDelta(before.Hosts, after.Hosts, hostKey),
		Pools:      listDelta(before.Pools, after.Pools, poolKey),
		Endpoints:  listDelta(before.Endpoints, after.Endpoints, endpointKey),
		Pipelines:  listDelta(before.Pipelines, after.Pipelines, pipelineKey),
		Customers:  listDelta(before.Customers, after.Customers, customerKey),
		Operators:  listDelta(before.Operators, after.Operators, operatorKey),
		Checksum:   sum,
	}
}

// Apply returns the configuration of revision To and its encoded form. cfg is not
// modified. Apply returns a Conflict error if cfg does not have revision From or
// if the checksum of the result differs.
func (d Delta) Apply(cfg *cicadapitch.Configuration) (*cicadapitch.Configuration, []byte, error) {
	if cfg.Revision != d.From {
		return nil, nil, cicadapitch.NewError(cicadapitch.Conflict, "the delta is for another revision", "fetch the whole configuration")
	}
	next := &cicadapitch.Configuration{
		Revision:   d.To,
		Change:     d.Change,
		Deployment: d.Deployment,
		Weight:     d.Weight,
		Zones:      applyList(cfg.Zones, d.Zones, zoneKey),
		Hosts:      applyList(cfg.Hosts, d.Hosts, hostKey),
		Pools:      applyList(cfg.Pools, d.Pools, poolKey),
		Endpoints:  applyList(cfg.Endpoints, d.Endpoints, endpointKey),
		Pipelines:  applyList(cfg.Pipelines, d.Pipelines, pipelineKey),
		Customers:  applyList(cfg.Customers, d.Customers, customerKey),
		Operators:  applyList(cfg.Operators, d.Operators, operatorKey),
	}
	b, err := Encode(next)
	if err != nil {
		return nil, nil, err
	}
	if checksum(b) != d.Checksum {
		return nil, nil, cicadapitch.NewError(cicadapitch.Conflict, "the delta gives another configuration than its sender has", "fetch the whole configuration")
	}
	return next, b, nil
}

// listDelta returns the delta that turns before into after, or nil if the lists
// are equal.
func listDelta[T any](before, after []T, key func(T) string) *ListDelta[T] {
	if reflect.DeepEqual(before, after) {
		return nil
	}
	old := make(map[string]T, len(before))
	for _, v := range before {
		old[key(v)] = v
	}
	var d ListDelta[T]
	kept := make(map[string]bool, len(after))
	for _, v := range after {
		kept[key(v)] = true
		if previous, ok := old[key(v)]; !ok || !reflect.DeepEqual(previous, v) {
			d.Set = append(d.Set, v)
		}
	}
	for _, v := range before {
		if !kept[key(v)] {
			d.Removed = append(d.Removed, key(v))
		}
	}
	if !reflect.DeepEqual(applyList(before, &d, key), after) {
		return &ListDelta[T]{Whole: after}
	}
	return &d
}

// applyList returns list with d applied. It returns list itself if d is nil.
func applyList[T any](list []T, d *ListDelta[T], key func(T) string) []T {
	if d == nil {
		return list
	}
	if d.Whole != nil {
		return d.Whole
	}
	set := make(map[string]T, len(d.Set))
	for _, v := range d.Set {
		set[key(v)] = v
	}
	removed := make(map[string]bool, len(d.Removed))
	for _, id := range d.Removed {
		removed[id] = true
	}
	var next []T
	for _, v := range list {
		id := key(v)
		if removed[id] {
			continue
		}
		if changed, ok := set[id]; ok {
			v = changed
			delete(set, id)
		}
		next = append(next, v)
	}
	for _, v := range d.Set {
		if _, ok := set[key(v)]; ok {
			next = append(next, v)
		}
	}
	return next
}

func zoneKey(z cicadapitch.Zone) string         { return string(z.ID) }
func hostKey(h cicadapitch.HostSetting) string  { return string(h.ID) }
func poolKey(p cicadapitch.Pool) string         { return string(p.ID) }
func endpointKey(e cicadapitch.Endpoint) string { return string(e.ID) }
func pipelineKey(p cicadapitch.Pipeline) string { return string(p.ID) }
func customerKey(c cicadapitch.Customer) string { return string(c.ID) }
func operatorKey(o cicadapitch.Operator) string { return string(o.ID) }
