package driver

import (
	"context"
	"io"
	"strings"

	"cicadapitch.example/cicadapitch"
)

// Engine is the driver of model engines. Closing the context cancels the
// generation.
type Engine struct{ transport }

var _ cicadapitch.Driver = (*Engine)(nil)

// NewEngine returns a driver of model engines.
func NewEngine(opts ...Option) *Engine { return &Engine{newTransport(opts)} }

// completionRequest is the body of POST /v1/completions, whose names are those
// of the completion API.
type completionRequest struct {
	Model     string             `json:"model"`
	Prompt    string             `json:"prompt"`
	MaxTokens cicadapitch.Tokens `json:"max_tokens,omitempty"`
	Stream    bool               `json:"stream"`
	Priority  int                `json:"priority,omitempty"`
	Resume    string             `json:"resume,omitempty"`
	// CacheKey names the prefix of the prompt for the engine's cache.
	CacheKey string `json:"prompt_cache_key,omitempty"`
}

// Call implements cicadapitch.Driver. The output and the sink hold what follows
// Call.Resume. A result that comes with an error holds what was delivered.
func (e *Engine) Call(ctx context.Context, c cicadapitch.Call, sink func(text string)) (cicadapitch.CallResult, error) {
	ctx, cancel := withTimeout(ctx, c.Timeout)
	defer cancel()
	q := completionRequest{
		Model:     string(c.Model),
		Prompt:    c.Input,
		MaxTokens: c.MaxTokens,
		Stream:    true,
		Priority:  c.Priority,
		Resume:    c.Resume,
		CacheKey:  c.Prefix,
	}
	start := e.opts.clock.Now()
	w, err := e.post(ctx, c, "/v1/completions", q)
	if err != nil {
		return cicadapitch.CallResult{}, err
	}
	defer w.Body.Close()
	g := gathering{clock: e.opts.clock, start: start, sink: sink}
	err = g.read(io.LimitReader(w.Body, int64(e.opts.maxOutput)))
	if err != nil {
		return g.result(), lost(c.Endpoint, err.Error())
	}
	return g.result(), nil
}

// gathering collects the output of a stream.
type gathering struct {
	clock  cicadapitch.Clock
	start  cicadapitch.Instant
	sink   func(string)
	output strings.Builder
	tokens cicadapitch.Tokens
	first  cicadapitch.Millis
}

func (g *gathering) read(r io.Reader) error {
	return ReadCompletion(r, func(text string) {
		if g.tokens == 0 {
			g.first = g.clock.Now().Sub(g.start)
		}
		g.tokens++
		g.output.WriteString(text)
		if g.sink != nil {
			g.sink(text)
		}
	})
}

func (g *gathering) result() cicadapitch.CallResult {
	return cicadapitch.CallResult{Output: g.output.String(), Tokens: g.tokens, FirstToken: g.first}
}
