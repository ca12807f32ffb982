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

// mint takes a token of host i out of its directory.
func (f *fleet) mint(i int) cicadapitch.Token {
	f.t.Helper()
	var d entry.DirectoryAnswer
	require.NoError(f.t, f.call(http.MethodGet, i, "/v1/directory", customerKey, nil, &d))
	require.NotEmpty(f.t, d.Tokens)
	return d.Tokens[0]
}

// book sends a booking under a token to host i.
func (f *fleet) book(i int, input string, token cicadapitch.Token) (entry.AnswerBody, error) {
	var a entry.AnswerBody
	body := entry.RequestBody{Pipeline: "book", Input: input, Token: string(token)}
	err := f.call(http.MethodPost, i, "/v1/requests", customerKey, body, &a)
	return a, err
}

// TestSameTokenAtAllHostsRunsOnce sends a booking to all hosts at the same
// moment under one token. Each sending gets the one answer.
func TestSameTokenAtAllHostsRunsOnce(t *testing.T) {
	f := newFleet(t)
	for n := range 10 {
		input := fmt.Sprintf("court %d", n)
		token := f.mint(n % len(f.hosts))
		var group sync.WaitGroup
		for i := range f.hosts {
			group.Go(func() {
				a, err := f.book(i, input, token)
				require.NoError(t, err)
				require.Equal(t, expected("book", input), a.Output)
			})
		}
		group.Wait()
	}
	require.Len(t, f.Bookings("booking"), 10)
}

// TestTokenOfADeadProcessNeverRuns kills the host that minted a token and sends
// the booking to the others and to the host's replacement.
func TestTokenOfADeadProcessNeverRuns(t *testing.T) {
	f := newFleet(t)
	token := f.mint(0)
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

// TestHostKilledAfterDispatchBooksOnce kills the entry host while its booking
// runs at the endpoint, and sends it again elsewhere.
func TestHostKilledAfterDispatchBooksOnce(t *testing.T) {
	f := newFleet(t)
	token := f.mint(0)
	ended := make(chan error, 1)
	go func() {
		_, err := f.book(0, "court", token)
		ended <- err
	}()
	f.awaitBookingStart()
	f.hosts[0].kill()
	require.Error(t, <-ended)
	_, err := f.book(1, "court", token)
	require.ErrorContains(t, err, cicadapitch.OutcomeUnknown.String())
	require.LessOrEqual(t, len(f.Bookings("booking")), 1)
}

// awaitBookingStart waits until a booking service has started a call.
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
