package bed3

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// Key is the API key that the configurations of the cases hold.
const Key = "key-1"

// NewID returns a new id of a requester attempt.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Resolve asks the directory of a host for the addresses of hosts.
func (h *Host) Resolve(zone string) ([]string, error) {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get(platformtest.DirectoryURL(h.IP+":8003", "h.example", zone))
	if err != nil {
		return nil, err
	}
	defer func() { _ = r.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(r.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Addresses) == 0 {
		return nil, errors.New("the directory names no host")
	}
	return answer.Addresses, nil
}

// Channel is a channel of a requester to a host.
type Channel struct {
	Conn net.Conn
	// Key is the API key of the requests, or empty for none.
	Key string
	r   *bufio.Reader
}

// Dial opens a channel.
func Dial(address string) (*Channel, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Channel{c, Key, bufio.NewReader(c)}, nil
}

// Close closes the channel.
func (c *Channel) Close() { _ = c.Conn.Close() }

// Send writes a request. headers are further header lines, each with its line end.
func (c *Channel) Send(method, path, id string, deadline time.Duration, headers string, body []byte) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: h.example\r\nCicadapitch-Request-Id: %s\r\nCicadapitch-Deadline-Ms: %d\r\n%s", method, path, id, deadline.Milliseconds(), headers)
	if c.Key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", c.Key)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	if _, err := io.WriteString(c.Conn, b.String()); err != nil {
		return err
	}
	_, err := c.Conn.Write(body)
	return err
}

// ReadHead reads the head of the answer to a request.
func (c *Channel) ReadHead(method string) (*http.Response, error) {
	for {
		r, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil || r.StatusCode >= http.StatusOK {
			return r, err
		}
	}
}
