package propagation

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"cicadapitch.example/cicadapitch"
)

const (
	// maxWait bounds the time that a change may take.
	maxWait = 60 * cicadapitch.Second
	// idleTime is how long the fleet is measured before the first change.
	idleTime = 4 * cicadapitch.Second
)

// Result is the measurement of a case. Costs are per change, over all hosts and the
// simulated store, without what the idle fleet uses.
type Result struct {
	Case Case
	// P50, P99 and Worst are the times from the acknowledgement of a change until it was in
	// force on a host, over all changes and hosts.
	P50, P99, Worst cicadapitch.Millis
	// ConfigurationBytes is the size of the last configuration.
	ConfigurationBytes cicadapitch.Bytes
	Bytes              cicadapitch.Bytes
	Processor          time.Duration
	StoreReads         float64
	// Quarter and NineTenths are the times after the restart of all hosts at once until a
	// quarter and nine tenths of them are ready and serve the routes of the last change.
	Quarter, NineTenths cicadapitch.Millis
	// Unserved is the number of hosts without a route that the last change added.
	Unserved int
	// Regressed is true if a host put an older version in force after a newer one.
	Regressed bool
}

// Run starts a fleet, makes the changes of the case and measures them.
func Run(c Case) (Result, error) {
	f, err := Start(c)
	if err != nil {
		return Result{}, err
	}
	defer f.Close()
	idle := f.measure(func() { time.Sleep(idleTime.Duration()) })
	var (
		at   []time.Time
		took []cicadapitch.Millis
	)
	f.refuse(c.Refused)
	cost := f.measure(func() {
		for range c.Changes {
			f.routes += c.Added
			f.write(f.version + 1)
			at = append(at, time.Now())
			time.Sleep(c.Gap.Duration())
		}
		waitFor(maxWait, func() bool { _, ok := f.inForce(f.version, at[len(at)-1]); return ok })
	})
	for i, t := range at {
		times, ok := f.inForce(f.version-int64(c.Changes-1-i), t)
		if !ok {
			return Result{}, cicadapitch.NewError(cicadapitch.DeadlineExceeded, "a change was not in force on all hosts in time", "see the logs of the hosts")
		}
		took = append(took, times...)
	}
	slices.Sort(took)
	cost.subtract(idle)
	r := Result{
		Case: c, P50: took[len(took)/2], P99: took[len(took)*99/100], Worst: took[len(took)-1],
		ConfigurationBytes: cicadapitch.Bytes(len(routes(0, f.routes))),
		Bytes:              cost.bytes / cicadapitch.Bytes(c.Changes), Processor: cost.processor / time.Duration(c.Changes),
		StoreReads: cost.storeReads / float64(c.Changes),
	}
	for _, h := range f.hosts {
		h.mu.Lock()
		r.Regressed = r.Regressed || h.regressed
		h.mu.Unlock()
		if !h.serves(f.routes - 1) {
			r.Unserved++
		}
	}
	r.Quarter, r.NineTenths, err = f.recover()
	return r, err
}

// recover restarts all hosts at once and returns the times until a quarter and nine tenths
// of them serve the last route.
func (f *Fleet) recover() (quarter, nineTenths cicadapitch.Millis, err error) {
	f.stopHosts()
	start := time.Now()
	if err := f.startHosts(); err != nil {
		return 0, 0, err
	}
	await := func(share float64) (cicadapitch.Millis, bool) {
		ok := waitFor(maxWait, func() bool {
			serving := lo.CountBy(f.hosts, func(h *host) bool { return h.membership.Ready() && h.serves(f.routes-1) })
			return float64(serving) >= share*float64(len(f.hosts))
		})
		return cicadapitch.Millis(time.Since(start).Milliseconds()), ok
	}
	quarter, _ = await(0.25)
	nineTenths, ok := await(0.9)
	if !ok {
		return 0, 0, cicadapitch.NewError(cicadapitch.DeadlineExceeded, "the hosts did not serve again after their restart", "see the logs of the hosts")
	}
	return quarter, nineTenths, nil
}

// usage is what a fleet has used within a time.
type usage struct {
	elapsed    time.Duration
	bytes      cicadapitch.Bytes
	processor  time.Duration
	storeReads float64
}

// measure returns what the fleet uses while do runs.
func (f *Fleet) measure(do func()) usage {
	start, processor := time.Now(), processorTime()
	bytes, reads := f.usage()
	do()
	u := usage{elapsed: time.Since(start), processor: processorTime() - processor}
	bytesAfter, readsAfter := f.usage()
	u.bytes, u.storeReads = bytesAfter-bytes, float64(readsAfter-reads)
	return u
}

// subtract takes off what the idle fleet uses in the same time.
func (u *usage) subtract(idle usage) {
	x := float64(u.elapsed) / float64(idle.elapsed)
	u.bytes -= cicadapitch.Bytes(x * float64(idle.bytes))
	u.processor -= time.Duration(x * float64(idle.processor))
	u.storeReads -= x * idle.storeReads
}

// processorTime returns the processor time that the process has used.
func processorTime() time.Duration {
	var r unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &r) // fails only for invalid arguments
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// WriteTable prints results as a table.
func WriteTable(w io.Writer, results []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "hosts\troutes\tadded\tchanges\tgap ms\tMbit/s\ttraffic\tKB whole\tp50 ms\tp99 ms\tworst ms\tKB/change\tcpu ms/change\treads/change\t1/4 ms\t9/10 ms\tregressed\t")
	for _, r := range results {
		c := r.Case
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%g\t%g\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%d\t%d\t%t\t\n", c.Hosts, c.Routes, c.Added, c.Changes, c.Gap,
			c.LinkMbps, c.Traffic, r.ConfigurationBytes/1000, r.P50, r.P99, r.Worst, r.Bytes/1000, r.Processor.Milliseconds(), r.StoreReads, r.Quarter, r.NineTenths, r.Regressed)
	}
	return cicadapitch.Wrap(t.Flush())
}
