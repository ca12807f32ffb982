package questionnaire

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

func (c *checker) checkApplication(path string, app Application) {
	c.checkName(path+".Name", app.Name)
	c.checkNotEmpty(len(app.Pipelines), path+".Pipelines")
	for i, p := range app.Pipelines {
		c.checkPipeline(fmt.Sprintf("%s.Pipelines[%d]", path, i), p)
	}
}

func (c *checker) checkPipeline(path string, p Pipeline) {
	c.checkName(path+".Name", string(p.Name))
	_, taken := c.pipelines[string(p.Name)]
	c.checkField(!taken, path+".Name", fmt.Sprintf("%q is used twice", p.Name), "give each pipeline its own name")
	c.pipelines[string(p.Name)] = p.DeadlineMillis
	c.checkDeadline(path+".DeadlineMillis", p.DeadlineMillis)
	c.checkTarget(path+".FirstTokenMillis", p.FirstTokenMillis, p.DeadlineMillis)
	c.checkTarget(path+".BetweenTokensMillis", p.BetweenTokensMillis, p.DeadlineMillis)
	c.checkNotEmpty(len(p.Stages), path+".Stages")
	var expected cicadapitch.Millis
	for i, s := range p.Stages {
		c.checkStage(fmt.Sprintf("%s.Stages[%d]", path, i), s)
		expected += s.ExpectedMillis
	}
	c.checkField(expected <= p.DeadlineMillis, path+".Stages", "are expected to take longer than the deadline",
		"lengthen DeadlineMillis or correct ExpectedMillis")
	checkUniqueNamesIn(c, path+".Stages", p.Stages, func(s Stage) string { return string(s.Name) })
}

func (c *checker) checkStage(path string, s Stage) {
	c.checkName(path+".Name", string(s.Name))
	c.checkReference(c.pools, path+".Pool", string(s.Pool), "Pools")
	c.checkField(s.NeverRepeat != nil, path+".NeverRepeat", "is missing",
		"write true for a request that may never be repeated, such as a booking, otherwise false")
	c.checkField(s.ExpectedMillis >= 1, path+".ExpectedMillis", "is less than 1", "give the usual service time")
	c.checkField(s.MaxTokens >= 0, path+".MaxTokens", "is negative", "give 0 or more")
	if c.isEnginePool(s.Pool) {
		c.checkField(s.MaxTokens > 0, path+".MaxTokens", "is missing for an engine", "give the maximum number of tokens that the stage generates")
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
		"give a target of at most DeadlineMillis, or 0 for none")
}
