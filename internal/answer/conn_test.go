package answer_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/internal/answer"
)

// startServer starts a TCP server that calls answer with each request, whose body it has not read, and closes the
// connection when answer returns false.
func startServer(t *testing.T, answer func(c *net.TCPConn, r *http.Request) bool) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil || !answer(c.(*net.TCPConn), r) {
						return
					}
				}
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// newClient returns a client with checked connections.
func newClient(t *testing.T) *http.Client {
	transport := answer.NewTransport()
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 5 * time.Second}
}

// TestTransportRefusesInvalidHeads sends each request on a connection that has carried an answer.
func TestTransportRefusesInvalidHeads(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			url := startServer(t, func(c *net.TCPConn, r *http.Request) bool {
				io.Copy(io.Discard, r.Body)
				if r.URL.Path == "/sound" {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
					return true
				}
				io.WriteString(c, head+"\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil")
				return false
			})
			client := newClient(t)
			for _, path := range []string{"/sound", "/sound", "/odd"} {
				r, err := client.Post(url+path, "text/plain", strings.NewReader("body"))
				if path == "/sound" {
					require.NoError(t, err)
					b, err := io.ReadAll(r.Body)
					r.Body.Close()
					require.NoError(t, err)
					require.Equal(t, "ok", string(b))
					continue
				}
				if err == nil {
					r.Body.Close()
				}
				var invalid *answer.HeadError
				require.ErrorAs(t, err, &invalid)
			}
		})
	}
}

// TestTransportPassesWhatIsNotChecked covers TLS, requests in chunks and other protocols.
func TestTransportPassesWhatIsNotChecked(t *testing.T) {
	echo := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Upgrade") == "" {
			io.Copy(w, r.Body)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		io.WriteString(c, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: raw\r\n\r\n\x00no: HTTP\r\n\r\n")
		io.Copy(c, c)
	})
	plain, secure := httptest.NewServer(echo), httptest.NewTLSServer(echo)
	defer plain.Close()
	defer secure.Close()
	for name, c := range map[string]struct {
		url  string
		body io.Reader
	}{
		"length": {plain.URL, strings.NewReader("body")},
		"chunks": {plain.URL, io.MultiReader(strings.NewReader("bo"), strings.NewReader("dy"))},
		"TLS":    {secure.URL, strings.NewReader("body")},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t)
			client.Transport.(*http.Transport).TLSClientConfig = secure.Client().Transport.(*http.Transport).TLSClientConfig
			for range 3 {
				r, err := client.Post(c.url, "text/plain", c.body)
				require.NoError(t, err)
				b, err := io.ReadAll(r.Body)
				require.NoError(t, err)
				r.Body.Close()
				require.Equal(t, "body", string(b))
				c.body = strings.NewReader("body")
			}
		})
	}
	r, err := http.NewRequest(http.MethodGet, plain.URL, nil)
	require.NoError(t, err)
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", "raw")
	resp, err := newClient(t).Transport.RoundTrip(r)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusSwitchingProtocols, resp.StatusCode)
	_, err = io.WriteString(resp.Body.(io.Writer), "\x01\r\n\r\nmore")
	require.NoError(t, err)
	want := "\x00no: HTTP\r\n\r\n\x01\r\n\r\nmore"
	b := make([]byte, len(want))
	_, err = io.ReadFull(resp.Body, b)
	require.NoError(t, err)
	require.Equal(t, want, string(b))
}
