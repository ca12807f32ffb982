package rig

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

func (s *Store) get(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	return http.StatusOK, it
}

func (s *Store) list(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items, more := []item{}, false
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if more = len(items) == pageItems; more {
			break
		}
		items = append(items, s.items[key])
	}
	return http.StatusOK, map[string]any{"items": items, "has_more": more, "current_rev": s.revision}
}

func (s *Store) watch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		return http.StatusBadRequest, struct{}{}
	}
	timeout := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timeout.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return http.StatusServiceUnavailable, struct{}{}
		}
		if after > s.revision {
			s.mu.Unlock()
			return http.StatusGone, struct{}{}
		}
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			return http.StatusOK, map[string]any{"events": events, "current_rev": at}
		}
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return http.StatusServiceUnavailable, struct{}{}
		}
	}
}

// wireCommit is the body of a commit.
type wireCommit struct {
	Expect []item   `json:"expected_revision"`
	Set    []item   `json:"set_keys"`
	Remove []string `json:"remove"`
}

func (s *Store) commit(r *http.Request) (int, any) {
	var c wireCommit
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range c.Expect {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, it := range c.Set {
		if _, ok := s.leases[it.Lease]; it.Lease != 0 && !ok {
			return http.StatusNotFound, struct{}{}
		}
	}
	s.revision++
	for _, it := range c.Set {
		s.set(it.Key, it.Value, it.Lease)
	}
	for _, key := range c.Remove {
		s.remove(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) grant(r *http.Request) (int, any) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, struct{}{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	ttl := time.Duration(body.TTL) * time.Millisecond
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTL}
}

// leaseID returns the lease that a request names, or 0.
func leaseID(r *http.Request) int64 {
	id, err := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if err != nil {
		return 0
	}
	return id
}

func (s *Store) renew(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseID(r)
	l, ok := s.leases[id]
	if !ok {
		return http.StatusNotFound, struct{}{}
	}
	s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
	return http.StatusOK, map[string]any{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
}

func (s *Store) end(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := leaseID(r)
	if _, ok := s.leases[id]; !ok {
		return http.StatusNotFound, struct{}{}
	}
	s.endLease(id)
	return http.StatusOK, struct{}{}
}
