package fronthost_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
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
		id, status := d.tryBeginStream(1+r.IntN(2), session)
		if status != http.StatusOK || d.endpoints["e3"].RunCounts()[id] == 0 {
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
