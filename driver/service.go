package driver

import (
	"context"
	"encoding/json"
	"io"

	"cicadapitch.example/cicadapitch"
)

// Service is the driver for plain services, which return one answer per call.
type Service struct{ transport }

var _ cicadapitch.Driver = (*Service)(nil)

// NewService returns a driver for plain services.
func NewService(opts ...Option) *Service { return &Service{newTransport(opts)} }

// serviceCall is the body of POST /call.
type serviceCall struct {
	Input  string
	Prefix string `json:",omitempty"`
}

// serviceAnswer is the answer to POST /call. Output is a pointer to detect an
// answer without the field, which is malformed.
type serviceAnswer struct {
	Output *string
	Tokens cicadapitch.Tokens
}

// Call implements cicadapitch.Driver. It calls the sink once, with the whole
// output.
func (s *Service) Call(ctx context.Context, c cicadapitch.Call, sink func(text string)) (cicadapitch.CallResult, error) {
	ctx, cancel := withTimeout(ctx, c.Timeout)
	defer cancel()
	if c.Resume != "" {
		return cicadapitch.CallResult{}, cicadapitch.NewNotRun("a plain service cannot go on after a part of its output", defaultRetryAfter)
	}
	start := s.opts.clock.Now()
	resp, err := s.post(ctx, c, "/call", serviceCall{Input: c.Input, Prefix: c.Prefix})
	if err != nil {
		return cicadapitch.CallResult{}, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, int64(s.opts.maxOutput)+1))
	if err != nil {
		return cicadapitch.CallResult{}, outcomeUnknown(c.Endpoint, err.Error())
	}
	var a serviceAnswer
	if len(b) > int(s.opts.maxOutput) || json.Unmarshal(b, &a) != nil || a.Output == nil {
		return cicadapitch.CallResult{}, outcomeUnknown(c.Endpoint, "the answer is too large or not the JSON of a service")
	}
	if sink != nil {
		sink(*a.Output)
	}
	first := s.opts.clock.Now().Sub(start)
	return cicadapitch.CallResult{Output: *a.Output, Tokens: a.Tokens, FirstToken: first}, nil
}

// withTimeout returns a context that ends after m milliseconds, or only with ctx
// if m is 0.
func withTimeout(ctx context.Context, m cicadapitch.Millis) (context.Context, context.CancelFunc) {
	if m <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, m.Duration())
}
