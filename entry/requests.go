package entry

import (
	"context"
	"net/http"
	"reflect"
	"strings"

	"cicadapitch.example/cicadapitch"
	"github.com/danielgtaylor/huma/v2"
)

const eventStream = "text/event-stream"

type requestInput struct {
	Authorization string `header:"Authorization"`
	Accept        string `header:"Accept"`
	Body          RequestBody
}

// registerRequests adds the operation that serves requests. The operation writes
// its response itself, as one JSON value or as server-sent events.
func (c *callerAPI) registerRequests(api huma.API) {
	schemas := api.OpenAPI().Components.Schemas
	answer := schemas.Schema(reflect.TypeFor[AnswerBody](), true, "AnswerBody")
	op := huma.Operation{
		OperationID:     "postRequest",
		Method:          http.MethodPost,
		Path:            "/v1/requests",
		Summary:         "Runs a request through its pipeline",
		Description:     "Answers with JSON, or with the events Chunk, Answer and Error where text/event-stream is accepted.",
		Tags:            []string{"Commands"},
		MaxBodyBytes:    int64(c.server.maxInput)*2 + bodyOverhead,
		BodyReadTimeout: bodyReadTimeout,
		Responses: map[string]*huma.Response{"200": {
			Description: "The whole answer",
			Content: map[string]*huma.MediaType{
				"application/json": {Schema: answer},
				eventStream:        {Schema: &huma.Schema{Type: huma.TypeString}},
			},
		}},
	}
	huma.Register(api, op, c.postRequest)
}

func (c *callerAPI) postRequest(_ context.Context, in *requestInput) (*huma.StreamResponse, error) {
	customer, err := c.keys.authenticate(in.Authorization)
	if err != nil {
		return nil, NewAPIError(err)
	}
	req := in.Body.request(customer)
	acceptsEvents := strings.Contains(in.Accept, eventStream)
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		if acceptsEvents {
			c.serveEvents(ctx, req)
			return
		}
		c.serveJSON(ctx, req)
	}}, nil
}

func (c *callerAPI) serveJSON(ctx huma.Context, req cicadapitch.Request) {
	a, err := c.server.Serve(ctx.Context(), req, nil)
	if err != nil {
		writeError(ctx, NewAPIError(err))
		return
	}
	writeJSON(ctx, http.StatusOK, newAnswerBody(a))
}

func (c *callerAPI) serveEvents(ctx huma.Context, req cicadapitch.Request) {
	w := &eventWriter{ctx: ctx}
	a, err := c.server.Serve(ctx.Context(), req, func(ch cicadapitch.Chunk) {
		w.send(http.StatusOK, "Chunk", newChunkBody(ch))
	})
	if err != nil {
		e := NewAPIError(err)
		setRetryAfter(ctx, e)
		w.send(e.Status, "Error", e)
		return
	}
	w.send(http.StatusOK, "Answer", newAnswerBody(a))
}
