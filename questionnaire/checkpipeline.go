package questionnaire

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

func (c *checker) application(at string, app Application) {
	c.name(at+".Name", app.Name)
	c.notEmpty(len(app.Pipelines), at+".Pipelines")
	for i, p := range app.Pipelines {
		c.pipeline(fmt.Sprintf("%s.Pipelines[%d]", at, i), p)
	}
}

func (c *checker) pipeline(at string, p Pipeline) {
	c.name(at+".Name", string(p.Name))
	_, taken := c.pipelines[string(p.Name)]
	c.check(!taken, at+".Name", fmt.Sprintf("%q is used twice", p.Name), "give each pipeline its own name")
	c.pipelines[string(p.Name)] = p.DeadlineMillis
	c.deadline(at+".DeadlineMillis", p.DeadlineMillis)
	c.target(at+".FirstTokenMillis", p.FirstTokenMillis, p.DeadlineMillis)
	c.target(at+".BetweenTokensMillis", p.BetweenTokensMillis, p.DeadlineMillis)
	c.notEmpty(len(p.Stages), at+".Stages")
	var expected cicadapitch.Millis
	for i, s := range p.Stages {
		c.stage(fmt.Sprintf("%s.Stages[%d]", at, i), s)
		expected += s.ExpectedMillis
	}
	c.check(expected <= p.DeadlineMillis, at+".Stages", "are expected to take longer than the deadline",
		"lengthen DeadlineMillis or correct ExpectedMillis")
	unique(c, at+".Stages", p.Stages, func(s Stage) string { return string(s.Name) })
}

func (c *checker) stage(at string, s Stage) {
	c.name(at+".Name", string(s.Name))
	c.known(c.pools, at+".Pool", string(s.Pool), "Pools")
	c.check(s.NeverRepeat != nil, at+".NeverRepeat", "is missing",
		"write true for a request that may never be repeated, such as a booking, otherwise false")
	c.check(s.ExpectedMillis >= 1, at+".ExpectedMillis", "is less than 1", "give the usual service time")
	c.check(s.MaxTokens >= 0, at+".MaxTokens", "is negative", "give 0 or more")
	if c.isEngine(s.Pool) {
		c.check(s.MaxTokens > 0, at+".MaxTokens", "is missing for an engine", "bound what the stage generates")
	}
}

func (c *checker) isEngine(id cicadapitch.PoolID) bool {
	for _, p := range c.a.Pools {
		if p.Name == id && p.Kind != nil {
			return *p.Kind == cicadapitch.Engine
		}
	}
	return false
}

func (c *checker) deadline(field string, m cicadapitch.Millis) {
	c.check(m >= 1 && m <= MaxDeadline, field, "is missing or out of range",
		fmt.Sprintf("give a deadline of 1 to %d ms", MaxDeadline))
}

func (c *checker) target(field string, m, deadline cicadapitch.Millis) {
	c.check(m >= 0 && m <= deadline, field, "is negative or above the deadline",
		"give a target below DeadlineMillis, or 0 for none")
}

func (c *checker) customer(at string, cu Customer) {
	c.name(at+".Name", string(cu.Name))
	c.check(cu.Share > 0, at+".Share", "is not above 0", "give the customer's relative share")
	c.key(at, cu.Key, cu.KeyHash)
	seen := make(map[string]string)
	for i, d := range cu.Deadlines {
		field := fmt.Sprintf("%s.Deadlines[%d]", at, i)
		_, ok := c.pipelines[string(d.Pipeline)]
		c.check(ok, field+".Pipeline", fmt.Sprintf("%q is not a pipeline", d.Pipeline), "name a pipeline of Applications")
		c.differs(seen, field+".Pipeline", string(d.Pipeline))
		c.deadline(field+".DeadlineMillis", d.DeadlineMillis)
	}
}

func (c *checker) operator(at string, o Operator) {
	c.name(at+".Name", string(o.Name))
	c.key(at, o.Key, o.KeyHash)
}
