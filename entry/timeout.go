package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// withTimeout returns a context that ends after m by the given clock.
func withTimeout(ctx context.Context, clock cicadapitch.Clock, m cicadapitch.Millis) (context.Context, context.CancelFunc) {
	if _, ok := clock.(*cicadapitch.SystemClock); ok {
		return context.WithTimeout(ctx, m.Duration())
	}
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		if clock.Sleep(ctx, max(m, 0)) == nil {
			cancel(context.DeadlineExceeded)
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}
