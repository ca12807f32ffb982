package fronthost_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// addEngine starts an engine and registers it.
func (d *deployment) addEngine(id, version string) {
	e := platformtest.NewEndpoint(id, "engine")
	e.SetVersion(version)
	d.endpoints[id] = e
	d.store.Set(platformtest.EndpointKey(id), e.Entry("ready"))
}

// setVersion changes the software version of an endpoint.
func (d *deployment) setVersion(id, version string) {
	d.endpoints[id].SetVersion(version)
	d.store.Set(platformtest.EndpointKey(id), d.endpoints[id].Entry("ready"))
}

// abortStreams makes the streams of all engines break off after n events, or never if n
// is 0.
func (d *deployment) abortStreams(n int) {
	for _, e := range d.endpoints {
		e.AbortStreamsAfter(n)
	}
}

// versionsOf returns the software versions of the endpoints that ran any of the
// requests.
func (d *deployment) versionsOf(ids ...string) map[string]bool {
	versions := map[string]bool{}
	for _, e := range d.endpoints {
		for _, id := range ids {
			if e.RunCounts()[id] > 0 {
				versions[e.Entry("ready")["version"].(string)] = true
			}
		}
	}
	return versions
}

// cutStream sends a request for a resumable stream to host i and reads it until it
// breaks off. It returns the id of the request.
func (d *deployment) cutStream(i int) string {
	id := newID()
	r := d.send(d.newStreamRequest(i, "/answer/a", id, "0,0"))
	require.Equal(d.t, http.StatusOK, r.StatusCode)
	_, err := io.ReadAll(r.Body)
	r.Body.Close()
	require.Error(d.t, err)
	return id
}

// beginStream sends a request of a session for a resumable stream to host i and leaves
// after the second event. It returns the id of the request.
func (d *deployment) beginStream(i int, session string) string {
	id, refusal := d.tryBeginStream(i, session)
	require.Empty(d.t, refusal)
	return id
}

// tryBeginStream is beginStream for requests that may be refused. It returns the body of the refusal too.
func (d *deployment) tryBeginStream(i int, session string) (id, refusal string) {
	id = newID()
	req := d.newStreamRequest(i, "/answer/a", id, "0,0")
	req.Session = session
	r := d.send(req)
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		b, err := io.ReadAll(r.Body)
		require.NoError(d.t, err)
		return id, fmt.Sprintf("%d: %s", r.StatusCode, b)
	}
	events := bufio.NewReader(r.Body)
	for line := ""; line != "data: part 2\n"; {
		var err error
		line, err = events.ReadString('\n')
		require.NoError(d.t, err)
	}
	return id, ""
}

// takeUp asks host i to go on with a stream of a session after its second event. It
// returns the id of the new request and the status.
func (d *deployment) takeUp(i int, session, resumes string) (string, int) {
	req := d.newStreamRequest(i, "/answer/a", newID(), "0,0")
	req.Session, req.ResumeAfter, req.Resumes = session, "2", resumes
	r := d.send(req)
	defer r.Body.Close()
	_, err := io.Copy(io.Discard, r.Body)
	require.NoError(d.t, err)
	return req.ID, r.StatusCode
}

// TestBrokenStreamIsNotResumedAtAnotherVersion guards against one answer with events of
// two software versions.
func TestBrokenStreamIsNotResumedAtAnotherVersion(t *testing.T) {
	d := newDeployment(t, 1)
	d.setVersion("e2", "v2")
	time.Sleep(200 * time.Millisecond)
	d.abortStreams(2)
	for range 6 {
		require.Len(t, d.versionsOf(d.cutStream(0)), 1)
		time.Sleep(2 * coldRatePause)
	}
}

