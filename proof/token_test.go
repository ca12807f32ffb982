package proof_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

// mintToken returns a new token from the directory of host i.
func (f *fleet) mintToken(i int) cicadapitch.Token {
	f.t.Helper()
	var d entry.DirectoryAnswer
	require.NoError(f.t, f.call(http.MethodGet, i, "/v1/directory", customerKey, nil, &d))
	require.NotEmpty(f.t, d.Tokens)
	return d.Tokens[0]
}

// book sends a booking with a token to host i.
func (f *fleet) book(i int, input string, token cicadapitch.Token) (entry.AnswerBody, error) {
	var a entry.AnswerBody
	body := entry.RequestBody{Pipeline: "book", Input: input, Token: string(token)}
	err := f.call(http.MethodPost, i, "/v1/requests", customerKey, body, &a)
	return a, err
}

// TestSameTokenAtAllHostsRunsOnce sends the same booking with the same token to all
// hosts at once. The booking must be made once and each request must get its answer.
func TestSameTokenAtAllHostsRunsOnce(t *testing.T) {
	f := newFleet(t)
	for n := range 10 {
		input := fmt.Sprintf("court %d", n)
		token := f.mintToken(n % len(f.hosts))
		var group sync.WaitGroup
		for i := range f.hosts {
			group.Go(func() {
				a, err := f.book(i, input, token)
				require.NoError(t, err)
				require.Equal(t, expectedOutput("book", input), a.Output)
			})
		}
		group.Wait()
	}
	require.Len(t, f.Bookings("booking"), 10)
}

// TestTokenOfKilledProcessIsNotRun kills the host that minted a token and sends a
// booking with this token to the other hosts and to the replaced host. None may run
// the booking.
func TestTokenOfKilledProcessIsNotRun(t *testing.T) {
	f := newFleet(t)
	token := f.mintToken(0)
	f.hosts[0].kill()
	f.replace(0)
	f.awaitReady()
	before := len(f.Bookings("booking"))
	for i := range f.hosts {
		_, err := f.book(i, "court", token)
		require.ErrorContains(t, err, cicadapitch.OutcomeUnknown.String())
	}
	require.Len(t, f.Bookings("booking"), before)
}

// TestHostKilledAfterDispatchBooksOnce kills the entry host while a booking that it
// dispatched runs at the endpoint, and sends the booking again to another host, which
// must not run it a second time.
func TestHostKilledAfterDispatchBooksOnce(t *testing.T) {
	f := newFleet(t)
	token := f.mintToken(0)
	result := make(chan error, 1)
	go func() {
		_, err := f.book(0, "court", token)
		result <- err
	}()
	f.awaitBookingStart()
	f.hosts[0].kill()
	require.Error(t, <-result)
	_, err := f.book(1, "court", token)
	require.ErrorContains(t, err, cicadapitch.OutcomeUnknown.String())
	require.LessOrEqual(t, len(f.Bookings("booking")), 1)
}

// awaitBookingStart waits until a booking stand-in has started a run. It has no time
// limit of its own.
func (f *fleet) awaitBookingStart() {
	clock := cicadapitch.NewSystemClock()
	for {
		for _, id := range []cicadapitch.EndpointID{"booking-a", "booking-b"} {
			if len(f.Services[id].Runs()) > 0 {
				return
			}
		}
		_ = clock.Sleep(f.t.Context(), 1)
	}
}
