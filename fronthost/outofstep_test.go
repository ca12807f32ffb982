package fronthost_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// isolate cuts host i off from the store and, in both directions, from the other hosts. The deployment's
// paths are those to the store and other hosts.
func (d *cutDeployment) isolate(i int, kind platformtest.CutKind) {
	d.paths[i].Cut(kind)
	for j, p := range d.paths {
		if j == i {
			continue
		}
		spared := []string{d.store.Address()}
		for k, s := range d.hostSettings {
			if k != i {
				spared = append(spared, s.PeerAddress())
			}
		}
		p.Cut(kind, spared...)
	}
}

// TestStreamIsNotTakenUpAtAnotherVersionByAHostOutOfStep guards against a stream that goes on at
// another software version because the host at which it is taken up has not heard of the one that
// began it. Host 0 is cut off from the store and the other hosts while the first engine of a
// version joins; streams begin there through the other hosts, break and are taken up at host 0.
func TestStreamIsNotTakenUpAtAnotherVersionByAHostOutOfStep(t *testing.T) {
	for seed := range uint64(2) {
		for _, order := range []string{"cut, then join", "join, then cut"} {
			for kind, how := range map[platformtest.CutKind]string{platformtest.CutSilent: "silent", platformtest.CutReset: "reset"} {
				for _, named := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s, %s, named %t, seed %d", order, how, named, seed), func(t *testing.T) {
						t.Parallel()
						takeUpOutOfStep(t, rand.New(rand.NewPCG(seed, 35)), order == "join, then cut", kind, named)
					})
				}
			}
		}
	}
}

func takeUpOutOfStep(t *testing.T, r *rand.Rand, joinFirst bool, kind platformtest.CutKind, named bool) {
	d := newPathDeployment(t, 3, fronthost.WithSystemDial)
	// The history of the hosts must not be too short to prove anything.
	require.Eventually(t, func() bool {
		_, status := d.takeUp(0, "", newID())
		return status == http.StatusOK
	}, 12*time.Second, 100*time.Millisecond)
	join := func() { d.addEngine("e3", "v2") }
	cut := func() { d.isolate(0, kind) }
	if joinFirst {
		join, cut = cut, join
	}
	cut()
	time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
	join()
	var (
		wg      sync.WaitGroup
		takenUp atomic.Int32
	)
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && takenUp.Load() < 12; time.Sleep(10 * time.Millisecond) {
		session := fmt.Sprint(r.Uint32())
		id, refusal := d.tryBeginStream(1+r.IntN(2), session)
		if refusal != "" || d.endpoints["e3"].RunCounts()[id] == 0 {
			continue
		}
		takenUp.Add(1)
		wg.Go(func() {
			resumes := id
			if !named {
				resumes = ""
			}
			next, status := d.takeUp(0, session, resumes)
			if status == http.StatusOK && len(d.versionsOf(id, next)) != 1 {
				t.Errorf("stream %s began at v2 and went on at v1", id)
			}
		})
	}
	wg.Wait()
	require.NotZero(t, takenUp.Load(), "no stream began at the new version")
}

// TestNewVersionIsSoonUsedByAllHosts guards against streams that wait for the store's list of versions: all
// engines of a service are replaced at once, in a fleet so large that few hosts follow the store, and where
// the host that has to list the version is cut off. Refusals for other reasons, such as old knowledge of the
// endpoints on a full processor, do not count.
func TestNewVersionIsSoonUsedByAllHosts(t *testing.T) {
	for name, c := range map[string]struct {
		hosts   int
		isolate bool
		within  time.Duration
	}{
		"few hosts":                        {3, false, 1500 * time.Millisecond},
		"few hosts, each cut off in turns": {4, true, 1500 * time.Millisecond},
		"many hosts":                       {20, false, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			d := newPathDeployment(t, c.hosts, fronthost.WithSystemDial)
			time.Sleep(time.Second)
			for cut := range c.hosts {
				if cut > 0 && !c.isolate {
					break
				}
				if c.isolate {
					d.isolate(cut, platformtest.CutReset)
				}
				for _, id := range []string{"e1", "e2"} {
					d.setVersion(id, fmt.Sprint("next-", cut))
				}
				replacedAt := time.Now()
				listed := fmt.Sprintf(`{"Version":"next-%d","GoneAt":0`, cut)
				require.Eventually(t, func() bool {
					kv, err := d.store.Get(t.Context(), "versions/engine")
					return err == nil && strings.Contains(string(kv.Value), listed)
				}, c.within, 10*time.Millisecond, "the store lists the version")
				for i := range c.hosts {
					if c.isolate && i == cut {
						continue
					}
					d.requireSoonListed(i, replacedAt, c.within+2*time.Second)
				}
				for _, p := range d.paths {
					p.Mend()
				}
				time.Sleep(500 * time.Millisecond)
			}
		})
	}
}

// requireSoonListed requires that no stream at host i is refused for want of a listed version later than within
// after the engines were replaced.
func (d *cutDeployment) requireSoonListed(i int, replacedAt time.Time, within time.Duration) {
	for range 200 {
		_, refusal := d.tryBeginStream(i, fmt.Sprint(i))
		if refusal == "" {
			return
		}
		if strings.Contains(refusal, "that the store lists") {
			require.Less(d.t, time.Since(replacedAt), within, "host %d", i)
		}
		time.Sleep(50 * time.Millisecond)
	}
	d.t.Logf("host %d serves no stream, for other reasons", i)
}
