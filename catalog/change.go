package catalog

import (
	"maps"
	"reflect"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// Change turns one version of a catalog into another. Its size grows with what differs.
type Change struct {
	// From is the version that it applies to, 0 for an empty catalog. To is the resulting
	// version.
	From, To int64
	Limits   Limits
	// SetServices, SetRoutes and SetCustomers hold what is new or differs.
	SetServices     []*Service    `cbor:",omitempty"`
	RemovedServices []ServiceID   `cbor:",omitempty"`
	SetRoutes       []*Route      `cbor:",omitempty"`
	RemovedRoutes   []RouteKey    `cbor:",omitempty"`
	SetCustomers    []CustomerKey `cbor:",omitempty"`
	RemovedKeys     []string      `cbor:",omitempty"`
	// KeysRequired is that of the resulting catalog, or nil if the sender is of an earlier build
	// that does not tell customers without keys from none.
	KeysRequired *bool `cbor:",omitempty"`
	// Digest is the checksum of the resulting catalog. It leaves KeysRequired out, which each
	// change states in full, since hosts of earlier builds would reject the change.
	Digest uint64
}

// empty is the catalog before the first one, with version 0.
var empty = NewBuilder(0, Limits{}).Catalog()

// CustomerKey is an API key with its customer.
type CustomerKey struct {
	Key      string
	Customer Customer
}

// Entries returns the number of services, routes and API keys that the change sets or
// removes.
func (c *Change) Entries() int {
	return len(c.SetServices) + len(c.RemovedServices) + len(c.SetRoutes) + len(c.RemovedRoutes) + len(c.SetCustomers) + len(c.RemovedKeys)
}

// Diff returns the change that turns before, which may be nil, into after.
func Diff(before, after *Catalog) Change {
	if before == nil {
		before = empty
	}
	c := Change{From: before.Version, To: after.Version, Limits: after.Limits, KeysRequired: &after.KeysRequired, Digest: after.digest}
	for id, s := range after.Services {
		if old := before.Services[id]; old == nil || !reflect.DeepEqual(old, s) {
			c.SetServices = append(c.SetServices, s)
		}
	}
	for id := range before.Services {
		if after.Services[id] == nil {
			c.RemovedServices = append(c.RemovedServices, id)
		}
	}
	before.routes.difference(&after.routes, equalPointees,
		func(_ RouteKey, r *Route) { c.SetRoutes = append(c.SetRoutes, r) },
		func(k RouteKey) { c.RemovedRoutes = append(c.RemovedRoutes, k) })
	before.customers.difference(&after.customers, equalPointees,
		func(k string, customer *Customer) { c.SetCustomers = append(c.SetCustomers, CustomerKey{k, *customer}) },
		func(k string) { c.RemovedKeys = append(c.RemovedKeys, k) })
	return c
}

func equalPointees[T any](a, b *T) bool { return a == b || reflect.DeepEqual(a, b) }

// Apply returns the catalog of version c.To. before, which may be nil, is not modified and
// shares with the result what did not change. Apply returns a Conflict error if before has
// another version, the result differs from the catalog that c was made from, or c does not
// say whether requests need a key.
func (c *Change) Apply(before *Catalog) (*Catalog, error) {
	if before == nil {
		before = empty
	}
	if before.Version != c.From {
		return nil, cicadapitch.NewError(cicadapitch.Conflict, "the change is for another version", "fetch the whole configuration")
	}
	next := &Catalog{Version: c.To, Limits: c.Limits, Services: before.Services, longestPrefix: before.longestPrefix, digest: before.digest}
	if len(c.SetServices)+len(c.RemovedServices) > 0 {
		next.Services = maps.Clone(before.Services)
		for _, s := range c.SetServices {
			next.Services[s.Name] = s
		}
		for _, id := range c.RemovedServices {
			delete(next.Services, id)
		}
	}
	next.routes = editTable(&before.routes, &next.digest, c.RemovedRoutes, c.SetRoutes, func(r *Route) (RouteKey, *Route) {
		next.longestPrefix = max(next.longestPrefix, len(r.Prefix))
		return r.Key(), r
	})
	next.customers = editTable(&before.customers, &next.digest, c.RemovedKeys, c.SetCustomers, func(k CustomerKey) (string, *Customer) {
		return k.Key, &k.Customer
	})
	next.digest += sumOf(next.Services, next.Limits) - sumOf(before.Services, before.Limits)
	if next.digest != c.Digest {
		return nil, cicadapitch.NewError(cicadapitch.Conflict, "the change gives another configuration than its sender has", "fetch the whole configuration")
	}
	if c.KeysRequired == nil && next.Keys() == 0 {
		return nil, cicadapitch.NewError(cicadapitch.Conflict, "the change does not say whether requests need a key", "fetch the configuration from another host or the store")
	}
	next.KeysRequired = c.KeysRequired == nil || *c.KeysRequired
	return next, nil
}

// editTable returns t without the removed keys and with the entries of set, and updates the
// digest accordingly.
func editTable[K comparable, V, T any](t *table[K, V], digest *uint64, removed []K, set []T, entry func(T) (K, V)) table[K, V] {
	e := t.edit()
	for _, k := range removed {
		if old, ok := e.table.get(k); ok {
			*digest -= sumOf(k, old)
			e.remove(k)
		}
	}
	for _, v := range set {
		k, value := entry(v)
		if old, ok := e.table.get(k); ok {
			*digest -= sumOf(k, old)
		}
		*digest += sumOf(k, value)
		e.set(k, value)
	}
	return e.table
}

// sum returns the checksum of the catalog's contents without the version: the sum of those
// of its entries, so that a change updates it at the cost of what it changes.
func (c *Catalog) sum() uint64 {
	total := sumOf(c.Services, c.Limits)
	for _, s := range c.routes.shards {
		if s != nil {
			for k, r := range s.entries {
				total += sumOf(k, r)
			}
		}
	}
	for _, s := range c.customers.shards {
		if s != nil {
			for k, customer := range s.entries {
				total += sumOf(k, customer)
			}
		}
	}
	return total
}

// sumEncoder encodes equal values equally.
var sumEncoder = func() cbor.EncMode {
	m, err := cbor.EncOptions{Sort: cbor.SortCanonical, NilContainers: cbor.NilContainerAsEmpty}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return m
}()

// sumOf returns the checksum of an entry.
func sumOf(key, value any) uint64 {
	b, err := sumEncoder.Marshal([]any{key, value})
	if err != nil {
		return 0 // only for types that cannot be encoded, which catalogs do not have
	}
	return xxh3.Hash(b)
}
