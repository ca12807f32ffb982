package propagation

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

const (
	// plainService is the service whose endpoints leave.
	plainService = "plain"
	// leavingSettleTime is how long arrivals are watched after the last endpoint has left.
	leavingSettleTime = 6 * cicadapitch.Second
	// leavingDelay is the time after its word from which an endpoint must get no request.
	leavingDelay = 2 * cicadapitch.Second
)

// LeavingCase describes a fleet whose endpoints leave one after the other, while the
// configuration changes as in Case.
type LeavingCase struct {
	Case
	// Endpoints is the number of endpoints, Leaving how many of them leave, LeaveGap the time
	// between two of them. Each that leaves is replaced by another one.
	Endpoints, Leaving int
	LeaveGap           cicadapitch.Millis
	// Requests is the number of requests a second at each host.
	Requests float64
	// ConnectDelay is the longest time that a connection to an endpoint takes to open.
	ConnectDelay cicadapitch.Millis
	// Late is the number of hosts that handle what other hosts send them LateBy late. With LateStore that holds for the store's answers too.
	Late      int
	LateBy    cicadapitch.Millis
	LateStore bool
}

// LeavingResult is the measurement of a LeavingCase.
type LeavingResult struct {
	Case LeavingCase
	// Known are the times from the acknowledgement of a leaving until a host knows of it, over
	// all hosts that are not late and endpoints that left.
	Known Percentiles
	// LastRequest are the times from the acknowledgement of a leaving to the arrival of the
	// last request at the endpoint, over all endpoints that left.
	LastRequest Percentiles
	// Knowledge are the ages of the hosts' knowledge of the endpoints when requests come, TooOld is
	// the share of them above the age on which a host sends.
	Knowledge Percentiles
	TooOld    float64
	// LateServed is the share of the requests to hosts that are late that were served, Served
	// that of all. LateServed is 1 if there are none.
	LateServed float64
	// Served is the share of the requests that were served.
	Served float64
	// Bytes are sent and received and Processor is used in all, over all hosts and the
	// simulated store and endpoints.
	Bytes     cicadapitch.Bytes
	Processor time.Duration
}

// Percentiles summarizes times.
type Percentiles struct{ P50, P99, Worst cicadapitch.Millis }

func percentilesOf(times []cicadapitch.Millis) Percentiles {
	if len(times) == 0 {
		return Percentiles{}
	}
	slices.Sort(times)
	return Percentiles{times[len(times)/2], times[len(times)*99/100], times[len(times)-1]}
}

// leavingRun is the state of the run of a LeavingCase.
type leavingRun struct {
	c         LeavingCase
	fleet     *Fleet
	endpoints []*platformtest.Endpoint
	leftAt    []time.Time
}

// RunLeaving starts a fleet, lets its endpoints leave and measures that.
func RunLeaving(c LeavingCase) (LeavingResult, error) {
	c.connect, c.calmStart = c.dial, true
	f, err := Start(c.Case)
	if err != nil {
		return LeavingResult{}, err
	}
	defer f.Close()
	r := &leavingRun{c: c, fleet: f}
	defer r.close()
	for range c.Endpoints {
		r.addEndpoint()
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	for _, h := range f.hosts {
		h.running.Go(func() { h.sendRequests(ctx, c.Requests) })
	}
	time.Sleep(time.Second)
	for _, h := range f.hosts[len(f.hosts)-c.Late:] {
		h.late.Set(c.LateBy)
		if c.LateStore {
			h.lateStore.Set(c.LateBy)
		}
	}
	if c.Late > 0 {
		// What was on its way comes first; then everything comes late.
		time.Sleep(c.LateBy.Duration() + 2*time.Second)
	}
	cost := f.measure(func() {
		go r.changeConfiguration()
		for i := range c.Leaving {
			r.leave(i)
			time.Sleep(c.LeaveGap.Duration())
		}
		time.Sleep(leavingSettleTime.Duration())
	})
	cancel()
	return r.result(cost)
}

// dial opens a connection to an endpoint after up to ConnectDelay.
func (c LeavingCase) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if c.ConnectDelay > 0 {
		time.Sleep(rand.N(c.ConnectDelay.Duration()))
	}
	return platform.DialEndpoint(ctx, network, address)
}

func (r *leavingRun) close() {
	for _, e := range r.endpoints {
		e.Close()
	}
}

// addEndpoint starts an endpoint and adds its entry to the store.
func (r *leavingRun) addEndpoint() {
	e := platformtest.NewEndpoint(fmt.Sprintf("e%d", len(r.endpoints)), plainService)
	e.SetCloseConnections(r.c.ConnectDelay > 0)
	r.endpoints = append(r.endpoints, e)
	r.fleet.store.Set(platformtest.EndpointKey(e.ID), e.Entry("ready"))
}

// leave makes the endpoint with a number leave and adds another one.
func (r *leavingRun) leave(i int) {
	e := r.endpoints[i]
	r.fleet.store.Set(platformtest.EndpointKey(e.ID), e.Entry("draining"))
	r.leftAt = append(r.leftAt, time.Now())
	r.addEndpoint()
}

// changeConfiguration makes the changes of the configuration.
func (r *leavingRun) changeConfiguration() {
	f := r.fleet
	for range r.c.Changes {
		f.routes += r.c.Added
		f.write(f.version + 1)
		time.Sleep(r.c.Gap.Duration())
	}
}

