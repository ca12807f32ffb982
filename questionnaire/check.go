package questionnaire

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// MinKeyLength is the minimum length of a plain key in bytes.
const MinKeyLength = 16

// MaxDeadline is the maximum deadline of a pipeline, in milliseconds.
const MaxDeadline = 10 * cicadapitch.Minute

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// checker checks answers and records their problems in file.
type checker struct {
	file    *yamlfile.File
	answers *Answers
	// zones and pools are the names that the answers declare. If pools is nil,
	// references to pools are not checked.
	zones map[string]bool
	pools map[string]bool
	// pipelines are the deadlines of the pipelines checked so far, by name. Only
	// the names are used.
	pipelines map[string]cicadapitch.Millis
	// keys, endpoints and addresses map a key hash, an endpoint id or an address
	// to the last field that uses it.
	keys      map[string]string
	endpoints map[string]string
	addresses map[string]string
}

func newChecker(f *yamlfile.File, a *Answers) *checker {
	return &checker{
		file: f, answers: a,
		zones:     make(map[string]bool),
		pools:     make(map[string]bool),
		pipelines: make(map[string]cicadapitch.Millis),
		keys:      make(map[string]string),
		endpoints: make(map[string]string),
		addresses: make(map[string]string),
	}
}

// checkAnswers checks all answers.
func (c *checker) checkAnswers() {
	c.checkDeployment()
	c.checkZonesAndHosts()
	for i, p := range c.answers.Pools {
		c.checkPool(fmt.Sprintf("Pools[%d]", i), p)
	}
	for i, app := range c.answers.Applications {
		c.checkApplication(fmt.Sprintf("Applications[%d]", i), app)
	}
	for i, customer := range c.answers.Customers {
		c.checkCustomer(fmt.Sprintf("Customers[%d]", i), customer)
	}
	for i, o := range c.answers.Operators {
		c.checkOperator(fmt.Sprintf("Operators[%d]", i), o)
	}
	c.checkUniqueNames()
}

// checkDeployment checks the name and weight of the deployment, and that no list is
// empty.
func (c *checker) checkDeployment() {
	c.checkField(strings.TrimSpace(c.answers.Deployment) != "", "Deployment", "is missing", "name the deployment")
	w := c.answers.Weight
	c.checkField(w != nil, "Weight", "is missing", "give a number between 0 (cost by stage) and 1 (attainment)")
	if w != nil {
		c.checkField(*w >= 0 && *w <= 1, "Weight", "is out of range", "give a number between 0 (cost by stage) and 1 (attainment)")
	}
	c.checkNotEmpty(len(c.answers.Zones), "Zones")
	c.checkNotEmpty(len(c.answers.Hosts), "Hosts")
	c.checkNotEmpty(len(c.answers.Pools), "Pools")
	c.checkNotEmpty(len(c.answers.Applications), "Applications")
	c.checkNotEmpty(len(c.answers.Customers), "Customers")
	c.checkNotEmpty(len(c.answers.Operators), "Operators")
}

// checkZonesAndHosts checks the names of zones and hosts, and sets c.zones and
// c.pools for the later checks of references.
func (c *checker) checkZonesAndHosts() {
	for i, z := range c.answers.Zones {
		path := fmt.Sprintf("Zones[%d]", i)
		c.checkName(path+".Name", string(z.Name))
		c.checkName(path+".Region", string(z.Region))
		c.zones[string(z.Name)] = true
	}
	for i, h := range c.answers.Hosts {
		c.checkName(fmt.Sprintf("Hosts[%d].Name", i), string(h.Name))
	}
	for _, p := range c.answers.Pools {
		c.pools[string(p.Name)] = true
	}
}

// checkUniqueNames records a problem for each name that a list uses twice.
func (c *checker) checkUniqueNames() {
	checkUniqueNamesIn(c, "Zones", c.answers.Zones, func(z Zone) string { return string(z.Name) })
	checkUniqueNamesIn(c, "Hosts", c.answers.Hosts, func(h Host) string { return string(h.Name) })
	checkUniqueNamesIn(c, "Pools", c.answers.Pools, func(p Pool) string { return string(p.Name) })
	checkUniqueNamesIn(c, "Applications", c.answers.Applications, func(p Application) string { return p.Name })
	checkUniqueNamesIn(c, "Customers", c.answers.Customers, func(p Customer) string { return string(p.Name) })
	checkUniqueNamesIn(c, "Operators", c.answers.Operators, func(p Operator) string { return string(p.Name) })
}

// checkUniqueNamesIn checks the list at path, in which nameOf returns the name of
// an entry. It ignores empty names.
func checkUniqueNamesIn[T any](c *checker, path string, list []T, nameOf func(T) string) {
	seen := make(map[string]bool)
	for i, v := range list {
		n := nameOf(v)
		c.checkField(n == "" || !seen[n], fmt.Sprintf("%s[%d].Name", path, i),
			fmt.Sprintf("%q is used twice", n), "give each its own name")
		seen[n] = true
	}
}

func (c *checker) checkNotEmpty(n int, field string) {
	c.checkField(n > 0, field, "is missing or empty", "list at least one")
}

func (c *checker) checkName(field, value string) {
	c.checkField(value != "", field, "is missing", "give a name of lowercase letters, digits, dots and hyphens")
	c.checkField(value == "" || namePattern.MatchString(value), field, fmt.Sprintf("%q is not a name", value),
		"use at most 63 lowercase letters, digits, dots and hyphens")
}

// checkReference checks that value is one of names, which the answers declare in
// list. If names is nil, the names are not known and any value passes.
func (c *checker) checkReference(names map[string]bool, field, value, list string) {
	c.checkField(names == nil || names[value], field, fmt.Sprintf("%q is not one of %s", value, list),
		"name one from "+list+" or add it there")
}

// checkKey checks the key or key hash of the customer or operator at a path, and
// that no other customer or operator has the same key.
func (c *checker) checkKey(path, key, hash string) {
	c.checkField((key == "") != (hash == ""), path, "needs either Key or KeyHash", "give exactly one of them")
	c.checkField(key == "" || len(key) >= MinKeyLength, path+".Key", "is too short",
		fmt.Sprintf("use at least %d random characters", MinKeyLength))
	if hash != "" {
		digest, err := hex.DecodeString(hash)
		c.checkField(err == nil && len(digest) == 32 && hash == strings.ToLower(hash), path+".KeyHash",
			"is not a SHA-256", "give 64 lowercase hexadecimal digits")
	}
	effectiveHash := keyHash(key, hash)
	other, taken := c.keys[effectiveHash]
	c.checkField(!taken || effectiveHash == "", path, "has the same key as "+other, "give each its own key")
	c.keys[effectiveHash] = path
}

// checkField records a problem with a field if ok is false and the field has no
// recorded problem yet.
func (c *checker) checkField(ok bool, field, reason, remedy string) {
	field = strings.TrimPrefix(field, ".")
	if !ok && !c.file.HasProblem(field) {
		c.file.AddProblem(field, reason, remedy)
	}
}
