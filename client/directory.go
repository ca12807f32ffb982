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
	// minTTLMillis bounds the refresh rate if a host sends a TTL near 0.
	minTTLMillis cicadapitch.Millis = 100
)

// directory caches the host list and the tokens that a host returned. It is
// safe for concurrent use.
type directory struct {
	c     *Client
	seeds []string

	mu sync.Mutex
	// loaded is true once a host list has been received.
	loaded bool
	// hosts are base URLs, the nearest first.
	hosts []string
	// tokenPipelines are the pipelines whose requests need a token.
	tokenPipelines []cicadapitch.PipelineID
	tokens         []cicadapitch.Token
	expires        cicadapitch.Instant
	// refreshing is closed when the refresh in progress ends; nil without one.
	refreshing chan struct{}
}

func newDirectory(c *Client, seeds []string) *directory {
	return &directory{c: c, seeds: slices.Clone(seeds)}
}

// list returns the base URLs of the hosts, the nearest first. It fails if
// ctx ends first, or if no host list has ever been received.
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
	return slices.Contains(d.tokenPipelines, p)
}

// token returns an unused token. It fetches a new batch if none is left.
func (d *directory) token(ctx context.Context) (cicadapitch.Token, error) {
	for range 2 {
		if t, ok := d.takeToken(); ok {
			return t, nil
		}
		if err := d.refresh(ctx, true); err != nil {
			return "", err
		}
	}
	return "", cicadapitch.NewNotRun("no host gave a token", cicadapitch.Second)
}

// takeToken returns the next token of the batch, or false if the batch is empty
// or has expired.
func (d *directory) takeToken() (cicadapitch.Token, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.tokens) == 0 || d.c.clock.Now() >= d.expires {
		return "", false
	}
	t := d.tokens[0]
	d.tokens = d.tokens[1:]
	return t, true
}

// invalidate forces a refresh at the next call and drops the tokens, since the
// host that minted them may be unreachable.
func (d *directory) invalidate() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = 0
	d.tokens = nil
}

// refresh fetches the directory if it has expired or force is true. Concurrent
// callers share one fetch.
func (d *directory) refresh(ctx context.Context, force bool) error {
	d.mu.Lock()
	if !force && d.loaded && d.c.clock.Now() < d.expires {
		d.mu.Unlock()
		return nil
	}
	if refreshing := d.refreshing; refreshing != nil {
		d.mu.Unlock()
		return d.waitForRefresh(ctx, refreshing)
	}
	refreshing := make(chan struct{})
	d.refreshing = refreshing
	targets := append(slices.Clone(d.hosts), d.seeds...)
	d.mu.Unlock()
	answer, err := d.fetch(ctx, targets)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refreshing = nil
	close(refreshing)
	if err != nil {
		return d.errUnlessLoaded(err)
	}
	d.update(answer)
	return nil
}

// waitForRefresh waits for a refresh that another caller has started.
func (d *directory) waitForRefresh(ctx context.Context, refreshing chan struct{}) error {
	select {
	case <-refreshing:
	case <-ctx.Done():
		return cicadapitch.NewNotRun("no host told in time which hosts to use", cicadapitch.Second)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.errUnlessLoaded(cicadapitch.NewNotRun("no host tells which hosts to use", cicadapitch.Second))
}

// errUnlessLoaded returns nil if an older host list can be used, otherwise err.
func (d *directory) errUnlessLoaded(err error) error {
	if d.loaded {
		return nil
	}
	return err
}

// update replaces the cached directory.
func (d *directory) update(a entry.DirectoryAnswer) {
	d.loaded = true
	d.hosts = d.hosts[:0:0]
	for _, h := range a.Hosts {
		d.hosts = append(d.hosts, h.URL)
	}
	d.tokenPipelines = a.Once
	d.tokens = a.Tokens
	d.expires = d.c.clock.Now().Add(max(a.TTL, minTTLMillis))
}

// fetch returns the directory of the first target that sends one with hosts. It
// stops early if a target rejects the customer's key.
func (d *directory) fetch(ctx context.Context, targets []string) (entry.DirectoryAnswer, error) {
	for _, t := range targets {
		a, err := d.fetchFrom(ctx, t)
		if err == nil && len(a.Hosts) > 0 {
			return a, nil
		}
		if e := cicadapitch.AsError(err); e != nil && e.Kind == cicadapitch.Denied {
			return entry.DirectoryAnswer{}, err
		}
	}
	return entry.DirectoryAnswer{}, cicadapitch.NewNotRun("no host tells which hosts to use", cicadapitch.Second)
}

// fetchFrom requests the directory from one host.
func (d *directory) fetchFrom(ctx context.Context, base string) (entry.DirectoryAnswer, error) {
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
