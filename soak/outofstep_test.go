package soak_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// outOfStep is a fleet whose host 0 has its own relay to the store, while the first engine of
// version v2 joins.
type outOfStep struct {
	t       *testing.T
	r       *rand.Rand
	store   *platformtest.Store
	relay   *relay
	v2      *platformtest.Endpoint
	hosts   []*hostProcess
	streams int
}

func newOutOfStep(t *testing.T, seed uint64) *outOfStep {
	o := &outOfStep{t: t, r: rand.New(rand.NewPCG(seed, 35)), store: platformtest.NewStore()}
	t.Cleanup(o.store.Close)
	for id, service := range map[string]string{"e1": "engine", "e2": "engine", "s1": "stage"} {
		o.addEndpoint(id, service, "v1")
	}
	o.store.Set(platformtest.ConfigKey, platformtest.Config(1, "", 50))
	o.relay = newRelay(t, o.store.Address())
	for i, store := range []string{o.relay.address, o.store.Address(), o.store.Address()} {
		p := newHostProcess(t, platformtest.LoopbackAddress(int(seed%250+1), i+1), i, store)
		p.start()
		o.hosts = append(o.hosts, p)
	}
	for _, p := range o.hosts {
		p.waitReady(30 * time.Second)
	}
	// Host 0 must have a proof of a sole version to lose.
	require.Eventually(t, func() bool {
		_, resp := o.request(0, "2", "unknown")
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 12*time.Second, 100*time.Millisecond)
	return o
}

func (o *outOfStep) addEndpoint(id, service, version string) *platformtest.Endpoint {
	e := platformtest.NewEndpoint(id, service)
	e.SetVersion(version)
	o.t.Cleanup(e.Close)
	o.store.Set(platformtest.EndpointKey(id), e.Entry("ready"))
	return e
}

// request sends a request for a stream to host i. resumeAfter and resumes are empty for one that
// begins.
func (o *outOfStep) request(i int, resumeAfter, resumes string) (string, *http.Response) {
	o.streams++
	req := platformtest.CallerRequest{
		ID: fmt.Sprintf("stream-%d", o.streams), Method: http.MethodPost, Address: o.hosts[i].ip + ":8001", Path: "/answer/a", Host: "h.example",
		Key: "key-1", Deadline: 5000, Body: strings.NewReader("x"), Tokens: "100,50", Pieces: "0,0", PieceKey: "abc",
		Session: fmt.Sprint(o.r.Uint32()), ResumeAfter: resumeAfter, Resumes: resumes,
	}
	r, err := req.HTTPRequest()
	require.NoError(o.t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(o.t, err)
	return req.ID, resp
}

// beginAtNewVersion begins streams at host 1 or 2 until one begins at v2, breaks it off after its
// second event and returns its id.
func (o *outOfStep) beginAtNewVersion() string {
	for range 200 {
		id, resp := o.request(1+o.r.IntN(2), "", "")
		events := bufio.NewReader(resp.Body)
		for line, err := "", error(nil); err == nil && line != "data: part 2\n"; {
			line, err = events.ReadString('\n')
		}
		resp.Body.Close()
		if o.v2.RunCounts()[id] > 0 {
			return id
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.FailNow(o.t, "no stream began at v2")
	return ""
}

// TestStreamIsNotTakenUpAtAnotherVersionAroundProcessesThatStandStill guards against streams that
// go on at another software version while processes stand still: the one at which they are taken
// up did, or the others do and the store is out of its reach.
func TestStreamIsNotTakenUpAtAnotherVersionAroundProcessesThatStandStill(t *testing.T) {
	for seed := range uint64(3) {
		for _, named := range []bool{true, false} {
			t.Run(fmt.Sprintf("taken up where the process stood still, named %t, seed %d", named, seed), func(t *testing.T) {
				o := newOutOfStep(t, seed)
				o.hosts[0].signal(syscall.SIGSTOP)
				o.v2 = o.addEndpoint("e3", "engine", "v2")
				id := o.beginAtNewVersion()
				time.Sleep(time.Duration(o.r.IntN(2000)) * time.Millisecond)
				time.AfterFunc(50*time.Millisecond, func() { o.hosts[0].signal(syscall.SIGCONT) })
				o.requireNotJoined(id, named)
			})
			t.Run(fmt.Sprintf("taken up while the others stand still, named %t, seed %d", named, seed), func(t *testing.T) {
				o := newOutOfStep(t, seed)
				o.relay.setDown(true)
				o.v2 = o.addEndpoint("e3", "engine", "v2")
				id := o.beginAtNewVersion()
				for _, p := range o.hosts[1:] {
					p.signal(syscall.SIGSTOP)
				}
				o.requireNotJoined(id, named)
			})
		}
	}
}

// requireNotJoined takes a stream up at host 0. It must go on at v2, or be refused as not run.
func (o *outOfStep) requireNotJoined(id string, named bool) {
	resumes := id
	if !named {
		resumes = ""
	}
	next, resp := o.request(0, "2", resumes)
	_, err := io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	o.t.Logf("status %d", resp.StatusCode)
	if resp.StatusCode != http.StatusServiceUnavailable {
		require.NoError(o.t, err)
		require.Equal(o.t, http.StatusOK, resp.StatusCode)
		require.NotZero(o.t, o.v2.RunCounts()[next], "a stream that began at v2 went on at v1")
	}
}
