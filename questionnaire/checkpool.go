package questionnaire

import (
	"fmt"
	"net/netip"
	"net/url"

	"cicadapitch.example/cicadapitch"
)

func (c *checker) pool(at string, p Pool) {
	c.name(at+".Name", string(p.Name))
	c.check(p.Kind != nil, at+".Kind", "is missing", "write Service or Engine")
	if p.Kind != nil && *p.Kind == cicadapitch.Engine {
		c.check(p.Model != "", at+".Model", "is missing for an engine", "name the model that the engines serve")
	}
	c.check(p.ColdSlots >= 1, at+".ColdSlots", "is less than 1",
		"give the number of requests that an endpoint bears in a cold start")
	c.check(p.WarmSlots >= p.ColdSlots, at+".WarmSlots", "is less than ColdSlots",
		"give the number of requests that a warm endpoint bears")
	c.check(p.CostPerSlotSecond >= 0, at+".CostPerSlotSecond", "is negative", "give 0 or more")
	c.notEmpty(len(p.Endpoints), at+".Endpoints")
	for i, e := range p.Endpoints {
		c.endpoint(fmt.Sprintf("%s.Endpoints[%d]", at, i), p, e)
	}
}

func (c *checker) endpoint(at string, p Pool, e Endpoint) {
	if e.Name != "" {
		c.name(at+".Name", string(e.Name))
	}
	c.known(c.zones, at+".Zone", string(e.Zone), "Zones")
	c.check(isAddress(e.Address), at+".Address", fmt.Sprintf("%q is not an address", e.Address),
		"write http://IP-NUMBER:PORT")
	c.differs(c.addresses, at+".Address", e.Address)
	c.differs(c.endpoints, at, string(endpointID(p, e)))
}

func (c *checker) differs(seen map[string]string, field, value string) {
	other, taken := seen[value]
	c.check(!taken || value == "", field, fmt.Sprintf("%q is also at %s", value, other), "keep one")
	seen[value] = field
}

// isAddress accepts a base URL of scheme, IP number and port only.
func isAddress(address string) bool {
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