// result evaluates a run.
func (r *leavingRun) result(cost usage) (LeavingResult, error) {
	var known, last []cicadapitch.Millis
	// Hosts that are late know of it late; what counts for them is the last request.
	sound := r.fleet.hosts[:len(r.fleet.hosts)-r.c.Late]
	late := r.fleet.hosts[len(sound):]
	for i, at := range r.leftAt {
		e := r.endpoints[i]
		for _, h := range sound {
			h.mu.Lock()
			since, ok := h.leavingAt[cicadapitch.EndpointID(e.ID)]
			h.mu.Unlock()
			if !ok {
				return LeavingResult{}, cicadapitch.NewError(cicadapitch.DeadlineExceeded, "host "+string(h.settings.Host)+" did not hear that endpoint "+e.ID+" leaves", "see the logs of the hosts")
			}
			known = append(known, cicadapitch.Millis(since.Sub(at).Milliseconds()))
		}
		arrivals := e.Arrivals()
		if n := len(arrivals); n > 0 {
			last = append(last, max(cicadapitch.Millis(arrivals[n-1].Sub(at).Milliseconds()), 0))
		}
	}
	var ages []cicadapitch.Millis
	for _, h := range r.fleet.hosts {
		h.mu.Lock()
		ages = append(ages, h.knowledgeAges...)
		h.mu.Unlock()
	}
	tooOld := lo.CountBy(ages, func(m cicadapitch.Millis) bool { return m > leavingDelay/2 })
	return LeavingResult{
		Knowledge: percentilesOf(ages), TooOld: float64(tooOld) / float64(max(len(ages), 1)),
		Case: r.c, Known: percentilesOf(known), LastRequest: percentilesOf(last),
		Served: servedShare(r.fleet.hosts), LateServed: servedShare(late), Bytes: cost.bytes, Processor: cost.processor,
	}, nil
}

// servedShare returns the share of the requests to hosts that were served.
func servedShare(hosts []*host) float64 {
	asked, served := int64(0), int64(0)
	for _, h := range hosts {
		asked, served = asked+h.asked.Load(), served+h.served.Load()
	}
	if asked == 0 {
		return 1
	}
	return float64(served) / float64(asked)
}

// sendRequests sends requests of callers to the host until ctx ends.
func (h *host) sendRequests(ctx context.Context, perSecond float64) {
	t := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		h.running.Go(func() { h.serveRequest(ctx, fmt.Sprintf("%s-%d", h.settings.Host, n)) })
	}
}

// serveRequest makes the host serve one request.
func (h *host) serveRequest(ctx context.Context, id string) {
	r, err := platformtest.CallerRequest{
		ID: id, Method: "POST", Address: h.settings.CallerListen, Path: "/book/a", Host: "h.example", Key: "key-1", Deadline: 3000,
		Body: strings.NewReader(""),
	}.HTTPRequest()
	if err != nil {
		panic(err) // the request is fixed
	}
	w := &answerWriter{header: http.Header{}, status: http.StatusOK}
	h.asked.Add(1)
	if age, ok := h.membership.KnowledgeAge(); ok {
		h.mu.Lock()
		h.knowledgeAges = append(h.knowledgeAges, age)
		h.mu.Unlock()
	}
	defer func() {
		if recover() == nil && w.status == http.StatusOK {
			h.served.Add(1)
		}
	}()
	r.RequestURI = r.URL.RequestURI()
	h.ingress.ServeHTTP(w, r.WithContext(ctx))
}

// answerWriter keeps the status of an answer and drops the rest.
type answerWriter struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *answerWriter) Write(b []byte) (int, error) { return len(b), nil }

// recordLeaving records since when the host knows that endpoints leave. The caller holds
// h.mu.
func (h *host) recordLeaving(v *fleet.View) {
	current := map[cicadapitch.EndpointID]bool{}
	for _, e := range v.Endpoints(plainService) {
		current[e.ID] = true
	}
	for id := range h.usable {
		if _, ok := h.leavingAt[id]; !ok && !current[id] {
			h.leavingAt[id] = time.Now()
		}
	}
	h.usable = current
}

// WriteLeavingTable prints results as a table.
func WriteLeavingTable(w io.Writer, results []LeavingResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "hosts\trequests/s\tadded\ttraffic\tconnect ms\tknown p50\tp99\tworst ms\tlast request p50\tp99\tworst ms\tknowledge p50\tp99\tworst ms\ttoo old\tserved\tMB\tcpu s\t")
	for _, r := range results {
		c := r.Case
		fmt.Fprintf(t, "%d\t%g\t%d\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.3f\t%.1f\t%.1f\t\n", c.Hosts, c.Requests, c.Added*c.Changes, c.Traffic, c.ConnectDelay,
			r.Known.P50, r.Known.P99, r.Known.Worst, r.LastRequest.P50, r.LastRequest.P99, r.LastRequest.Worst,
			r.Knowledge.P50, r.Knowledge.P99, r.Knowledge.Worst, r.TooOld,
			r.Served, float64(r.Bytes)/1e6, r.Processor.Seconds())
	}
	return cicadapitch.Wrap(t.Flush())
}
