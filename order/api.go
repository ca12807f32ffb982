package order

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

// Limits of the body of an order.
const (
	maxOrderBytes         = 64 << 10
	maxConfigurationBytes = int64(cicadapitch.MaxValueBytes) + maxOrderBytes
	bodyReadTimeout       = 10 * time.Second
)

// Path is the path below which orders are given.
const Path = "/v1/admin/orders/"

// Register adds the orders to an API.
func Register(api huma.API, s *Service) {
	register(api, s, "zone", "Takes an availability zone out of service or back in", ZoneOrder.order)
	register(api, s, "host", "Takes an entry host out of service or back in", HostOrder.order)
	register(api, s, "endpoint", "Takes an endpoint out of service or back in", EndpointOrder.order)
	register(api, s, "pipeline", "Creates or changes a pipeline", PipelineOrder.order)
	register(api, s, "pipeline-remove", "Removes a pipeline", PipelineRemoval.order)
	register(api, s, "customer", "Creates or changes a customer", CustomerOrder.order)
	register(api, s, "customer-service", "Takes a customer out of service or back in", CustomerServiceOrder.order)
	register(api, s, "customer-remove", "Removes a customer", CustomerRemoval.order)
	register(api, s, "deadline", "Sets a customer's own deadline for a pipeline", DeadlineOrder.order)
	register(api, s, "model", "Sets model, version, adapters and role of a pool of engines", ModelOrder.order)
	register(api, s, "configuration", "Applies a whole configuration on its base revision", ConfigurationOrder.order)
}

type orderInput[B any] struct {
	Authorization string `header:"Authorization"`
	Body          B
}

type orderOutput struct{ Body Result }

// register adds one order, whose body of type B makes the change.
func register[B any](api huma.API, s *Service, name, summary string, order func(B) Order) {
	limit := int64(maxOrderBytes)
	if name == "configuration" {
		limit = maxConfigurationBytes
	}
	huma.Register(api, huma.Operation{
		OperationID:     "order-" + name,
		Method:          http.MethodPost,
		Path:            Path + name,
		Summary:         summary,
		Tags:            []string{"Orders"},
		MaxBodyBytes:    limit,
		BodyReadTimeout: bodyReadTimeout,
	}, func(ctx context.Context, in *orderInput[B]) (*orderOutput, error) {
		who, err := s.Authenticate(in.Authorization)
		if err != nil {
			return nil, entry.NewAPIError(err)
		}
		result, err := s.Execute(ctx, who, order(in.Body))
		if err != nil {
			return nil, entry.NewAPIError(err)
		}
		return &orderOutput{Body: result}, nil
	})
}
