package driver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
)

// startEarlyServer starts a service that answers each call with a body without length or chunks before it has read the
// call. Then it resets the connection, or reads the call to its end.
func startEarlyServer(t *testing.T, body string, reset bool) cicadapitch.Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+body) // the caller checks what arrives
				time.Sleep(10 * time.Millisecond)
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0) // the close that follows is a reset
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
			}()
		}
	}()
	return cicadapitch.Endpoint{ID: "e1", Address: "http://" + l.Addr().String()}
}

// TestAnswerToAnUnreadCallIsNoAnswer guards against a call that counts as done although its service has reset the
// connection before it had read the call. The end of an engine's stream is an event of its own.
func TestAnswerToAnUnreadCallIsNoAnswer(t *testing.T) {
	const runs = 10
	input := strings.Repeat("x", 16<<20)
	for _, reset := range []bool{true, false} {
		t.Run(fmt.Sprintf("reset %t", reset), func(t *testing.T) {
			e, done := startEarlyServer(t, `{"Output":"x","Tokens":1}`, reset), 0
			for range runs {
				_, err := serviceDriver.Call(t.Context(), cicadapitch.Call{Endpoint: e, Input: input}, nil)
				if err == nil {
					done++
					continue
				}
				require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
			}
			if reset {
				require.Zero(t, done, "of %d calls that were not read are done", runs)
			} else {
				require.Equal(t, runs, done)
			}
		})
	}
}
