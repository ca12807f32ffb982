package catalog

// Builder assembles a catalog. It must not be used after Catalog.
type Builder struct {
	c         *Catalog
	customers *tableEditor[string, *Customer]
	routes    *tableEditor[RouteKey, *Route]
}

// NewBuilder returns a builder for a catalog with the given version.
func NewBuilder(version int64, limits Limits) *Builder {
	c := &Catalog{Version: version, Limits: limits, Services: map[ServiceID]*Service{}}
	return &Builder{c: c, customers: c.customers.edit(), routes: c.routes.edit()}
}

// AddService adds a service.
func (b *Builder) AddService(s *Service) { b.c.Services[s.Name] = s }

// RequireKeys makes requests need an API key, whether or not there are any.
func (b *Builder) RequireKeys() { b.c.KeysRequired = true }

// AddCustomer adds a customer with its API keys, of which there may be none, and makes requests
// need a key. An empty key is ignored, since requests without a key would match it.
func (b *Builder) AddCustomer(c *Customer, keys ...string) {
	b.RequireKeys()
	for _, k := range keys {
		if k != "" {
			b.customers.set(k, c)
		}
	}
}

// AddRoute adds a route, whose prefix must end with a slash. Of several routes with the
// same host and prefix the first one counts.
func (b *Builder) AddRoute(r *Route) {
	if _, ok := b.routes.table.get(r.Key()); ok {
		return
	}
	b.routes.set(r.Key(), r)
	b.c.longestPrefix = max(b.c.longestPrefix, len(r.Prefix))
}

// Catalog returns the finished catalog.
func (b *Builder) Catalog() *Catalog {
	b.c.customers, b.c.routes = b.customers.table, b.routes.table
	b.c.digest = b.c.sum()
	return b.c
}
