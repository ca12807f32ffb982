package driver

import (
	"context"
	"io"
	"strings"
	"time"

	"cicadapitch.example/cicadapitch"
)

// Engine is the driver for model engines. Cancelling the context of a call
// closes its connection, which stops the generation.
type Engine struct{ transport }

var _ cicadapitch.Driver = (*Engine)(nil)

// NewEngine returns a driver for model engines.
func NewEngine(opts ...Option) *Engine { return &Engine{newTransport(opts)} }

// completionRequest is the body of POST /v1/completions. The JSON names are
// those of the OpenAI completion API.
type completionRequest struct {
	Model     string             `json:"model"`
	Prompt    string             `json:"prompt"`
	MaxTokens cicadapitch.Tokens `json:"max_tokens,omitempty"`
	Stream    bool               `json:"stream"`
	Priority  int                `json:"priority,omitempty"`
	Resume    string             `json:"resume,omitempty"`
	// CacheKey identifies the prompt's prefix in the engine's prefix cache.
	CacheKey string `json:"prompt_cache_key,omitempty"`
}

// Call implements cicadapitch.Driver. It streams a completion; the sink and the
// result's Output get only the text after c.Resume. If the stream breaks, Call
// returns the text received so far together with an OutcomeUnknown error. A
// response of more than DefaultMaxOutput bytes counts as a broken stream.
func (e *Engine) Call(ctx context.Context, c cicadapitch.Call, sink func(text string)) (cicadapitch.CallResult, error) {
	ctx, cancel := withTimeout(ctx, c.Timeout)
	defer cancel()
	body := completionRequest{
		Model:     string(c.Model),
		Prompt:    c.Input,
		MaxTokens: c.MaxTokens,
		Stream:    true,
		Priority:  c.Priority,
		Resume:    c.Resume,
		CacheKey:  c.Prefix,
	}
	start := e.opts.clock.Now()
	resp, err := e.post(ctx, c, "/v1/completions", body)
	if err != nil {
		return cicadapitch.CallResult{}, err
	}
	defer resp.Body.Close()
	g := completionCollector{clock: e.opts.clock, start: start, sink: sink}
	limited := io.LimitReader(resp.Body, int64(e.opts.maxOutput))
	if err := g.read(limited); err != nil {
		return g.result(), outcomeUnknown(c.Endpoint, err.Error())
	}
	awaitEnd(limited, cancel)
	return g.result(), nil
}

// endTimeout is how long a response may go on after its last event.
const endTimeout = 500 * cicadapitch.Millis(1)

// awaitEnd reads a response to its end after its last event. The endpoint counts the call
// as running until it ends the response, and the slot is free only then. After endTimeout
// awaitEnd cancels the call, which closes the connection.
func awaitEnd(r io.Reader, cancel context.CancelFunc) {
	timer := time.AfterFunc(endTimeout.Duration(), cancel)
	defer timer.Stop()
	_, _ = io.Copy(io.Discard, r) // the answer is complete already
}

// completionCollector collects the text of a completion stream and passes each
// part on to sink, which may be nil.
type completionCollector struct {
	clock  cicadapitch.Clock
	start  cicadapitch.Instant
	sink   func(string)
	output strings.Builder
	// tokens is the number of chunks with text. Engines send one token per chunk.
	tokens cicadapitch.Tokens
	// firstToken is the time from start to the first token, 0 before that token.
	firstToken cicadapitch.Millis
}

func (g *completionCollector) read(r io.Reader) error {
	return ReadCompletion(r, func(text string) {
		if g.tokens == 0 {
			g.firstToken = g.clock.Now().Sub(g.start)
		}
		g.tokens++
		g.output.WriteString(text)
		if g.sink != nil {
			g.sink(text)
		}
	})
}

func (g *completionCollector) result() cicadapitch.CallResult {
	return cicadapitch.CallResult{Output: g.output.String(), Tokens: g.tokens, FirstToken: g.firstToken}
}
