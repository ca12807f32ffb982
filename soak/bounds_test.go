package soak_test

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

const (
	// badPart is the part of prompts that crashes engines for badDowntime. Requests to
	// badPath, which the callers send to the route of streams that may not be resumed, have
	// it; one request in badShare is one.
	badPart     = "bad"
	badDowntime = 400 * time.Millisecond
	badPath     = "/bad"
	badShare    = 12
	// badBody is the body of the plain request that crashes endpoints. Callers repeat it at
	// badRequestPath, as often as requests to badPath.
	badBody        = "the request that crashes"
	badRequestPath = "/bad-request"
	// contactTime is the time without disturbance after which the bounds hold: maxBadLate
	// requests with badPart reach engines after five have crashed, as many with badBody plain
	// endpoints after three have, and an endpoint with a
	// rate limit gets in limitWindow limitFactor times what it allows and limitExtra more.
	contactTime = 3 * time.Second
	maxBadLate  = 3
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// requireBounds sends requests to all hosts, which have recovered, while an engine names a
// rate limit and some requests have a part that crashes engines, and checks the bounds.
func (s *testbed) requireBounds(results *resultLog, seed uint64) {
	const limit = 1
	crashes := map[string]int{}
	for _, e := range s.endpoints {
		crashes[e.Service] += len(e.Crashes())
	}
	time.Sleep(contactTime)
	limited := s.endpoints[slices.IndexFunc(s.endpoints, func(e *platformtest.Endpoint) bool { return e.Service == "engine" })]
	limited.SetRateLimit(limit)
	start := time.Now()
	var wg sync.WaitGroup
	for i, p := range s.processes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &caller{testbed: s, results: results, rng: rand.New(rand.NewPCG(seed, uint64(1000+i)))}
			for time.Since(start) < contactTime+limitWindow {
				c.sendTo(p, "/plan/a")
				c.sendTo(p, badPath)
				c.sendTo(p, badRequestPath)
			}
		}()
	}
	wg.Wait()
	limited.SetRateLimit(-1)
	latePart, lateBody := 0, 0
	for _, e := range s.endpoints {
		latePart += countAfter(e.PartArrivals(badPart), start)
		lateBody += countAfter(e.BodyArrivals(badBody), start)
	}
	if n := crashes["engine"]; n >= 5 {
		require.LessOrEqual(s.t, latePart, maxBadLate, "requests with a part that has crashed %d endpoints", n)
	}
	if n := crashes["plain"]; n >= 3 {
		require.LessOrEqual(s.t, lateBody, maxBadLate, "repeats of a request that has crashed %d endpoints", n)
	}
	allowed := int(limitFactor*limitWindow.Seconds()*limit) + limitExtra
	require.LessOrEqual(s.t, countAfter(limited.Arrivals(), start.Add(contactTime)), allowed, "calls of %s with a limit of %d a second", limited.ID, limit)
	s.t.Logf("crashes of endpoints: %v", crashes)
}

// countAfter counts the times after t.
func countAfter(times []time.Time, t time.Time) int {
	n := 0
	for _, at := range times {
		if at.After(t) {
			n++
		}
	}
	return n
}
