package cicadapitch_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
)

func TestManualClockAdvanceWakesDueSleeper(t *testing.T) {
	clock := cicadapitch.NewManualClock(1000)
	done := make(chan error, 1)
	go func() { done <- clock.Sleep(context.Background(), 10) }()
	for len(done) == 0 {
		clock.Advance(10)
	}
	require.NoError(t, <-done)
	require.GreaterOrEqual(t, clock.Now(), cicadapitch.Instant(1010))
}

func TestManualClockSleepReturnsContextError(t *testing.T) {
	clock := cicadapitch.NewManualClock(0)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	require.ErrorIs(t, clock.Sleep(ctx, 10), context.Canceled)
}
