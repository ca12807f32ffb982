package administration_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/administration"
	"cicadapitch.example/cicadapitch/order"
)

// newHost returns a host that sends the same answer to every call. If status is
// 0, it aborts the connection instead.
func newHost(t *testing.T, status int, body string) *httptest.Server {
	t.Helper()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(h.Close)
	return h
}

const (
	accepted    = `{"Revision":2,"InForce":1,"Hosts":1}`
	unavailable = `{"Kind":"Unavailable","Reason":"not accepted","Remedy":"later"}`
	conflict    = `{"Kind":"Conflict","Reason":"moved on","Remedy":"compare"}`
)

// newRefusingHost returns the URL of a host that refuses connections. Its port stays bound, so
// that no other server gets it.
func newRefusingHost(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	name, err := unix.Getsockname(fd)
	require.NoError(t, err)
	return fmt.Sprintf("http://127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
}

// TestOrderTriesNextHostAndKeepsUnknownOutcome guards against an order that is not
// sent to the next host after a failed one, and against a later refusal that hides
// that an earlier host may have accepted the order.
func TestOrderTriesNextHostAndKeepsUnknownOutcome(t *testing.T) {
	aborting := newHost(t, 0, "")
	refusing := &httptest.Server{URL: newRefusingHost(t)}
	for _, c := range []struct {
		hosts []*httptest.Server
		kind  cicadapitch.Kind
		ok    bool
	}{
		{[]*httptest.Server{refusing, aborting, newHost(t, 200, accepted)}, 0, true},
		{[]*httptest.Server{newHost(t, 503, unavailable), newHost(t, 200, accepted)}, 0, true},
		{[]*httptest.Server{newHost(t, 503, unavailable)}, cicadapitch.Unavailable, false},
		{[]*httptest.Server{refusing}, cicadapitch.Unavailable, false},
		{[]*httptest.Server{aborting}, cicadapitch.OutcomeUnknown, false},
		{[]*httptest.Server{aborting, newHost(t, 503, unavailable)}, cicadapitch.OutcomeUnknown, false},
		{[]*httptest.Server{aborting, newHost(t, 409, conflict)}, cicadapitch.OutcomeUnknown, false},
		{[]*httptest.Server{newHost(t, 409, conflict), newHost(t, 200, accepted)}, cicadapitch.Conflict, false},
		{[]*httptest.Server{newHost(t, 422, "no")}, cicadapitch.Invalid, false},
		{nil, cicadapitch.Invalid, false},
	} {
		var urls []string
		for _, h := range c.hosts {
			urls = append(urls, h.URL)
		}
		_, err := administration.New(urls, "key").Order(context.Background(), "zone", order.ZoneOrder{})
		if c.ok {
			require.NoError(t, err)
			continue
		}
		require.Equal(t, c.kind, cicadapitch.KindOf(err), "%v", err)
	}
}

func TestChangeIDsAreUnique(t *testing.T) {
	require.NotEqual(t, administration.NewChangeID(), administration.NewChangeID())
}
