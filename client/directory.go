package client

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/entry"
)

const (
	directoryTimeout  = 2 * time.Second
	maxDirectoryBytes = 1 << 20
	// minTTLMillis keeps a client from asking before each request.
	minTTLMillis cicadapitch.Millis = 100
)

// directory keeps the last answer of a host to the question which hosts to
// use.
type directory struct {
	c     *Client
	seeds []string

	mu      sync.Mutex
	known   bool
	hosts   []string
	once    []cicadapitch.PipelineID
	tokens  []cicadapitch.Token
	expires cicadapitch.Instant
	// asking is closed when the question that is under way has an answer.
	asking chan struct{}
}

func newDirectory(c *Client, seeds []string) *directory {
	return &directory{c: c, seeds: slices.Clone(seeds)}
}

// list returns the base URLs of the hosts, the nearest first.
func (d *directory) list(ctx context.Context) ([]string, error) {
	if err := d.refresh(ctx, false); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.hosts), nil
}

// needsToken reports whether requests of a pipeline need a token.
func (d *directory) needsToken(p cicadapitch.PipelineID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Contains(d.once, p)
}

// token takes a token out of the batch, after asking for more where none is
// left.
func (d *directory) token(ctx context.Context) (cicadapitch.Token, error) {
	for range 2 {
		if t, ok := d.take(); ok {
			return t, nil
		}
		if err := d.refresh(ctx, true); err != nil {
			return "", err
		}
	}
	return "", cicadapitch.NewNotRun("no host gave a token", cicadapitch.Second)
}

func (d *directory) take() (cicadapitch.Token, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tokens) == 0 || d.c.clock.Now() >= d.expires {
		return "", false
	}
	t := d.tokens[0]
	d.tokens = d.tokens[1:]
	return t, true
}

// forget makes the next question go out at once and drops the tokens, which may
// be those of a host that has gone.
func (d *directory) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = 0
	d.tokens = nil
}

// refresh asks again where the answer has expired or where it must. Callers at
// the same moment share one question.
func (d *directory) refresh(ctx context.Context, must bool) error {
	d.mu.Lock()
	if !must && d.known && d.c.clock.Now() < d.expires {
		d.mu.Unlock()
		return nil
	}
	if asking := d.asking; asking != nil {
		d.mu.Unlock()
		return d.join(ctx, asking)
	}
	asking := make(chan struct{})
	d.asking = asking
	targets := append(slices.Clone(d.hosts), d.seeds...)
	d.mu.Unlock()
	answer, err := d.ask(ctx, targets)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.asking = nil
	close(asking)
	if err != nil {
		return d.stale(err)
	}
	d.set(answer)
	return nil
}

func (d *directory) join(ctx context.Context, asking chan struct{}) error {
	select {
	case <-asking:
	case <-ctx.Done():
		return cicadapitch.NewNotRun("no host told in time which hosts to use", cicadapitch.Second)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stale(cicadapitch.NewNotRun("no host tells which hosts to use", cicadapitch.Second))
}

// stale returns err unless an older answer is there to be used.
func (d *directory) stale(err error) error {
	if d.known {
		return nil
	}
	return err
}

func (d *directory) set(a entry.DirectoryAnswer) {
	d.known = true
	d.hosts = d.hosts[:0:0]
	for _, h := range a.Hosts {
		d.hosts = append(d.hosts, h.URL)
	}
	d.once = a.Once
	d.tokens = a.Tokens
	d.expires = d.c.clock.Now().Add(max(a.TTL, minTTLMillis))
}

func (d *directory) ask(ctx context.Context, targets []string) (entry.DirectoryAnswer, error) {
	for _, t := range targets {
		a, err := d.askOne(ctx, t)
		if err == nil && len(a.Hosts) > 0 {
			return a, nil
		}
		if e := cicadapitch.AsError(err); e != nil && e.Kind == cicadapitch.Denied {
			return entry.DirectoryAnswer{}, err
		}
	}
	return entry.DirectoryAnswer{}, cicadapitch.NewNotRun("no host tells which hosts to use", cicadapitch.Second)
}

func (d *directory) askOne(ctx context.Context, base string) (entry.DirectoryAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	var a entry.DirectoryAnswer
	u := base + "/v1/directory?Zone=" + url.QueryEscape(string(d.c.zone))
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return a, cicadapitch.Wrap(err)
	}
	d.c.authorize(r)
	res, err := d.c.http.Do(r)
	if err != nil {
		return a, cicadapitch.Wrap(err)
	}
	defer res.Body.Close()
	body := io.LimitReader(res.Body, maxDirectoryBytes)
	if res.StatusCode != http.StatusOK {
		return a, readError(body).err
	}
	return a, cicadapitch.Wrap(json.NewDecoder(body).Decode(&a))
}
