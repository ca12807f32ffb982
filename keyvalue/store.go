package keyvalue

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"cicadapitch.example/cicadapitch"
)

// Keep-alive probes find a silent connection within
// keepAliveIdle + keepAliveCount*keepAliveInterval.
const (
	keepAliveIdle     = 3 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
)

// MaxAnswerBytes bounds one answer of a platform service.
const MaxAnswerBytes = 16 << 20

// Store is a client of the key-value service.
type Store struct {
	base     []string
	turn     atomic.Uint32
	client   *http.Client
	opts     options
	counters counters
}

var _ cicadapitch.Store = (*Store)(nil)

// NewStore returns a client of the service at any of the base URLs, such as
// http://10.0.0.1:2379. It moves on to the next one after a failure.
func NewStore(baseURLs []string, opts ...Option) *Store {
	return &Store{base: baseURLs, client: newClient(), opts: newOptions(opts)}
}

// Calls returns the counts of calls so far.
func (s *Store) Calls() Calls { return s.counters.snapshot() }

// newClient returns a client that neither uses a proxy nor follows redirects.
func newClient() *http.Client {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	t := &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, MaxConnsPerHost: 16}
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// moveOn uses the next base URL and new connections for the calls to come,
// since the other open connections may have gone silent as well.
func (s *Store) moveOn() {
	s.turn.Add(1)
	s.client.CloseIdleConnections()
}

func (s *Store) url(path string) string {
	return s.base[int(s.turn.Load())%len(s.base)] + path
}

// spend takes one call from a budget.
func (s *Store) spend(l *rate.Limiter) error {
	if l.Allow() {
		return nil
	}
	s.counters.overBudget.Add(1)
	e := cicadapitch.NewError(cicadapitch.Unavailable, "this host's budget of store calls is spent", "call less often")
	e.RetryAfter = cicadapitch.Second
	return e
}
