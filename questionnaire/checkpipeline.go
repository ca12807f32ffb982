package questionnaire

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

func (c *checker) checkApplication(at string, app Application) {
	c.checkName(at+".Name", app.Name)
	c.checkNotEmpty(len(app.Pipelines), at+".Pipelines")
	for i, p := range app.Pipelines {
		c.checkPipeline(fmt.Sprintf("%s.Pipelines[%d]", at, i), p)
	}
}

func (c *checker) checkPipeline(at string, p Pipeline) {
	c.checkName(at+".Name", string(p.Name))
	_, taken := c.pipelines[string(p.Name)]
	c.checkField(!taken, at+".Name", fmt.Sprintf("%q is used twice", p.Name), "give each pipeline its own name")
	c.pipelines[string(p.Name)] = p.DeadlineMillis
	c.checkDeadline(at+".DeadlineMillis", p.DeadlineMillis)
	c.checkTarget(at+".FirstTokenMillis", p.FirstTokenMillis, p.DeadlineMillis)
	c.checkTarget(at+".BetweenTokensMillis", p.BetweenTokensMillis, p.DeadlineMillis)
	c.checkNotEmpty(len(p.Stages), at+".Stages")
	var expected cicadapitch.Millis
	for i, s := range p.Stages {
		c.checkStage(fmt.Sprintf("%s.Stages[%d]", at, i), s)
		expected += s.ExpectedMillis
	}
	c.checkField(expected <= p.DeadlineMillis, at+".Stages", "are expected to take longer than the deadline",
		"lengthen DeadlineMillis or correct ExpectedMillis")
	checkUniqueNamesIn(c, at+".Stages", p.Stages, func(s Stage) string { return string(s.Name) })
}

func (c *checker) checkStage(at string, s Stage) {
	c.checkName(at+".Name", string(s.Name))
	c.checkReference(c.pools, at+".Pool", string(s.Pool), "Pools")
	c.checkField(s.NeverRepeat != nil, at+".NeverRepeat", "is missing",
		"write true for a request that may never be repeated, such as a booking, otherwise false")
	c.checkField(s.ExpectedMillis >= 1, at+".ExpectedMillis", "is less than 1", "give the usual service time")
	c.checkField(s.MaxTokens >= 0, at+".MaxTokens", "is negative", "give 0 or more")
	if c.isEnginePool(s.Pool) {
		c.checkField(s.MaxTokens > 0, at+".MaxTokens", "is missing for an engine", "give the maximum number of tokens that the stage generates")
	}
}

// isEnginePool reports whether the pool is declared with kind Engine.
func (c *checker) isEnginePool(id cicadapitch.PoolID) bool {
	for _, p := range c.answers.Pools {
		if p.Name == id && p.Kind != nil {
			return *p.Kind == cicadapitch.Engine
		}
	}
	return false
}

func (c *checker) checkDeadline(field string, m cicadapitch.Millis) {
	c.checkField(m >= 1 && m <= MaxDeadline, field, "is missing or out of range",
		fmt.Sprintf("give a deadline of 1 to %d ms", MaxDeadline))
}

// checkTarget checks a target m for the tokens of a stream, which must not exceed
// the deadline.
func (c *checker) checkTarget(field string, m, deadline cicadapitch.Millis) {
	c.checkField(m >= 0 && m <= deadline, field, "is negative or above the deadline",
		"give a target below DeadlineMillis, or 0 for none")
}

func (c *checker) checkCustomer(at string, cu Customer) {
	c.checkName(at+".Name", string(cu.Name))
	c.checkField(cu.Share > 0, at+".Share", "is not above 0", "give the customer's relative share")
	c.checkKey(at, cu.Key, cu.KeyHash)
	seen := make(map[string]string)
	for i, d := range cu.Deadlines {
		field := fmt.Sprintf("%s.Deadlines[%d]", at, i)
		_, ok := c.pipelines[string(d.Pipeline)]
		c.checkField(ok, field+".Pipeline", fmt.Sprintf("%q is not a pipeline", d.Pipeline), "name a pipeline that Applications lists")
		c.checkUnique(seen, field+".Pipeline", string(d.Pipeline))
		c.checkDeadline(field+".DeadlineMillis", d.DeadlineMillis)
	}
}

func (c *checker) checkOperator(at string, o Operator) {
	c.checkName(at+".Name", string(o.Name))
	c.checkKey(at, o.Key, o.KeyHash)
}
