package fronthost_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// smallestMemory is the memory of the smallest hosts.
const smallestMemory = 144 << 20

// slowRoutes lead to a service with long answers and to one whose endpoints read no bodies.
const slowRoutes = `,{"name":"large","host":"h.example","prefix":"/large/","kind":"unsafe","timeout_ms":20000,"target_latency_ms":3000,"service":"large","max_attempts":1}
 ,{"name":"unread","host":"h.example","prefix":"/unread/","kind":"unsafe","timeout_ms":20000,"target_latency_ms":3000,"service":"unread","max_attempts":1}`

// newSmallDeployment returns a deployment with a host of smallestMemory, slowRoutes and bodies of up to 4 MB.
func newSmallDeployment(t *testing.T) *deployment {
	d := newDeployment(t, 1, func(d *deployment) {
		d.log = io.Discard
		d.changeSettings = func(s *platform.Settings) { s.Memory = smallestMemory }
		d.editConfiguration = func(c []byte) []byte {
			c = bytes.Replace(c, []byte(`"services":[`), []byte(`"services":[{"name":"large"},{"name":"unread"},`), 1)
			return bytes.Replace(c, []byte(`"max_body_bytes":10000`), []byte(`"max_body_bytes":4000000`), 1)
		}
	})
	// The limit holds for the whole process, and with it for the stand-ins.
	t.Cleanup(func() { debug.SetMemoryLimit(math.MaxInt64) })
	for _, service := range []string{"large", "unread"} {
		e := platformtest.NewEndpoint(service, service)
		d.endpoints[service] = e
		d.store.Set(platformtest.EndpointKey(service), e.Entry("ready"))
	}
	d.endpoints["large"].SetFiller(512 << 10)
	d.endpoints["unread"].StopReading()
	d.setConfiguration(slowRoutes)
	time.Sleep(500 * time.Millisecond)
	return d
}

// kernelMemory returns what the kernel holds for the connections of host 0 to callers and endpoints. This process is
// the other side of them too.
func (d *deployment) kernelMemory() int64 {
	var ports []int
	for _, e := range d.endpoints {
		_, port, _ := net.SplitHostPort(e.Address())
		n, _ := strconv.Atoi(port)
		ports = append(ports, n)
	}
	files, _ := os.ReadDir("/proc/self/fd")
	sum := int64(0)
	for _, f := range files {
		fd, _ := strconv.Atoi(f.Name())
		local, err := unix.Getsockname(fd)
		if err != nil {
			continue
		}
		peer, err := unix.Getpeername(fd)
		if err != nil {
			continue
		}
		toEndpoint := slices.Contains(ports, addressPort(peer))
		if addressPort(local) != 8001 && !toEndpoint {
			continue
		}
		if info, err := unix.GetsockoptICMPv6Filter(fd, unix.SOL_SOCKET, unix.SO_MEMINFO); err == nil {
			sum += int64(info.Data[0]) + int64(info.Data[5])
		}
	}
	return sum
}

// addressPort returns the port of an IPv4 address, or 0.
func addressPort(a unix.Sockaddr) int {
	if a, ok := a.(*unix.SockaddrInet4); ok {
		return a.Port
	}
	return 0
}

// metric returns the sum of host 0's metrics whose lines begin with a name.
func (d *deployment) metric(name string) float64 {
	r, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", d.hostSettings[0].IP, fronthost.MetricsPort))
	if err != nil {
		return math.NaN()
	}
	defer r.Body.Close()
	text, _ := io.ReadAll(r.Body)
	sum := 0.0
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); strings.HasPrefix(line, name) && len(fields) == 2 {
			n, _ := strconv.ParseFloat(fields[1], 64)
			sum += n
		}
	}
	return sum
}

// sendSlowly sends a request and reads its answer at a number of bytes a second until the host ends it or
// stop is closed. It reports whether the answer ended as if it were complete.
func (d *deployment) sendSlowly(req platformtest.CallerRequest, bytesPerSecond int, stop <-chan struct{}) bool {
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		// A caller on a slow link has a small window; that of the loopback interface takes a whole answer.
		return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
	}}
	c, err := dialer.Dial("tcp", req.Address)
	if err != nil {
		return false
	}
	defer c.Close()
	r, err := req.HTTPRequest()
	if err != nil {
		panic(err) // the requests of tests can be encoded
	}
	if r.Write(c) != nil {
		return false
	}
	const pause = 250 * time.Millisecond
	resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), r)
	for err == nil {
		select {
		case <-stop:
			return false
		case <-time.After(pause):
		}
		_, err = io.CopyN(io.Discard, resp.Body, int64(bytesPerSecond)/4)
	}
	return err == io.EOF && resp != nil && resp.StatusCode == http.StatusOK
}

// soundResults are those of sound requests.
type soundResults struct {
	mu     sync.Mutex
	failed []string
	took   []time.Duration
}

// sendSound sends sound requests with bodies of 2 KB to host 0, some at once, until stop is closed.
func (d *deployment) sendSound(stop <-chan struct{}) *soundResults {
	var (
		results soundResults
		wg      sync.WaitGroup
	)
	for range 8 {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				req := d.newRequest(0, "POST", "/book/a", newID())
				req.Body = strings.NewReader(strings.Repeat("b", 2<<10))
				start := time.Now()
				outcome := d.sendWhole(req)
				took := time.Since(start)
				results.mu.Lock()
				results.took = append(results.took, took)
				if outcome != "200" {
					results.failed = append(results.failed, outcome)
				}
				results.mu.Unlock()
			}
		})
	}
	wg.Wait()
	slices.Sort(results.took)
	return &results
}

