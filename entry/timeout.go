package entry

import (
	"context"

	"cicadapitch.example/cicadapitch"
)

// withTimeout is context.WithTimeout for the given clock. The cause of a context that
// timed out is context.DeadlineExceeded.
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
