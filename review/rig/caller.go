package rig

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// deadlineMillis is how long callers wait.
const deadlineMillis = 2500

// Answer is what a caller got. Err is set if there was no whole answer.
type Answer struct {
	ID     string
	Status int
	Body   string
	Header http.Header
	SentAt time.Time
	Err    error
}

// String describes the answer in a record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("status %d, error %v", a.Status, a.Err)
	}
	return fmt.Sprintf("status %d, %d bytes", a.Status, len(a.Body))
}

// LastEvent returns the id of the last whole event of a stream, or empty.
func (a Answer) LastEvent() string {
	whole, _, _ := cutLast(a.Body, "\n\n")
	_, last, ok := cutLast("\n"+whole, "\nid: ")
	if !ok {
		return ""
	}
	id, _, _ := strings.Cut(last, "\n")
	return id
}

// cutLast is strings.Cut at the last separator.
func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return "", s, false
	}
	return s[:i], s[i+len(sep):], true
}

// Caller sends requests to one host over connections that it keeps.
type Caller struct {
	host   *Host
	key    string
	client *http.Client
	// Body is the body of the requests, or empty.
	Body string
}

// lastID numbers the requests of all callers.
var lastID atomic.Int64

// NewCaller returns a caller of a host with a key.
func NewCaller(h *Host, key string) *Caller {
	return &Caller{host: h, key: key, client: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 16, DisableCompression: true,
	}}}
}

// Send sends a request to a path and reads the answer.
func (c *Caller) Send(method, path string, header map[string]string) Answer {
	return c.SendFor(deadlineMillis*time.Millisecond, method, path, header)
}

// SendFor is Send by a caller that leaves after a time.
func (c *Caller) SendFor(patience time.Duration, method, path string, header map[string]string) Answer {
	a := Answer{ID: fmt.Sprintf("%016x", lastID.Add(1)), SentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.host.Callers+path, strings.NewReader(c.Body))
	if err != nil {
		a.Err = err
		return a
	}
	r.Host = "h.example"
	r.Header.Set("Cicadapitch-Request-Id", a.ID)
	r.Header.Set("Cicadapitch-Deadline-Ms", strconv.Itoa(deadlineMillis))
	r.Header.Set("Authorization", "Bearer "+c.key)
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := c.client.Do(r)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.Status, a.Header, a.Body, a.Err = resp.StatusCode, resp.Header, string(b), err
	return a
}
