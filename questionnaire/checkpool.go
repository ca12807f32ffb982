package questionnaire

import (
	"fmt"
	"net/netip"
	"net/url"

	"cicadapitch.example/cicadapitch"
)

func (c *checker) checkPool(path string, p Pool) {
	c.checkName(path+".Name", string(p.Name))
	c.checkField(p.Kind != nil, path+".Kind", "is missing", "write Service or Engine")
	if p.Kind != nil && *p.Kind == cicadapitch.Engine {
		c.checkField(p.Model != "", path+".Model", "is missing for an engine", "name the model that the engines serve")
	}
	c.checkField(p.ColdSlots >= 1, path+".ColdSlots", "is less than 1",
		"give the number of requests that an endpoint can serve at once during a cold start")
	c.checkField(p.WarmSlots >= p.ColdSlots, path+".WarmSlots", "is less than ColdSlots",
		"give the number of requests that a warm endpoint can serve at once")
	c.checkField(p.CostPerSlotSecond >= 0, path+".CostPerSlotSecond", "is negative", "give 0 or more")
	c.checkNotEmpty(len(p.Endpoints), path+".Endpoints")
	for i, e := range p.Endpoints {
		c.checkEndpoint(fmt.Sprintf("%s.Endpoints[%d]", path, i), p, e)
	}
}

func (c *checker) checkEndpoint(path string, p Pool, e Endpoint) {
	if e.Name != "" {
		c.checkName(path+".Name", string(e.Name))
	}
	c.checkReference(c.zones, path+".Zone", string(e.Zone), "Zones")
	c.checkField(isBaseURL(e.Address), path+".Address", fmt.Sprintf("%q is not an address", e.Address),
		"write http://IP-NUMBER:PORT")
	c.checkUnique(c.addresses, path+".Address", e.Address)
	c.checkUnique(c.endpoints, path, string(endpointID(p, e)))
}

// checkUnique checks that no other field in seen has the same value and adds the
// field to seen. Empty values may be repeated.
func (c *checker) checkUnique(seen map[string]string, field, value string) {
	other, taken := seen[value]
	c.checkField(!taken || value == "", field, fmt.Sprintf("%q is also at %s", value, other), "use each value once")
	seen[value] = field
}

// isBaseURL reports whether address is an HTTP or HTTPS URL that consists only of
// scheme, IP address and port.
func isBaseURL(address string) bool {
	u, err := url.Parse(address)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
		return false
	}
	if u.User != nil || u.RawQuery != "" || u.Fragment != "" || (u.Path != "" && u.Path != "/") {
		return false
	}
	ap, err := netip.ParseAddrPort(u.Host)
	return err == nil && ap.Port() > 0
}
