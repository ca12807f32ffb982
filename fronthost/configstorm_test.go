package fronthost_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

var (
	stormSeed  = flag.Uint64("storm.seed", 1, "the first seed of the storms of configurations")
	stormSeeds = flag.Int("storm.seeds", 2, "the number of storms of configurations")
)

const (
	stormHosts   = 3
	stormCallers = 24
	stormTime    = 3 * time.Second
	// stormMinIdle is the shortest idle timeout of a storm.
	stormMinIdle = 1000
)

// storm changes the configuration of a deployment at random while callers send requests.
type storm struct {
	d    *deployment
	seed uint64
	cfg  *platformtest.Configuration
	// stop is closed at its end.
	stop    chan struct{}
	changes map[string]int

	mu        sync.Mutex
	exchanges []platformtest.Exchange
}

// apply stores the configuration as the next version.
func (s *storm) apply() {
	s.d.version += 3
	s.cfg.Version = s.d.version
	b, err := json.Marshal(s.cfg)
	require.NoError(s.d.t, err)
	s.d.store.Set(platformtest.ConfigKey, b)
}

// change makes one change.
func (s *storm) change(rng *rand.Rand) {
	kinds := []struct {
		name  string
		apply func(*rand.Rand)
	}{
		{"timeouts", s.changeTimeouts},
		{"split", s.splitRoutes},
		{"move", s.moveRoutes},
		{"routes", s.changeRoutes},
		{"keys", s.changeKeys},
		{"limits", s.changeLimits},
	}
	kind := kinds[rng.IntN(len(kinds))]
	s.changes[kind.name]++
	kind.apply(rng)
	s.apply()
}

func (s *storm) changeTimeouts(rng *rand.Rand) {
	for i := range s.cfg.Routes {
		s.cfg.Routes[i].TimeoutMs = 4000 + rng.IntN(8000)
	}
}

func (s *storm) splitRoutes(rng *rand.Rand) {
	for _, name := range []string{"book", "look"} {
		r := s.cfg.Route(name)
		r.Service = ""
		r.TrafficSplit = []platformtest.SplitConfig{{Service: "plain", Weight: 1 + rng.IntN(10)}, {Service: "plain-2", Weight: rng.IntN(10)}}
	}
}

func (s *storm) moveRoutes(rng *rand.Rand) {
	r := s.cfg.Route([]string{"book", "look"}[rng.IntN(2)])
	r.TrafficSplit, r.Service = nil, []string{"plain", "plain-2"}[rng.IntN(2)]
}

// baseRoutes is the number of routes that no storm removes.
const baseRoutes = 4

func (s *storm) changeRoutes(rng *rand.Rand) {
	if len(s.cfg.Routes) > baseRoutes && rng.IntN(2) == 0 {
		s.cfg.Routes = s.cfg.Routes[:len(s.cfg.Routes)-1]
		return
	}
	r := *s.cfg.Route("look")
	r.Name, r.Prefix = fmt.Sprint("extra-", len(s.cfg.Routes)), fmt.Sprintf("/extra/%d/", len(s.cfg.Routes))
	s.cfg.Routes = append(s.cfg.Routes, r)
}

func (s *storm) changeKeys(rng *rand.Rand) {
	t := &s.cfg.Tenants[0]
	t.Keys = []string{"key-1"}
	for i := range 3 {
		if rng.IntN(2) == 0 {
			t.Keys = append(t.Keys, fmt.Sprint("extra-", i))
		}
	}
}

func (s *storm) changeLimits(rng *rand.Rand) {
	s.cfg.Limits = platformtest.LimitsConfig{
		HeaderBytes: 2000 + rng.IntN(8000), BodyBytes: 6000 + rng.IntN(20_000),
		HeaderTimeoutMs: 1500 + rng.IntN(3000), IdleTimeoutMs: stormMinIdle + rng.IntN(3000),
	}
}

// run changes the configuration and signals the hosts until the storm ends.
func (s *storm) run() {
	rng := rand.New(rand.NewPCG(s.seed, 0))
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(10+rng.IntN(140)) * time.Millisecond):
		}
		if rng.IntN(5) == 0 {
			s.changes["hangup"]++
			require.NoError(s.d.t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
			continue
		}
		s.change(rng)
	}
}

// call sends requests until the storm ends.
func (s *storm) call(n int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(n)+1))
	conns := map[int]*platformtest.CallerConn{}
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
		if rng.IntN(12) == 0 {
			time.Sleep(time.Duration(rng.IntN(stormMinIdle*3/4)) * time.Millisecond)
		}
		host := rng.IntN(stormHosts)
		c := conns[host]
		if c != nil && (!c.Usable(stormMinIdle*time.Millisecond) || rng.IntN(4) == 0) {
			c.Close()
			c = nil
		}
		x := platformtest.Exchange{Ending: platformtest.Refused}
		if c == nil {
			if c, x.Err = platformtest.DialCaller(s.d.hostSettings[host].CallerListen); x.Err != nil {
				s.add(x)
				continue
			}
			conns[host] = c
		}
		s.add(c.Do(s.request(rng, host), stormPieces(rng), 10*time.Second))
	}
}

