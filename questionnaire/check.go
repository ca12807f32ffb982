package questionnaire

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// MinKeyLength is the least number of characters of a plain key.
const MinKeyLength = 16

// MaxDeadline is the longest deadline that a pipeline may have.
const MaxDeadline = 10 * cicadapitch.Minute

var name = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// checker collects the problems of answers.
type checker struct {
	file      *yamlfile.File
	a         *Answers
	zones     map[string]bool
	pools     map[string]bool
	pipelines map[string]cicadapitch.Millis
	keys      map[string]string
	endpoints map[string]string
	addresses map[string]string
}

func newChecker(f *yamlfile.File, a *Answers) *checker {
	return &checker{
		file: f, a: a,
		zones:     make(map[string]bool),
		pools:     make(map[string]bool),
		pipelines: make(map[string]cicadapitch.Millis),
		keys:      make(map[string]string),
		endpoints: make(map[string]string),
		addresses: make(map[string]string),
	}
}

func (c *checker) all() {
	c.deployment()
	c.zonesAndHosts()
	for i, p := range c.a.Pools {
		c.pool(fmt.Sprintf("Pools[%d]", i), p)
	}
	for i, app := range c.a.Applications {
		c.application(fmt.Sprintf("Applications[%d]", i), app)
	}
	for i, cu := range c.a.Customers {
		c.customer(fmt.Sprintf("Customers[%d]", i), cu)
	}
	for i, o := range c.a.Operators {
		c.operator(fmt.Sprintf("Operators[%d]", i), o)
	}
	c.namesDiffer()
}

func (c *checker) deployment() {
	c.check(strings.TrimSpace(c.a.Deployment) != "", "Deployment", "is missing", "name the deployment")
	w := c.a.Weight
	c.check(w != nil, "Weight", "is missing", "give a number between 0 (cost by stage) and 1 (attainment)")
	if w != nil {
		c.check(*w >= 0 && *w <= 1, "Weight", "is out of range", "give a number between 0 (cost by stage) and 1 (attainment)")
	}
	c.notEmpty(len(c.a.Zones), "Zones")
	c.notEmpty(len(c.a.Hosts), "Hosts")
	c.notEmpty(len(c.a.Pools), "Pools")
	c.notEmpty(len(c.a.Applications), "Applications")
	c.notEmpty(len(c.a.Customers), "Customers")
	c.notEmpty(len(c.a.Operators), "Operators")
}

func (c *checker) zonesAndHosts() {
	for i, z := range c.a.Zones {
		at := fmt.Sprintf("Zones[%d]", i)
		c.name(at+".Name", string(z.Name))
		c.name(at+".Region", string(z.Region))
		c.zones[string(z.Name)] = true
	}
	for i, h := range c.a.Hosts {
		c.name(fmt.Sprintf("Hosts[%d].Name", i), string(h.Name))
	}
	for _, p := range c.a.Pools {
		c.pools[string(p.Name)] = true
	}
}

// namesDiffer reports names that are used twice within one list.
func (c *checker) namesDiffer() {
	unique(c, "Zones", c.a.Zones, func(z Zone) string { return string(z.Name) })
	unique(c, "Hosts", c.a.Hosts, func(h Host) string { return string(h.Name) })
	unique(c, "Pools", c.a.Pools, func(p Pool) string { return string(p.Name) })
	unique(c, "Applications", c.a.Applications, func(p Application) string { return p.Name })
	unique(c, "Customers", c.a.Customers, func(p Customer) string { return string(p.Name) })
	unique(c, "Operators", c.a.Operators, func(p Operator) string { return string(p.Name) })
}

func unique[T any](c *checker, path string, list []T, nameOf func(T) string) {
	seen := make(map[string]bool)
	for i, v := range list {
		n := nameOf(v)
		c.check(n == "" || !seen[n], fmt.Sprintf("%s[%d].Name", path, i),
			fmt.Sprintf("%q is used twice", n), "give each its own name")
		seen[n] = true
	}
}

func (c *checker) notEmpty(n int, field string) {
	c.check(n > 0, field, "is missing or empty", "list at least one")
}

func (c *checker) name(field, value string) {
	c.check(value != "", field, "is missing", "give a name of small letters, digits, dots and hyphens")
	c.check(value == "" || name.MatchString(value), field, fmt.Sprintf("%q is not a name", value),
		"use at most 63 small letters, digits, dots and hyphens")
}

// known checks a reference to one of the names, which are nil where they are
// not known.
func (c *checker) known(names map[string]bool, field, value, list string) {
	c.check(names == nil || names[value], field, fmt.Sprintf("%q is not one of %s", value, list),
		"name one from "+list+" or add it there")
}

// key checks a key or its hash, and that no two holders share one.
func (c *checker) key(at, key, hash string) {
	c.check((key == "") != (hash == ""), at, "needs either Key or KeyHash", "give exactly one of them")
	c.check(key == "" || len(key) >= MinKeyLength, at+".Key", "is too short",
		fmt.Sprintf("use at least %d characters drawn at random", MinKeyLength))
	if hash != "" {
		sum, err := hex.DecodeString(hash)
		c.check(err == nil && len(sum) == 32 && hash == strings.ToLower(hash), at+".KeyHash",
			"is not a SHA-256", "give 64 small hexadecimal digits")
	}
	final := keyHash(key, hash)
	other, taken := c.keys[final]
	c.check(!taken || final == "", at, "has the same key as "+other, "give each its own key")
	c.keys[final] = at
}

// check records a problem unless the field already has one.
func (c *checker) check(ok bool, field, reason, remedy string) {
	field = strings.TrimPrefix(field, ".")
	if !ok && !c.file.HasProblem(field) {
		c.file.AddProblem(field, reason, remedy)
	}
}
