// Command review-restore lets the store come back from a copy that lacks an evacuation, which the operator writes again
// some seconds later, and counts the requests that reach the evacuated zone meanwhile.
package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cicadapitch.example/cicadapitch/review/bed"
)

const (
	perSecond = 40
	warmUp    = 4 * time.Second
	contact   = 3 * time.Second
	evacuate  = 5 * time.Second
	// away is how long the store is away, registerTime how long replicas take to write again, and again how long the
	// operator does.
	away         = 500 * time.Millisecond
	registerTime = 300 * time.Millisecond
	again        = 5 * time.Second
	workTime     = 20 * time.Millisecond
	tail         = 2 * time.Second
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

// times are the moments that the judgement needs.
type times struct{ acknowledged, restored, rewritten time.Time }

func main() { bed.Main(run) }

func run(b *bed.Bed) (int, error) {
	d, err := b.Deploy(bed.Size{Hosts: 3, Replicas: 3}, bed.LookupService, bed.LookupConfig(), func(r *bed.Replica) {
		r.Handle = func(w http.ResponseWriter, _ *http.Request, _ string) {
			time.Sleep(workTime)
			bed.Seal(w, r.ID)
			_, _ = io.WriteString(w, "free") // the requester notices
		}
	})
	if err != nil {
		return bed.Unusable, err
	}
	inZone := &arrivals{}
	d.Replicas[0].OnArrival = inZone.add
	served := atomic.Int32{}
	load := d.StartLoad(perSecond, func(h *bed.Host) {
		if ask(h) {
			served.Add(1)
		}
	})
	time.Sleep(warmUp)
	key := "op/evacuate/" + bed.Zones[0]
	backup := d.Store.Copy()
	d.Store.Set(key, map[string]any{})
	t := times{acknowledged: time.Now()}
	time.Sleep(evacuate + time.Second)
	if bed.Trouble() {
		d.Store.GoDown(false)
		time.Sleep(away)
		d.Store.Restore(backup)
		d.Store.ComeBack()
	}
	t.restored = time.Now()
	time.Sleep(registerTime)
	for _, r := range d.Replicas {
		d.Store.Set(r.Key(), r.Entry("ready"))
	}
	time.Sleep(again - registerTime)
	t.rewritten = time.Now()
	d.Store.Set(key, map[string]any{})
	time.Sleep(tail)
	load.Stop()
	if served.Load() < 100 {
		return bed.Unusable, errors.New("the hosts did not serve")
	}
	return judge(b, inZone.at, t)
}

// judge counts the requests that reached the evacuated zone too late, from machines in touch.
func judge(b *bed.Bed, arrived []time.Time, t times) (int, error) {
	late, inTouch := 0, 0
	for _, at := range arrived {
		if at.Before(t.acknowledged.Add(evacuate)) {
			continue
		}
		late++
		if at.After(t.restored.Add(contact)) {
			inTouch++
		}
		b.Log("a request reaches zone %s %d ms after the evacuation was acknowledged, %d ms after the store was back", bed.Zones[0],
			at.Sub(t.acknowledged).Milliseconds(), at.Sub(t.restored).Milliseconds())
	}
	b.Log("the operator wrote again %d ms after the store was back", t.rewritten.Sub(t.restored).Milliseconds())
	return b.Verdict(inTouch > 0, "%d requests reached the evacuated zone later than evacuate_ms, %d of them from machines in touch", late, inTouch)
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
