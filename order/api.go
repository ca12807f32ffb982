package order

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

// Limits of request bodies.
const (
	maxOrderBytes         = 64 << 10
	maxConfigurationBytes = int64(cicadapitch.MaxValueBytes) + maxOrderBytes
	bodyReadTimeout       = 10 * time.Second
)

// Path is the prefix of the paths of all orders.
const Path = "/v1/admin/orders/"

// Register adds one operation for each kind of order to api.
func Register(api huma.API, s *Service) {
	register(api, s, "zone", "Takes an availability zone out of service or back in", ZoneOrder.toOrder)
	register(api, s, "host", "Takes an entry host out of service or back in", HostOrder.toOrder)
	register(api, s, "endpoint", "Takes an endpoint out of service or back in", EndpointOrder.toOrder)
	register(api, s, "pipeline", "Creates or changes a pipeline", PipelineOrder.toOrder)
	register(api, s, "pipeline-remove", "Removes a pipeline", PipelineRemoval.toOrder)
	register(api, s, "customer", "Creates or changes a customer", CustomerOrder.toOrder)
	register(api, s, "customer-service", "Takes a customer out of service or back in", CustomerServiceOrder.toOrder)
	register(api, s, "customer-remove", "Removes a customer", CustomerRemoval.toOrder)
	register(api, s, "deadline", "Sets a customer's own deadline for a pipeline", DeadlineOrder.toOrder)
	register(api, s, "model", "Sets model, version, adapters and role of a pool of engines", ModelOrder.toOrder)
	register(api, s, "configuration", "Applies a whole configuration on its base revision", ConfigurationOrder.toOrder)
}

type orderInput[B any] struct {
	Authorization string `header:"Authorization"`
	Body          B
}

type orderOutput struct{ Body Result }

// register adds the operation POST Path+name to api. toOrder converts the body of a
// request to an Order.
func register[B any](api huma.API, s *Service, name, summary string, toOrder func(B) Order) {
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
		principal, err := s.Authenticate(in.Authorization)
		if err != nil {
			return nil, entry.NewAPIError(err)
		}
		result, err := s.Execute(ctx, principal, toOrder(in.Body))
		if err != nil {
			return nil, entry.NewAPIError(err)
		}
		return &orderOutput{Body: result}, nil
	})
}
