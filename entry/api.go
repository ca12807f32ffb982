package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"
)

const (
	bodyReadTimeout = 10 * time.Second
	// maxMintedTokens is the maximum number of tokens in one directory answer.
	maxMintedTokens = 64
	// bodyOverhead is the number of bytes that a request body may have in
	// addition to its input.
	bodyOverhead = 16 << 10
)

// callerAPI implements the operations of the HTTP API for callers.
type callerAPI struct {
	server    *Server
	directory Directory
	keys      *authenticator
}

// installHumaErrors makes huma return the errors that it detects itself as
// APIErrors. It does so once, because huma.NewError is global.
var installHumaErrors = sync.OnceFunc(func() { huma.NewError = newHumaError })

// Register adds the callers' operations to an API: the directory, requests and
// their outcomes. It also sets huma.NewError, for all APIs of the process, so that
// errors that huma detects are returned as APIErrors.
func Register(api huma.API, s *Server, directory func(zone cicadapitch.ZoneID, caller string) DirectoryAnswer) {
	installHumaErrors()
	c := &callerAPI{server: s, directory: directory, keys: &authenticator{configurations: s.configurations}}
	huma.Register(api, huma.Operation{
		OperationID: "getDirectory",
		Method:      http.MethodGet,
		Path:        "/v1/directory",
		Summary:     "Tells which hosts to use and mints tokens",
		Tags:        []string{"Queries"},
	}, c.getDirectory)
	c.registerRequests(api)
	huma.Register(api, huma.Operation{
		OperationID: "getOutcome",
		Method:      http.MethodGet,
		Path:        "/v1/requests/{Token}/outcome",
		Summary:     "Tells what became of a token; one that has not begun never will afterwards",
		Tags:        []string{"Queries"},
	}, c.getOutcome)
}

type directoryInput struct {
	Zone          string `query:"Zone" doc:"Availability zone of the caller" maxLength:"256"`
	Tokens        int    `query:"Tokens" doc:"How many tokens to mint" minimum:"0" maximum:"64" default:"16"`
	Authorization string `header:"Authorization"`
	remote        string
}

// Resolve implements huma.Resolver. It stores the remote address of the caller.
func (d *directoryInput) Resolve(ctx huma.Context) []error {
	d.remote = ctx.RemoteAddr()
	return nil
}

type directoryOutput struct {
	CacheControl string `header:"Cache-Control"`
	Body         DirectoryAnswer
}

func (c *callerAPI) getDirectory(_ context.Context, in *directoryInput) (*directoryOutput, error) {
	answer := c.directory(cicadapitch.ZoneID(in.Zone), in.remote)
	if answer.Hosts == nil {
		answer.Hosts = []DirectoryHost{}
	}
	if in.Authorization != "" {
		customer, err := c.keys.authenticate(in.Authorization)
		if err != nil {
			return nil, NewAPIError(err)
		}
		answer.Once = c.nonIdempotentPipelines()
		if c.server.minter != nil && len(answer.Once) > 0 {
			answer.Tokens = c.server.minter.MintN(customer, min(in.Tokens, maxMintedTokens))
		}
	}
	return &directoryOutput{CacheControl: "no-store", Body: answer}, nil
}

// nonIdempotentPipelines returns the pipelines that may not be repeated. Their
// requests need a token or an idempotency key.
func (c *callerAPI) nonIdempotentPipelines() []cicadapitch.PipelineID {
	cfg := c.server.configurations.Current()
	if cfg == nil {
		return nil
	}
	return lo.FilterMap(cfg.Pipelines, func(p cicadapitch.Pipeline, _ int) (cicadapitch.PipelineID, bool) {
		return p.ID, !Idempotent(p)
	})
}

type outcomeInput struct {
	Token         string `path:"Token" maxLength:"1024"`
	Authorization string `header:"Authorization"`
}

// OutcomeBody is the outcome of the request that was sent with a token.
type OutcomeBody struct {
	Phase  string      `json:"Phase" enum:"Refused,Queued,Running,Done,Failed"`
	Answer *AnswerBody `json:"Answer,omitempty"`
	Error  *APIError   `json:"Error,omitempty"`
}

type outcomeOutput struct{ Body OutcomeBody }

func (c *callerAPI) getOutcome(ctx context.Context, in *outcomeInput) (*outcomeOutput, error) {
	customer, err := c.keys.authenticate(in.Authorization)
	if err != nil {
		return nil, NewAPIError(err)
	}
	o, err := c.server.Outcome(ctx, customer, cicadapitch.Token(in.Token))
	if err != nil {
		return nil, NewAPIError(err)
	}
	return &outcomeOutput{Body: outcomeBody(o)}, nil
}

func outcomeBody(o idempotency.Outcome) OutcomeBody {
	body := OutcomeBody{Phase: o.Phase.String()}
	if o.Answer != nil {
		body.Answer = newAnswerBody(*o.Answer)
	}
	if o.Error != nil {
		body.Error = NewAPIError(o.Error)
	}
	return body
}
