package load

import (
	"context"
	"fmt"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

// DirectSender sends each stage of a request directly to an endpoint of its
// pool, without a host in between, and rotates among the endpoints. Its latency
// is the baseline for the latency that hosts add.
type DirectSender struct {
	cfg      *cicadapitch.Configuration
	drivers  map[cicadapitch.PoolKind]cicadapitch.Driver
	requests atomic.Uint64
}

var _ Sender = (*DirectSender)(nil)

// NewDirectSender returns a sender to the endpoints of a configuration.
func NewDirectSender(cfg *cicadapitch.Configuration) *DirectSender {
	return &DirectSender{
		cfg: cfg,
		drivers: map[cicadapitch.PoolKind]cicadapitch.Driver{
			cicadapitch.Engine:  driver.NewEngine(),
			cicadapitch.Service: driver.NewService(),
		},
	}
}

// Do implements Sender.
func (d *DirectSender) Do(ctx context.Context, req cicadapitch.Request, sink func(cicadapitch.Chunk)) (cicadapitch.Answer, error) {
	p, ok := d.cfg.Pipeline(req.Pipeline)
	if !ok {
		return cicadapitch.Answer{}, invalid("no pipeline " + string(req.Pipeline))
	}
	number := d.requests.Add(1)
	a := cicadapitch.Answer{Output: req.Input}
	for _, s := range p.Stages {
		pool, _ := d.cfg.Pool(s.Pool)
		id := cicadapitch.AttemptID{
			Request: cicadapitch.RequestID(fmt.Sprintf("direct-%d", number)), Stage: s.ID, Number: 1,
		}
		call := cicadapitch.Call{
			Attempt: id, Endpoint: d.endpoint(s.Pool, number), Model: pool.Model, Input: a.Output,
			Prefix: req.Prefix, MaxTokens: s.MaxTokens, Timeout: p.Deadline,
		}
		r, err := d.drivers[pool.Kind].Call(ctx, call, chunkSink(s, id, sink))
		if err != nil {
			return a, err
		}
		a.Output = r.Output
	}
	return a, nil
}

// chunkSink returns a function that passes the text of a stage to sink. It drops
// the text of a stage that doesn't stream.
func chunkSink(s cicadapitch.Stage, id cicadapitch.AttemptID, sink func(cicadapitch.Chunk)) func(string) {
	return func(text string) {
		if s.Streams {
			sink(cicadapitch.Chunk{Attempt: id, Text: text})
		}
	}
}

// endpoint returns the endpoint of a pool for the request with the given number,
// round robin.
func (d *DirectSender) endpoint(pool cicadapitch.PoolID, number uint64) cicadapitch.Endpoint {
	var list []cicadapitch.Endpoint
	for _, e := range d.cfg.Endpoints {
		if e.Pool == pool {
			list = append(list, e)
		}
	}
	return list[number%uint64(len(list))]
}
