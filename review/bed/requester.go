package bed

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Request is one requester attempt.
type Request struct {
	ID, Method, Host, Path, Key, Body string
	// Header holds further headers.
	Header map[string]string
	// Deadline is how long the requester waits.
	Deadline time.Duration
}

// NewID returns a new id of a requester attempt.
func NewID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return hex.EncodeToString(b[:])
}

// Send sends a request over a new channel and returns the head of the answer. The caller closes its body.
func Send(ctx context.Context, address string, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, strings.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	req.Host = r.Host
	req.Header.Set("Cicadapitch-Request-Id", r.ID)
	req.Header.Set("Authorization", "Bearer "+r.Key)
	req.Header.Set("Cicadapitch-Deadline-Ms", strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	for k, v := range r.Header {
		req.Header.Set(k, v)
	}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	return client.Do(req)
}
