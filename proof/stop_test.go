package proof_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
	"cicadapitch.example/cicadapitch/settings"
	"cicadapitch.example/cicadapitch/standin"
)

// lateBooking is a booking that a caller sent to a host that stops.
type lateBooking struct {
	input string
	// sentAt and endedAt are times since the stop.
	sentAt, endedAt time.Duration
	// status is that of a whole response, or 0. err says why there is none.
	status int
	err    error
}

// sendUntilGone sends a host a booking in every interval, over kept connections and without waiting for
// the one before, until its process has ended. It returns what came of them.
func sendUntilGone(p *process, interval time.Duration) []lateBooking {
	start, c := time.Now(), &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var (
		mu      sync.Mutex
		results []lateBooking
		group   sync.WaitGroup
	)
	for n := 0; ; n++ {
		select {
		case <-p.done:
			group.Wait()
			return results
		case <-time.After(interval):
		}
		group.Go(func() {
			b := lateBooking{input: fmt.Sprintf("late court %d", n), sentAt: time.Since(start)}
			b.status, b.err = bookByKey(c, p.settings.CallerURL, b.input)
			b.endedAt = time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, b)
		})
	}
}

// bookByKey sends a booking with its input as the idempotency key and returns the status of the whole
// response.
func bookByKey(c *http.Client, base, input string) (int, error) {
	b, err := json.Marshal(entry.RequestBody{Pipeline: "book", Input: input, IdempotencyKey: input})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(http.MethodPost, base+"/v1/requests", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+customerKey)
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// TestPlannedStopAnswersLateRequests guards against requests that a host takes late in its planned stop
// and cuts at its end. The grace is longer than the longest deadline, and endpoints are slow.
func TestPlannedStopAnswersLateRequests(t *testing.T) {
	f := newFleet(t, func(hosts []*settings.Settings) {
		for _, s := range hosts {
			s.ShutdownGraceMillis = 10 * cicadapitch.Second
		}
	})
	for _, id := range []cicadapitch.EndpointID{"booking-a", "booking-b"} {
		f.Services[id].SetFaults(standin.ServiceFaults{DelayMillis: 3500})
	}
	f.hosts[0].signal(syscall.SIGTERM)
	results := sendUntilGone(f.hosts[0], 400*time.Millisecond)
	bookings := lo.CountValuesBy(f.Bookings("booking"), func(b standin.Booking) string { return b.Input })
	for _, b := range results {
		n := bookings[expectedText(b.input)]
		require.LessOrEqual(t, n, 1, b.input)
		switch {
		case errors.Is(b.err, syscall.ECONNREFUSED):
		case b.err != nil:
			t.Errorf("%s, sent %v after the stop, got no answer after %v: %v", b.input, b.sentAt, b.endedAt, b.err)
		case b.status == http.StatusServiceUnavailable:
			require.Zero(t, n, b.input)
		default:
			require.Equal(t, http.StatusOK, b.status, "%s, sent %v after the stop", b.input, b.sentAt)
			require.Equal(t, 1, n, b.input)
		}
	}
	t.Logf("%d requests: %v", len(results), lo.CountValuesBy(results, func(b lateBooking) int { return b.status }))
}
