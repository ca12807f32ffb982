package driver_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

// cutServer answers the first request of each connection whole if kept is true, and others with the
// first n bytes of the answer, after which it closes the connection, in order or with a reset.
type cutServer struct {
	address string

	mu          sync.Mutex
	answer      string
	n           int
	kept, reset bool
}

func newCutServer(t *testing.T) *cutServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &cutServer{address: "http://" + l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return s
}

func (s *cutServer) serve(c *net.TCPConn) {
	defer c.Close()
	for r, first := bufio.NewReader(c), true; ; first = false {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body) // an error shows at the next request
		s.mu.Lock()
		answer, n, whole, reset := s.answer, s.n, s.kept && first, s.reset
		s.mu.Unlock()
		if whole {
			n = len(answer)
		}
		_, _ = io.WriteString(c, answer[:n]) // the caller checks what arrives
		if whole {
			continue
		}
		if reset {
			_ = c.SetLinger(0) // the close that follows is a reset
		}
		return
	}
}

// TestCutHeadIsNoAnswer cuts the answers to all calls of endpoints at every byte, until they are whole by
// what they say: on new and kept connections, closed in order or with a reset, with a length or
// chunks, and after an informational response.
func TestCutHeadIsNoAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		// last is what ends the answer. It is empty if the head is the answer.
		last string
		want cicadapitch.Kind
		call func(t *testing.T, e cicadapitch.Endpoint) error
	}{
		"engine": {"data: {\"choices\":[{\"text\":\"x\"}]}\n\ndata: [DONE]\n\n", "[DONE]", cicadapitch.OutcomeUnknown, func(t *testing.T, e cicadapitch.Endpoint) error {
			_, err := engineDriver.Call(t.Context(), cicadapitch.Call{Endpoint: e}, nil)
			return err
		}},
		"service": {`{"Output":"x","Tokens":1}`, "}", cicadapitch.OutcomeUnknown, func(t *testing.T, e cicadapitch.Endpoint) error {
			_, err := serviceDriver.Call(t.Context(), cicadapitch.Call{Endpoint: e}, nil)
			return err
		}},
		"load": {`{"Running":1}`, "}", cicadapitch.Unavailable, func(t *testing.T, e cicadapitch.Endpoint) error {
			_, err := engineDriver.Load(t.Context(), e)
			return err
		}},
		"order": {"", "", cicadapitch.OutcomeUnknown, func(t *testing.T, e cicadapitch.Endpoint) error {
			return engineDriver.Order(t.Context(), e, cicadapitch.EndpointOrder{})
		}},
	} {
		for _, before := range []string{"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
			for framing, head := range map[string]string{
				"length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(c.body), c.body),
				"chunks": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(c.body), c.body),
			} {
				if c.body == "" && framing == "chunks" {
					continue
				}
				answer := before + "HTTP/1.1 200 OK\r\n" + head
				end := len(answer)
				if c.last != "" {
					end = strings.LastIndex(answer, c.last) + len(c.last)
				}
				for _, kept := range []bool{false, true} {
					for _, reset := range []bool{false, true} {
						t.Run(fmt.Sprintf("%s, %s, informational %t, kept %t, reset %t", name, framing, before != "", kept, reset), func(t *testing.T) {
							requireCutsFail(t, &cutServer{answer: answer, kept: kept, reset: reset}, end, c.want, c.call)
						})
					}
				}
			}
		}
	}
}

var engineDriver, serviceDriver cicadapitch.Driver = driver.NewEngine(), driver.NewService()

// requireCutsFail requires that calls fail with a kind while the answer lacks one of its first end
// bytes.
func requireCutsFail(t *testing.T, like *cutServer, end int, want cicadapitch.Kind, call func(*testing.T, cicadapitch.Endpoint) error) {
	s := newCutServer(t)
	e := cicadapitch.Endpoint{ID: "e1", Address: s.address}
	for n := range end {
		if n == 0 && like.kept && want == cicadapitch.Unavailable {
			continue // net/http asks again for a report of which not one byte came
		}
		s.mu.Lock()
		s.answer, s.n, s.kept, s.reset = like.answer, n, like.kept, like.reset
		s.mu.Unlock()
		if like.kept {
			require.NoError(t, call(t, e))
		}
		require.Equal(t, want, cicadapitch.KindOf(call(t, e)), "%q", like.answer[:n])
	}
}