func (s *storm) add(x platformtest.Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.exchanges = append(s.exchanges, x)
}

// request returns a request that each configuration of a storm allows, or one for a route or with a key
// that comes and goes.
func (s *storm) request(rng *rand.Rand, host int) platformtest.CallerRequest {
	id := newID()
	var req platformtest.CallerRequest
	switch rng.IntN(9) {
	case 0, 1, 2:
		req = s.d.newRequest(host, "GET", "/look/"+id, id)
		req.Body = nil
	case 3, 4:
		req = s.d.newRequest(host, "POST", "/book/"+id, id)
		req.Body = strings.NewReader(strings.Repeat("b", 1+rng.IntN(5000)))
	case 5:
		req = s.d.newStreamRequest(host, "/answer/"+id, id, fmt.Sprintf("%d,%d", rng.IntN(3), rng.IntN(3)))
	case 6:
		req = s.d.newStreamRequest(host, "/plan/"+id, id, "")
	case 7:
		req = s.d.newRequest(host, "GET", fmt.Sprintf("/extra/%d/", baseRoutes+rng.IntN(4)), id)
	default:
		req = s.d.newRequest(host, "GET", "/look/"+id, id)
		req.Key = fmt.Sprint("extra-", rng.IntN(3))
	}
	req.Session, req.Deadline = fmt.Sprint(rng.IntN(20)), 4000
	return req
}

// stormPieces returns how a caller sends a request.
func stormPieces(rng *rand.Rand) platformtest.Pieces {
	switch rng.IntN(5) {
	case 0:
		return platformtest.Pieces{Size: 300, Pause: time.Duration(rng.IntN(20)) * time.Millisecond}
	case 1:
		return platformtest.Pieces{Size: 1000, Pause: time.Duration(rng.IntN(40)) * time.Millisecond, Chunked: true}
	case 2:
		return platformtest.Pieces{AwaitContinue: true}
	}
	return platformtest.Pieces{}
}

// newStorm starts a deployment for a storm.
func newStorm(t *testing.T, seed uint64) *storm {
	d := newDeployment(t, stormHosts, func(d *deployment) {
		for i := range 2 {
			id := fmt.Sprint("q", i)
			d.endpoints[id] = platformtest.NewEndpoint(id, "plain-2")
			d.store.Set(platformtest.EndpointKey(id), d.endpoints[id].Entry("ready"))
		}
	})
	s := &storm{d: d, seed: seed, cfg: platformtest.NewConfiguration(0, 14), stop: make(chan struct{}), changes: map[string]int{}}
	s.cfg.AddService("plain-2")
	s.apply()
	for id, delay := range map[string]int{"p1": 5, "p2": 400, "q0": 30, "q1": 1100, "e1": 60, "e2": 200, "s1": 40} {
		d.endpoints[id].SetDelay(time.Duration(delay) * time.Millisecond)
	}
	d.endpoints["e1"].SetStall(500 * time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	return s
}

// check fails the test for each exchange that was not answered as a whole, or untruthfully.
func (s *storm) check() {
	statuses, endings := map[int]int{}, map[string]int{}
	for _, x := range s.exchanges {
		statuses[x.Status()]++
		endings[x.Ending.String()]++
		if x.Ending != platformtest.Whole {
			s.d.t.Errorf("seed %d: %s: %s %v after its last byte, reused %v: %v", s.seed, x.ID, x.Ending, x.Since, x.Reused, x.Err)
		}
		switch runs := s.d.runCount(x.ID); x.Status() {
		case http.StatusOK:
			require.True(s.d.t, platformtest.Signed(x.Response, x.ID), x.ID)
		case http.StatusServiceUnavailable, http.StatusNotFound, http.StatusUnauthorized:
			require.Zero(s.d.t, runs, "%s: %d", x.ID, x.Status())
		case 0:
		default:
			s.d.t.Errorf("seed %d: %s: status %d, runs %d, %s", s.seed, x.ID, x.Status(), runs, x.Body)
		}
	}
	s.d.t.Logf("seed %d: %d requests: %v, status %v; changes %v", s.seed, len(s.exchanges), endings, statuses, s.changes)
}

// TestCallersAreAnsweredBesideConfigurationChanges guards against whole requests that get neither an
// answer nor a refusal while configurations change and hosts get SIGHUP.
func TestCallersAreAnsweredBesideConfigurationChanges(t *testing.T) {
	// Keeps a SIGHUP that comes while no host runs from ending the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for seed := *stormSeed; seed < *stormSeed+uint64(*stormSeeds); seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newStorm(t, seed)
			var wg sync.WaitGroup
			wg.Go(s.run)
			for n := range stormCallers {
				wg.Go(func() { s.call(n) })
			}
			time.Sleep(stormTime)
			close(s.stop)
			wg.Wait()
			s.check()
		})
	}
}