// sendWhole sends a request, reads its whole answer and returns the status or what went wrong.
func (d *deployment) sendWhole(req platformtest.CallerRequest) string {
	r, err := d.trySend(req)
	if err != nil {
		return err.Error()
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err.Error()
	}
	return strconv.Itoa(r.StatusCode)
}

// watchKernel samples kernelMemory until the function that it returns is called, which returns the largest
// sample.
func (d *deployment) watchKernel() func() int64 {
	stop, largest := make(chan struct{}), make(chan int64, 1)
	go func() {
		var peak int64
		for {
			select {
			case <-stop:
				largest <- peak
				return
			case <-time.After(50 * time.Millisecond):
				peak = max(peak, d.kernelMemory())
			}
		}
	}()
	return func() int64 { close(stop); return <-largest }
}

// TestSlowReadersLeaveTheMemoryToOthers replays 500 callers at 1 KB/s and endpoints that stop reading, at the same
// time, on the smallest host. It guards against hosts that run out of memory for slow readers, and against
// sound requests that are rejected or shed for them.
func TestSlowReadersLeaveTheMemoryToOthers(t *testing.T) {
	d := newSmallDeployment(t)
	stopSound := make(chan struct{})
	time.AfterFunc(time.Second, func() { close(stopSound) })
	alone := d.sendSound(stopSound)

	before := heapInUse()
	heap, kernel := watchHeap(t), d.watchKernel()
	stop := make(chan struct{})
	var (
		wg       sync.WaitGroup
		complete atomic.Int64
		mu       sync.Mutex
	)
	unread := map[string]int{}
	for range 500 {
		wg.Go(func() {
			if d.sendSlowly(d.newRequest(0, "GET", "/large/a", newID()), 1<<10, stop) {
				complete.Add(1)
			}
		})
	}
	body := strings.Repeat("b", 512<<10)
	for range 60 {
		wg.Go(func() {
			req := d.newRequest(0, "POST", "/unread/a", newID())
			req.Deadline, req.Body = 6000, strings.NewReader(body)
			outcome := d.sendWhole(req)
			if _, err := strconv.Atoi(outcome); err != nil {
				outcome = "broken off" // a host that rejects a body does not read it
			}
			// The answer must say that the request has not run, or that it may have.
			assert.Contains(t, []string{"502", "503", "504", "broken off"}, outcome)
			mu.Lock()
			unread[outcome]++
			mu.Unlock()
		})
	}
	time.AfterFunc(6*time.Second, func() { close(stop) })
	beside := d.sendSound(stop)
	wg.Wait()
	grown, held := heap()-before, kernel()
	t.Logf("long bodies: %v", unread)
	t.Logf("heap %d MB, kernel %d MB; shed %v, refused %v; %d sound requests alone, half within %v; %d beside, half within %v, 99 of 100 within %v",
		grown>>20, held>>20, d.metric("MemoryShed"), d.metric("MemoryRefused"), len(alone.took), alone.took[len(alone.took)/2],
		len(beside.took), beside.took[len(beside.took)/2], beside.took[len(beside.took)*99/100])
	require.Empty(t, alone.failed)
	require.Empty(t, beside.failed, "sound requests")
	require.Zero(t, complete.Load(), "an answer looks complete")
	require.Positive(t, d.metric("MemoryShed"))
	require.Less(t, grown, int64(smallestMemory/2), "the heap, with that of the stand-ins")
	require.Less(t, grown+held, int64(smallestMemory-maxIdleMemory))
	require.Eventually(t, func() bool { return d.metric("MemoryHeld") == 0 }, 5*time.Second, 50*time.Millisecond, "all is given back")
}

// maxIdleMemory is what a host needs without requests.
const maxIdleMemory = 30 << 20

// TestAnswerToACallerThatReadsNothingEnds guards against answers that hold memory beyond the time of their request
// since the caller has stopped reading.
func TestAnswerToACallerThatReadsNothingEnds(t *testing.T) {
	d := newSmallDeployment(t)
	stop := make(chan struct{})
	defer close(stop)
	for range 3 {
		req := d.newRequest(0, "GET", "/large/a", newID())
		req.Deadline = 1500
		go d.sendSlowly(req, 0, stop)
	}
	require.Eventually(t, func() bool { return d.metric("MemoryHeld") > 0 }, time.Second, 5*time.Millisecond)
	require.Eventually(t, func() bool { return d.metric("MemoryHeld") == 0 }, 4*time.Second, 50*time.Millisecond)
	require.Zero(t, d.metric("MemoryShed"), "there is room")
	require.EqualValues(t, 3, d.metric("SidesGivenUp"))
}

// TestHostWithoutUsableMemoryLimitServes guards against hosts that reject all requests, or collect garbage all the
// time, if their settings name no memory limit.
func TestHostWithoutUsableMemoryLimitServes(t *testing.T) {
	var log lockedBuffer
	d := newDeployment(t, 1, func(d *deployment) {
		d.log = &log
		d.changeSettings = func(s *platform.Settings) { s.Memory = 0 }
	})
	r := d.sendPlain(0, "POST", "/book/a", newID())
	require.Equal(t, http.StatusOK, r.StatusCode)
	require.Equal(t, "POST /book/a club body", readBody(t, r))
	require.Contains(t, log.String(), "no usable memory_mb in the settings")
	require.Greater(t, debug.SetMemoryLimit(-1), int64(1<<20), "the limit of the collector")
}

// lockedBuffer is a buffer for logs.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// String returns what was written.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
