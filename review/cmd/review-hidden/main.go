// Command review-hidden loses the answers to the registrations of some hosts, whose writes are done late, and counts what a
// replica gets that names a limit.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cicadapitch.example/cicadapitch/review/bed"
)

const (
	hostCount = 4
	// lost is the number of registrations whose answers are lost. They are done late.
	lost      = 3
	late      = 2500 * time.Millisecond
	perSecond = 60
	workTime  = 20 * time.Millisecond
	// limit is the requests a second that the replica takes.
	limit    = 5.0
	contact  = 3 * time.Second
	window   = 4 * time.Second
	loadTime = 15 * time.Second
	// bound is one and a half times what the limit allows in the window, and 5.
	bound = 1.5*limit*4 + 5
)

// arrivals holds when requests reached a replica.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add(_ string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, at)
}

// most returns the most arrivals in a window that begins contact after the first one.
func (a *arrivals) most() (most int, after time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i, from := range a.at {
		if from.Sub(a.at[0]) < contact {
			continue
		}
		n := 0
		for _, at := range a.at[i:] {
			if since := at.Sub(from); since >= 0 && since < window {
				n++
			}
		}
		if n > most {
			most, after = n, from.Sub(a.at[0])
		}
	}
	return most, after
}

func main() { bed.Main(run) }

func run(b *bed.Bed) (int, error) {
	store, err := b.NewStore()
	if err != nil {
		return bed.Unusable, err
	}
	if bed.Trouble() {
		store.LoseAnswers(lost, `"key":"hosts/`, late)
	}
	d, err := b.DeployBefore(store, bed.Size{Hosts: hostCount, Replicas: 3}, bed.LookupService, bed.LookupConfig(), func(r *bed.Replica) {
		named := fmt.Sprintf("%.0f", limit)
		r.Handle = func(w http.ResponseWriter, _ *http.Request, _ string) {
			time.Sleep(workTime)
			bed.Seal(w, r.ID)
			if r.ID == "i-"+bed.LookupService+"-1" {
				w.Header().Set("Server-Limit", named)
			}
			_, _ = io.WriteString(w, "free") // the requester notices
		}
	})
	if err != nil {
		return bed.Unusable, err
	}
	got := &arrivals{}
	d.Replicas[0].OnArrival = got.add
	served := atomic.Int32{}
	b.Log("hosts that run: %d, that are registered: %d", hostCount, store.Hosts())
	load := d.StartLoad(perSecond, func(h *bed.Host) {
		if ask(h) {
			served.Add(1)
		}
	})
	for range 5 {
		time.Sleep(loadTime / 5)
		b.Log("hosts that are registered: %d; named by directories: %v", store.Hosts(), bed.Directories(d.Hosts))
	}
	load.Stop()
	if served.Load() < 100 {
		return bed.Unusable, errors.New("the hosts did not serve")
	}
	most, after := got.most()
	return b.Verdict(float64(most) > bound, "the replica got %d requests in %.0f s, from %d ms after it first named its limit; the bound is %.0f",
		most, window.Seconds(), after.Milliseconds(), bound)
}

// ask sends a lookup and reports whether it was answered.
func ask(h *bed.Host) bool {
	resp, err := bed.Send(context.Background(), h.Address(), bed.NewLookup())
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