// TestBrokenStreamIsResumedAtItsVersion has an engine of each version that breaks streams
// off and one that does not.
func TestBrokenStreamIsResumedAtItsVersion(t *testing.T) {
	d := newDeployment(t, 1)
	d.abortStreams(2)
	d.setVersion("e2", "v2")
	d.addEngine("e3", "v1")
	d.addEngine("e4", "v2")
	time.Sleep(200 * time.Millisecond)
	for n := range 12 {
		id := newID()
		req := d.newStreamRequest(0, "/answer/a", id, "0,0")
		req.Session = fmt.Sprint(n)
		require.Contains(t, readBody(t, d.send(req)), "data: part 6")
		require.Len(t, d.versionsOf(id), 1)
		time.Sleep(2 * coldRatePause)
	}
}

// TestStreamTakenUpAtAnotherHostGoesOnAtItsVersion begins streams at engines of two
// versions, takes one engine of each out of service and takes the streams up at the other
// hosts, the second half after the host that began them is gone.
func TestStreamTakenUpAtAnotherHostGoesOnAtItsVersion(t *testing.T) {
	d := newDeployment(t, 4)
	d.setVersion("e2", "v2")
	d.addEngine("e3", "v1")
	d.addEngine("e4", "v2")
	time.Sleep(200 * time.Millisecond)
	const streams = 16
	var begun [streams]string
	for n := range begun {
		begun[n] = d.beginStream(0, fmt.Sprint(n))
		time.Sleep(coldRatePause)
	}
	for _, id := range []string{"e1", "e2"} {
		d.store.Set(platformtest.EndpointKey(id), d.endpoints[id].Entry("draining"))
	}
	time.Sleep(200 * time.Millisecond)
	for n, id := range begun {
		if n == streams/2 {
			d.cancels[0]()
			<-d.stopped[0]
		}
		next, status := d.takeUp(1+n%3, fmt.Sprint(n), id)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, d.versionsOf(id, next), 1, "stream %d", n)
		time.Sleep(coldRatePause)
	}
}

// TestStreamOfUnknownVersionIsRefused takes up streams that no host knows. They go on
// only while the service has had a single version for long enough.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	d := newDeployment(t, 2)
	require.Eventually(t, func() bool {
		_, status := d.takeUp(0, "", newID())
		return status == http.StatusOK
	}, 12*time.Second, 200*time.Millisecond)
	d.setVersion("e2", "v2")
	time.Sleep(200 * time.Millisecond)
	for i := range 6 {
		for _, resumes := range []string{"", newID()} {
			id, status := d.takeUp(i%2, "", resumes)
			require.Equal(t, http.StatusServiceUnavailable, status)
			require.Zero(t, d.runCount(id))
		}
	}
}

// TestStreamOfUnknownServiceIsRefused guards against a stream that goes on at another service than the
// one that began it, each of which has one version, where a route leads to both.
func TestStreamOfUnknownServiceIsRefused(t *testing.T) {
	d := newDeployment(t, 2)
	d.setConfiguration(platformtest.SplitStreamRoute)
	for i := range d.hostSettings {
		require.Eventually(t, func() bool {
			r := d.send(d.newStreamRequest(i, "/split/a", newID(), ""))
			readBody(t, r)
			return r.StatusCode == http.StatusOK
		}, 3*time.Second, 50*time.Millisecond, "host %d", i)
	}
	require.Eventually(t, func() bool {
		_, status := d.takeUp(0, "", newID())
		return status == http.StatusOK
	}, 12*time.Second, 200*time.Millisecond, "a route to one service")
	for i := range 12 {
		first := d.newStreamRequest(i%2, "/split/a", newID(), "")
		readBody(t, d.send(first))
		for _, resumes := range []string{first.ID, newID(), ""} {
			next := d.newStreamRequest(i%2, "/split/a", newID(), "")
			next.ResumeAfter, next.Resumes = "2", resumes
			r := d.send(next)
			r.Body.Close()
			if resumes != first.ID {
				require.Equal(t, http.StatusServiceUnavailable, r.StatusCode)
				continue
			}
			require.Equal(t, http.StatusOK, r.StatusCode)
			require.Equal(t, d.servicesOf(first.ID), d.servicesOf(next.ID))
		}
		time.Sleep(coldRatePause)
	}
}

