package keyvalue

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/keyvalue/etcd"
)

// effect says whether a call writes, which decides what a lost answer means.
type effect bool

const (
	reads  effect = false
	writes effect = true
)

// lost returns the error of a call that was sent and whose answer did not come.
func (e effect) lost(reason string) error {
	if e == writes {
		return cicadapitch.NewOutcomeUnknown("store: " + reason)
	}
	return cicadapitch.NewError(cicadapitch.Unavailable, "store: "+reason, "try again later")
}

// exchange sends one call and decodes its answer.
func exchange[A any](ctx context.Context, s *Store, e effect, path string, q any) (A, error) {
	var a A
	ctx, cancel := context.WithTimeout(ctx, s.opts.timeout.Duration())
	defer cancel()
	r, err := s.send(ctx, e, path, q)
	if err != nil {
		return a, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, MaxAnswerBytes+1))
	if err != nil || len(b) > MaxAnswerBytes {
		s.moveOn()
		return a, s.failed(e.lost("the answer broke off or is too large"))
	}
	if err := json.Unmarshal(b, &a); err != nil {
		return a, s.failed(e.lost("the answer is not the JSON of the API"))
	}
	return a, nil
}

// send sends one call and returns an answer of status 200.
func (s *Store) send(ctx context.Context, e effect, path string, q any) (*http.Response, error) {
	if err := s.charge(e, path); err != nil {
		return nil, err
	}
	b, err := json.Marshal(q)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	// The wrapped reader hides GetBody, so the transport never sends it twice.
	body := io.NopCloser(bytes.NewReader(b))
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.url(path), body)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	r.ContentLength = int64(len(b))
	r.Header.Set("Content-Type", "application/json")
	w, err := s.client.Do(r)
	if err != nil {
		s.moveOn()
		return nil, s.failed(classify(e, err))
	}
	if w.StatusCode != http.StatusOK {
		defer w.Body.Close()
		if w.StatusCode >= http.StatusInternalServerError {
			s.moveOn()
		}
		return nil, s.failed(refusal(e, w))
	}
	return w, nil
}

func (s *Store) charge(e effect, path string) error {
	limit, count := s.opts.reads, &s.counters.reads
	if e == writes {
		limit, count = s.opts.writes, &s.counters.writes
	}
	if path == etcd.PathWatch {
		count = &s.counters.watches
	}
	if err := s.spend(limit); err != nil {
		return err
	}
	count.Add(1)
	return nil
}

func (s *Store) failed(err error) error {
	s.counters.failed.Add(1)
	return err
}

// classify tells a connection that was never made from an answer that was lost.
func classify(e effect, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return cicadapitch.NewError(cicadapitch.Unavailable, "store: no connection: "+op.Error(), "try again once the store is back")
	}
	return e.lost(err.Error())
}

// refusal maps an answer with an error status.
func refusal(e effect, w *http.Response) error {
	var body etcd.Error
	_ = json.NewDecoder(io.LimitReader(w.Body, 64<<10)).Decode(&body)
	switch {
	case w.StatusCode == http.StatusTooManyRequests || body.Code == etcd.CodeResourceExhausted:
		err := cicadapitch.NewError(cicadapitch.Unavailable, "the store refused the call by its rate limit", "call less often")
		err.RetryAfter = cicadapitch.Second
		return err
	case body.Code == etcd.CodeUnavailable && body.Message == etcd.MessageNoLeader:
		return cicadapitch.NewError(cicadapitch.Unavailable, "the store is down", "try again once it is back")
	case body.Code == etcd.CodeNotFound:
		return cicadapitch.NewError(cicadapitch.NotFound, "store: "+body.Message, "grant a new lease")
	case body.Code == etcd.CodeInvalidArgument:
		return cicadapitch.NewError(cicadapitch.Invalid, "store: "+body.Message, "report this as a fault")
	}
	return e.lost("answered " + w.Status + " " + body.Message)
}
