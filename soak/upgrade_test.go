package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

const (
	// earlierBuild is the commit of the build that runs when the upgrade begins.
	earlierBuild = "66372d0"
	// upgradeHosts is a fleet in which not all hosts watch the store.
	upgradeHosts = 18
	upgradeGap   = 700 * time.Millisecond
	// maxLeaving is the time after its word from which an endpoint must get no request.
	maxLeaving = 2 * time.Second
)

// buildEarlier builds the host program of earlierBuild from the repository's history.
func buildEarlier(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	run := func(in, name string, args ...string) {
		cmd := exec.Command(name, args...)
		cmd.Dir = in
		out, err := cmd.CombinedOutput()
		require.NoError(t, err, string(out))
	}
	archive := filepath.Join(dir, "source.tar")
	run("..", "git", "archive", "--output", archive, earlierBuild)
	run(dir, "tar", "xf", archive)
	program := filepath.Join(dir, "earlier")
	run(dir, "go", "build", "-o", program, "./soak/soakhost")
	return program
}

// upgrade is a fleet that is upgraded, and its callers.
type upgrade struct {
	t         *testing.T
	store     *platformtest.Store
	hosts     []*hostProcess
	mu        sync.Mutex
	endpoints []*platformtest.Endpoint
	leftAt    map[*platformtest.Endpoint]time.Time
	// statuses holds the status of each booking by its id, 0 for a broken one.
	statuses      map[string]int
	asked, served int
}

func (u *upgrade) addEndpoint() {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := platformtest.NewEndpoint(fmt.Sprintf("p%d", len(u.endpoints)), "plain")
	u.t.Cleanup(e.Close)
	u.endpoints = append(u.endpoints, e)
	u.store.Set(platformtest.EndpointKey(e.ID), e.Entry("ready"))
}

// leave makes an endpoint leave: every third does not say so before its entry goes.
func (u *upgrade) leave(i int) {
	u.mu.Lock()
	e := u.endpoints[i]
	if i%3 != 0 {
		u.store.Set(platformtest.EndpointKey(e.ID), e.Entry("draining"))
		time.AfterFunc(maxLeaving, func() { u.store.Remove(platformtest.EndpointKey(e.ID)) })
	} else {
		u.store.Remove(platformtest.EndpointKey(e.ID))
	}
	u.leftAt[e] = time.Now()
	u.mu.Unlock()
	u.addEndpoint()
}

// call sends bookings and look-ups to a host until ctx ends.
func (u *upgrade) call(ctx context.Context, h *hostProcess, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(100 * time.Millisecond)
		id := fmt.Sprintf("r-%d-%d", i, n)
		req := platformtest.CallerRequest{
			ID: id, Method: http.MethodGet, Address: h.ip + ":8001", Path: "/look/a", Host: "h.example", Key: "key-1", Deadline: 2000,
		}
		if n%2 == 0 {
			req.Method, req.Path, req.Body = http.MethodPost, "/book/a", strings.NewReader("x")
		}
		r, err := req.HTTPRequest()
		if err != nil {
			panic(err) // the request is fixed
		}
		resp, err := http.DefaultClient.Do(r)
		status := 0
		if err == nil {
			status = resp.StatusCode
			resp.Body.Close()
		}
		u.mu.Lock()
		u.statuses[id] = status
		if err == nil {
			u.asked++
		}
		if status == http.StatusOK {
			u.served++
		}
		u.mu.Unlock()
	}
}

// TestUpgradeOneHostAfterTheOther upgrades the hosts of a fleet from an earlier build one after the
// other, while endpoints leave, with and without a word, and the configuration changes.
func TestUpgradeOneHostAfterTheOther(t *testing.T) {
	earlier := buildEarlier(t)
	u := &upgrade{t: t, store: platformtest.NewStore(), leftAt: map[*platformtest.Endpoint]time.Time{}, statuses: map[string]int{}}
	t.Cleanup(u.store.Close)
	for range 10 {
		u.addEndpoint()
	}
	version := 1
	u.store.Set(platformtest.ConfigKey, platformtest.Config(version, "", 50))
	for i := range upgradeHosts {
		p := newHostProcess(t, platformtest.LoopbackAddress(252, i+1), i, u.store.Address())
		p.setProgram(earlier)
		u.hosts = append(u.hosts, p)
		p.start()
	}
	for _, p := range u.hosts {
		p.waitReady(30 * time.Second)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i, p := range u.hosts {
		callers.Go(func() { u.call(ctx, p, i) })
	}
	time.Sleep(2 * time.Second)
	for i, p := range u.hosts {
		p.setProgram(binary)
		p.signal(syscall.SIGTERM)
		u.leave(i)
		if i%4 == 1 {
			version += 2
			u.store.Set(platformtest.ConfigKey, platformtest.Config(version, platformtest.Route(addedPrefix(version)), 50))
		}
		time.Sleep(upgradeGap)
	}
	time.Sleep(5 * time.Second)
	cancel()
	callers.Wait()
	for _, p := range u.hosts {
		p.waitReady(5 * time.Second)
		require.Eventually(t, func() bool { return u.hasRoute(p, addedPrefix(version)) }, 3*time.Second, 50*time.Millisecond, p.name)
	}
	u.check()
}

// hasRoute reports whether a host routes a prefix.
func (u *upgrade) hasRoute(p *hostProcess, prefix string) bool {
	r, err := platformtest.CallerRequest{ID: fmt.Sprint(time.Now().UnixNano()), Method: http.MethodGet, Address: p.ip + ":8001", Path: prefix, Host: "h.example", Key: "key-1", Deadline: 2000}.HTTPRequest()
	if err != nil {
		panic(err) // the request is fixed
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// check checks what endpoints and callers have seen.
func (u *upgrade) check() {
	runs := map[string]int{}
	for _, e := range u.endpoints {
		for id, n := range e.RunCounts() {
			runs[id] += n
		}
		at, left := u.leftAt[e]
		if arrivals := e.Arrivals(); left && len(arrivals) > 0 {
			require.LessOrEqual(u.t, arrivals[len(arrivals)-1].Sub(at), maxLeaving, "last request at %s after its word", e.ID)
		}
	}
	for id, status := range u.statuses {
		var host, n int
		_, err := fmt.Sscanf(id, "r-%d-%d", &host, &n)
		require.NoError(u.t, err)
		if n%2 > 0 {
			continue
		}
		require.LessOrEqual(u.t, runs[id], 1, "booking %s ran twice", id)
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			require.Zero(u.t, runs[id], "booking %s ran, its caller was told that it did not", id)
		}
	}
	u.t.Logf("%d answers, %d served", u.asked, u.served)
	require.GreaterOrEqual(u.t, float64(u.served)/float64(u.asked), 0.95)
}
