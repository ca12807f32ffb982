// Package bed3 runs the hosts of a small deployment as separate processes on loopback addresses, with stand-ins of the
// platform's store, of replicas and of requesters.
package bed3

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// Exit codes of a case.
const (
	ExitHeld = iota
	ExitBroken
	ExitNotRun
)

// hostProgram is the program of the deploy file's role, from the root of the repository.
const hostProgram = "target/cicadapitch-front"

// Bed holds the stand-ins and the hosts of a case.
type Bed struct {
	// Trouble is true if the case runs with its disruption.
	Trouble bool
	// Store is the platform's metadata store.
	Store *platformtest.Store
	// Hosts are the hosts, in the order in which they were added.
	Hosts []*Host

	dir    string
	start  time.Time
	mu     sync.Mutex
	record io.WriteCloser
	stops  []func()
}

// New returns a bed whose record is written to the file record.txt in a folder. TROUBLE=0 in the environment switches
// the disruption off.
func New(folder string) (*Bed, error) {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	b := &Bed{
		Trouble: os.Getenv("TROUBLE") != "0", Store: platformtest.NewStore(platformtest.WithPageSize(500)),
		dir: dir, start: time.Now(), record: record,
	}
	b.Record("disruption: %t", b.Trouble)
	return b, nil
}

// Record writes a line to the record, with the time since the start of the case.
func (b *Bed) Record(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// onStop registers a function that Close calls.
func (b *Bed) onStop(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stops = append(b.stops, f)
}

// Close ends all processes and stand-ins of the bed.
func (b *Bed) Close() {
	b.mu.Lock()
	stops := b.stops
	b.stops = nil
	b.mu.Unlock()
	for _, h := range b.Hosts {
		h.stop()
	}
	for _, f := range stops {
		f()
	}
	b.Store.Close()
	_ = os.RemoveAll(b.dir)
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.record.Close()
}

// AwaitReady waits until all hosts are ready and their directories name all of them.
func (b *Bed) AwaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, h := range b.Hosts {
			if h.Ready() {
				ready++
			}
		}
		if ready == len(b.Hosts) {
			time.Sleep(time.Second) // the hosts hear of each other
			return nil
		}
	}
	return errors.New("the hosts are not ready in time")
}

// Ready reports whether the host answers the platform's readiness probe with 200.
func (h *Host) Ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get(platformtest.ReadyURL(h.IP + ":8002"))
	if err != nil {
		return false
	}
	defer func() { _ = r.Body.Close() }()
	return r.StatusCode == http.StatusOK
}

// Main runs a case in the folder that is the first argument, and exits with its result.
func Main(run func(b *Bed) (broken bool, err error)) {
	code := ExitNotRun
	defer func() { os.Exit(code) }()
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return
	}
	b, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return
	}
	defer b.Close()
	broken, err := run(b)
	switch {
	case err != nil:
		b.Record("the case could not run: %v", err)
	case broken:
		b.Record("result: the rule was broken")
		code = ExitBroken
	default:
		b.Record("result: the rule held")
		code = ExitHeld
	}
}
