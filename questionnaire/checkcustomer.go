package questionnaire

import "fmt"

func (c *checker) checkCustomer(path string, customer Customer) {
	c.checkName(path+".Name", string(customer.Name))
	c.checkField(customer.Share > 0, path+".Share", "is not above 0", "give the customer's relative share")
	c.checkKey(path, customer.Key, customer.KeyHash)
	seen := make(map[string]string)
	for i, d := range customer.Deadlines {
		field := fmt.Sprintf("%s.Deadlines[%d]", path, i)
		_, ok := c.pipelines[string(d.Pipeline)]
		c.checkField(ok, field+".Pipeline", fmt.Sprintf("%q is not a pipeline", d.Pipeline), "name a pipeline that Applications lists")
		c.checkUnique(seen, field+".Pipeline", string(d.Pipeline))
		c.checkDeadline(field+".DeadlineMillis", d.DeadlineMillis)
	}
}

func (c *checker) checkOperator(path string, o Operator) {
	c.checkName(path+".Name", string(o.Name))
	c.checkKey(path, o.Key, o.KeyHash)
}
