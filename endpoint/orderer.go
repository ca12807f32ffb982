package endpoint

import (
	"context"
	"time"

	"golang.org/x/time/rate"

	"cicadapitch.example/cicadapitch"
)

const (
	// loadTimeout bounds the loading of a model.
	loadTimeout = 5 * cicadapitch.Minute
	// readBackEvery is the span between two looks at what an endpoint serves.
	readBackEvery = cicadapitch.Second
)

// Orderer orders endpoints to load what their pool serves, no faster than the
// weight store gives it out. The owner of a shard is its only orderer.
type Orderer struct {
	host    cicadapitch.HostID
	clock   cicadapitch.Clock
	limiter *rate.Limiter
}

// NewOrderer returns the orderer of a host, which begins at most one load in
// each span of the given length.
func NewOrderer(host cicadapitch.HostID, clock cicadapitch.Clock, every cicadapitch.Millis) *Orderer {
	return &Orderer{host: host, clock: clock, limiter: rate.NewLimiter(rate.Every(every.Duration()), 1)}
}

// Begin reports whether a further load may begin now.
func (o *Orderer) Begin(now cicadapitch.Instant) bool {
	return o.limiter.AllowN(time.UnixMilli(int64(now)), 1)
}

// Give gives the order. Where the endpoint does not check fencing numbers, a
// former owner's order may have come later, so that what the endpoint serves
// is read back.
func (o *Orderer) Give(ctx context.Context, d cicadapitch.Driver, e cicadapitch.Endpoint, p cicadapitch.Pool, fencing cicadapitch.FencingNumber) error {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout.Duration())
	defer cancel()
	err := d.Order(ctx, e, cicadapitch.EndpointOrder{
		Model:    p.Model,
		Version:  p.Version,
		Adapters: p.Adapters,
		Fencing:  fencing,
		Orderer:  o.host,
	})
	if err != nil || p.ChecksFencing {
		return err
	}
	for {
		r, err := d.Load(ctx, e)
		if err == nil && !differs(r, p) {
			return nil
		}
		if o.clock.Sleep(ctx, readBackEvery) != nil {
			return cicadapitch.NewError(cicadapitch.Conflict, "the endpoint serves something else than it was ordered to",
				"check who else gives orders to the endpoint")
		}
	}
}
