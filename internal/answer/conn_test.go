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

// early is an answer without length or chunks that a server sends before it has read the request.
type early struct {
	// delay is the time until what follows: a reset, an orderly end with a reset later, or the reading of the request.
	delay               time.Duration
	ends, resets, reads bool
}

// send sends the answer.
func (e early) send(c *net.TCPConn, r *http.Request) {
	io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
	time.Sleep(e.delay)
	if e.ends {
		c.CloseWrite()
		time.Sleep(5 * time.Millisecond)
	}
	if e.reads {
		io.Copy(io.Discard, r.Body)
	}
	if e.resets {
		c.SetLinger(0)
	}
}

// TestEndOfAnAnswerToAnUnreadRequest guards against a part of an answer that is taken for the whole, and against whole
// ones that are refused.
func TestEndOfAnAnswerToAnUnreadRequest(t *testing.T) {
	upload := strings.Repeat("x", 16<<20)
	for name, c := range map[string]struct {
		early
		whole bool
	}{
		"reset at once":          {early{resets: true}, false},
		"reset after 1 ms":       {early{delay: time.Millisecond, resets: true}, false},
		"reset after 30 ms":      {early{delay: 30 * time.Millisecond, resets: true}, false},
		"reset after the end":    {early{ends: true, resets: true}, false},
		"ended, then read":       {early{ends: true, reads: true}, true},
		"read, then ended":       {early{reads: true}, true},
		"read later, then ended": {early{delay: 30 * time.Millisecond, reads: true}, true},
		"ended later, then read": {early{delay: 30 * time.Millisecond, ends: true, reads: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			url := startServer(t, func(conn *net.TCPConn, r *http.Request) bool {
				c.send(conn, r)
				return false
			})
			client, whole := newClient(t), 0
			const runs = 20
			for range runs {
				r, err := client.Post(url, "text/plain", strings.NewReader(upload))
				if err != nil {
					continue
				}
				b, err := io.ReadAll(r.Body)
				r.Body.Close()
				if err == nil {
					require.Equal(t, "part", string(b))
					whole++
				}
			}
			if c.whole {
				require.Equal(t, runs, whole, "sound answers")
			} else {
				require.Zero(t, whole, "of %d answers that broke off look whole", runs)
			}
		})
	}
}

// TestUnreadRequestDoesNotKeepAClientWaiting covers a server that ends its answer and never reads the request: the call
// ends with its context.
func TestUnreadRequestDoesNotKeepAClientWaiting(t *testing.T) {
	stop := make(chan struct{})
	defer close(stop)
	url := startServer(t, func(c *net.TCPConn, r *http.Request) bool {
		early{ends: true}.send(c, r)
		<-stop
		return false
	})
	client := newClient(t)
	client.Timeout = 300 * time.Millisecond
	start := time.Now()
	r, err := client.Post(url, "text/plain", strings.NewReader(strings.Repeat("x", 16<<20)))
	if err == nil {
		_, err = io.ReadAll(r.Body)
		r.Body.Close()
	}
	require.Error(t, err)
	require.Less(t, time.Since(start), 2*time.Second)
}