// servicesOf returns the services whose endpoints ran a request.
func (d *deployment) servicesOf(id string) map[string]bool {
	services := map[string]bool{}
	for _, e := range d.endpoints {
		if e.RunCounts()[id] > 0 {
			services[e.Service] = true
		}
	}
	return services
}

// TestStreamOfVanishedVersionIsRefused takes a stream up once no endpoint of its version
// is left.
func TestStreamOfVanishedVersionIsRefused(t *testing.T) {
	d := newDeployment(t, 2)
	id := d.beginStream(0, "")
	for _, e := range []string{"e1", "e2"} {
		d.store.Remove(platformtest.EndpointKey(e))
	}
	d.addEngine("e3", "v2")
	time.Sleep(200 * time.Millisecond)
	for i := range 2 {
		next, status := d.takeUp(i, "", id)
		require.Equal(t, http.StatusServiceUnavailable, status, fmt.Sprint("host ", i))
		require.Zero(t, d.runCount(next))
	}
}

// TestStreamOfPlainServiceGoesOnAfterTheLastEvent guards against a stream that begins anew
// for a caller who takes it up, where the service has no engines.
func TestStreamOfPlainServiceGoesOnAfterTheLastEvent(t *testing.T) {
	d := newDeployment(t, 1)
	d.setConfiguration(platformtest.PlainStreamRoute)
	var text string
	require.Eventually(t, func() bool {
		req := d.newStreamRequest(0, "/feed/a", newID(), "")
		req.ResumeAfter = "2"
		r := d.send(req)
		b, err := io.ReadAll(r.Body)
		r.Body.Close()
		text = string(b)
		return err == nil && r.StatusCode == http.StatusOK
	}, 12*time.Second, 200*time.Millisecond)
	require.NotContains(t, text, "data: part 2\n")
	require.Contains(t, text, "data: part 3\n")
	d.abortStreams(2)
	r := d.send(d.newStreamRequest(0, "/feed/a", newID(), ""))
	b, err := io.ReadAll(r.Body)
	r.Body.Close()
	require.Error(t, err)
	require.Equal(t, 4, strings.Count(string(b), "data: part"), "two events of each of two attempts")
}

// TestCallersThatLeaveAreNoFailureOfTheEngine guards against an engine that is avoided
// because callers left in the middle of their streams. All streams are of one session.
func TestCallersThatLeaveAreNoFailureOfTheEngine(t *testing.T) {
	d := newDeployment(t, 1)
	engines := map[string]bool{}
	for range 12 {
		id := d.beginStream(0, "")
		for name, e := range d.endpoints {
			if e.RunCounts()[id] > 0 {
				engines[name] = true
			}
		}
		time.Sleep(coldRatePause)
	}
	require.Len(t, engines, 1)
}

// coldRatePause is the pause between requests that keeps one host within the rate of a
// cold engine.
const coldRatePause = 150 * time.Millisecond

// TestStreamsGoOnAfterAllHostsHaveRestarted guards against streams that are rejected although
// endpoints of their version are there, since no host is left that knows where they began.
func TestStreamsGoOnAfterAllHostsHaveRestarted(t *testing.T) {
	for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
		t.Run(fmt.Sprint(len(versions)), func(t *testing.T) {
			t.Parallel()
			const hosts, streams = 3, 8
			d := newDeployment(t, hosts)
			d.setVersion("e2", versions[len(versions)-1])
			time.Sleep(time.Second)
			var begun [streams]string
			for n := range begun {
				begun[n] = d.beginStream(n%hosts, fmt.Sprint(n))
				time.Sleep(coldRatePause)
			}
			time.Sleep(500 * time.Millisecond)
			for i := range hosts {
				d.cancels[i]()
			}
			for i := range hosts {
				<-d.stopped[i]
			}
			first := d.joinHosts(hosts)
			for n, id := range begun {
				next, status := d.takeUp(first+n%hosts, fmt.Sprint(n), id)
				require.Equal(t, http.StatusOK, status, "stream %d", n)
				require.Len(t, d.versionsOf(id, next), 1, "stream %d", n)
			}
		})
	}
}
