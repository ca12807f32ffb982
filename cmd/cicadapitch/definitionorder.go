package main

import (
	"strconv"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/questionnaire"
)

func newPipelineOrder() command {
	var file string
	var replace bool
	c := newOrderCommand("pipeline", "creates or changes a pipeline", "pipeline",
		func(f order.ChangeField) (order.PipelineOrder, error) {
			p, err := readPipeline(file)
			return order.PipelineOrder{ChangeField: f, Action: createOrReplace(replace), Pipeline: p}, err
		})
	c.addPositional(&file, "file", 1, "YAML file with one pipeline, written as in the questionnaire")
	c.sub.Bool(&replace, "", "replace", "replace an existing pipeline")
	return c
}

// readPipeline reads a YAML file with one pipeline.
func readPipeline(file string) (cicadapitch.Pipeline, error) {
	f, err := openFile(file)
	if err != nil {
		return cicadapitch.Pipeline{}, err
	}
	defer f.Close()
	return questionnaire.ReadPipeline(f, file)
}

// createOrReplace returns the action for the flag --replace.
func createOrReplace(replace bool) order.Action {
	if replace {
		return order.Replace
	}
	return order.Create
}

func newPipelineRemoval() command {
	return newNamedOrder("pipeline-remove", "removes a pipeline", "pipeline-remove", "pipeline",
		func(f order.ChangeField, id string) order.PipelineRemoval {
			return order.PipelineRemoval{ChangeField: f, Pipeline: cicadapitch.PipelineID(id)}
		})
}

func newCustomerOrder() command {
	var name, key, hash string
	var share float64
	var replace bool
	c := newOrderCommand("customer", "creates or changes a customer", "customer",
		func(f order.ChangeField) (order.CustomerOrder, error) {
			if key != "" {
				hash = cicadapitch.HashKey(key)
			}
			if key != "" && len(key) < questionnaire.MinKeyLength {
				return order.CustomerOrder{}, usageError("the customer's key is too short")
			}
			return order.CustomerOrder{
				ChangeField: f, Action: createOrReplace(replace),
				Customer: cicadapitch.Customer{
					ID: cicadapitch.CustomerID(name), KeyHash: hash, Share: cicadapitch.Share(share),
				},
			}, nil
		})
	c.addPositional(&name, "customer", 1, "name of the customer")
	c.sub.String(&key, "", "customer-key", "the customer's key; only its SHA-256 is sent")
	c.sub.String(&hash, "", "customer-key-hash", "SHA-256 of the customer's key")
	c.sub.Float64(&share, "", "share", "relative share of the capacity under contention")
	c.sub.Bool(&replace, "", "replace", "change an existing customer; omitted values stay unchanged")
	return c
}

func newCustomerRemoval() command {
	return newNamedOrder("customer-remove", "removes a customer", "customer-remove", "customer",
		func(f order.ChangeField, id string) order.CustomerRemoval {
			return order.CustomerRemoval{ChangeField: f, Customer: cicadapitch.CustomerID(id)}
		})
}

func newDeadlineOrder() command {
	var customer, pipeline, millis string
	c := newOrderCommand("deadline", "sets a customer's own deadline for a pipeline", "deadline",
		func(f order.ChangeField) (order.DeadlineOrder, error) {
			n, err := strconv.ParseInt(millis, 10, 64)
			if err != nil || n < 0 {
				return order.DeadlineOrder{}, usageError("the deadline is not a number of milliseconds")
			}
			return order.DeadlineOrder{
				ChangeField: f, Customer: cicadapitch.CustomerID(customer),
				Pipeline: cicadapitch.PipelineID(pipeline), Deadline: cicadapitch.Millis(n),
			}, nil
		})
	c.addPositional(&customer, "customer", 1, "name of the customer")
	c.addPositional(&pipeline, "pipeline", 2, "name of the pipeline")
	c.addPositional(&millis, "milliseconds", 3, "deadline in milliseconds, or 0 for the pipeline's default")
	return c
}

func newModelOrder() command {
	var pool, model, version, role string
	var adapters []string
	c := newOrderCommand("model", "sets the model that the engines of a pool serve", "model",
		func(f order.ChangeField) (order.ModelOrder, error) {
			return order.ModelOrder{
				ChangeField: f, Pool: cicadapitch.PoolID(pool), Model: cicadapitch.ModelID(model),
				Version: cicadapitch.ModelVersion(version), Role: role,
				Adapters: lo.Map(adapters, func(a string, _ int) cicadapitch.AdapterID { return cicadapitch.AdapterID(a) }),
			}, nil
		})
	c.addPositional(&pool, "pool", 1, "name of the pool")
	c.addPositional(&model, "model", 2, "name of the model")
	c.sub.String(&version, "", "model-version", "version of the model")
	c.sub.StringSlice(&adapters, "", "adapter", "adapter to load; repeat the flag for several")
	c.sub.String(&role, "", "role", "role of the engines, such as prefill or decode")
	return c
}
