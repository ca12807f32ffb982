// Command review-pause evacuates a zone for a moment while a replica there has asked the hosts to send nothing, and counts
// what the replica gets from each host in the time that it asked for.
package main

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cicadapitch.example/cicadapitch/review/bed"
)

const (
	perSecond = 40
	warmUp    = 4 * time.Second
	workTime  = 20 * time.Millisecond
	// needTime is how long the replica has no room. It asks for a pause of retryAfter.
	needTime   = 2 * time.Second
	retryAfter = 15 * time.Second
	// slack is the time after the answer from which the pause binds, allowed what a host may send in it.
	slack   = 500 * time.Millisecond
	allowed = 2
	// evacuated is how long the zone is evacuated.
	evacuated = 3 * time.Second
	tail      = 4 * time.Second
)

// book holds what the replica got and answered, by the host that sent it.
type book struct {
	mu sync.Mutex
	// hostOf maps the ids of requests to the hosts to which requesters sent them.
	hostOf map[string]string
	// refusedAt holds when the replica last turned a host away, broken what it got of the host in the time it asked for.
	refusedAt map[string]time.Time
	broken    map[string]int
}

func (k *book) sent(id string, h *bed.Host) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hostOf[id] = h.Name
}

// arrive records that a request has reached the replica.
func (k *book) arrive(b *bed.Bed, id string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	host := k.hostOf[id]
	since := at.Sub(k.refusedAt[host])
	if since > slack && since < retryAfter {
		k.broken[host]++
		b.Log("request %s of %s reaches the replica %d ms after it has answered that host 503 with Retry-After: %.0f", id, host,
			since.Milliseconds(), retryAfter.Seconds())
	}
}

// refuse records that the replica turns a request away.
func (k *book) refuse(b *bed.Bed, id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refusedAt[k.hostOf[id]] = time.Now()
	b.Log("the replica turns request %s of %s away", id, k.hostOf[id])
}

func main() { bed.Main(run) }

func run(b *bed.Bed) (int, error) {
	k := &book{hostOf: map[string]string{}, refusedAt: map[string]time.Time{}, broken: map[string]int{}}
	var full atomic.Pointer[bed.Replica]
	d, err := b.Deploy(bed.Size{Hosts: 3, Replicas: 3}, bed.LookupService, bed.LookupConfig(), func(r *bed.Replica) {
		r.Handle = func(w http.ResponseWriter, req *http.Request, _ string) {
			if full.Load() == r {
				k.refuse(b, req.Header.Get("Cicadapitch-Request-Id"))
				w.Header().Set("Cicadapitch-Not-Executed", "1")
				w.Header().Set("Retry-After", strconv.Itoa(int(retryAfter.Seconds())))
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			time.Sleep(workTime)
			bed.Seal(w, r.ID)
			_, _ = io.WriteString(w, "free") // the requester notices
		}
	})
	if err != nil {
		return bed.Unusable, err
	}
	d.Replicas[0].OnArrival = func(id string, at time.Time) { k.arrive(b, id, at) }
	served := atomic.Int32{}
	load := d.StartLoad(perSecond, func(h *bed.Host) {
		if ask(k, h) {
			served.Add(1)
		}
	})
	time.Sleep(warmUp)
	full.Store(d.Replicas[0])
	time.Sleep(needTime)
	full.Store(nil)
	key := "op/evacuate/" + bed.Zones[0]
	if bed.Trouble() {
		d.Store.Set(key, map[string]any{})
	}
	time.Sleep(evacuated)
	if bed.Trouble() {
		d.Store.Remove(key)
	}
	time.Sleep(tail)
	load.Stop()
	if served.Load() < 100 || len(k.refusedAt) == 0 {
		return bed.Unusable, errors.New("the hosts did not serve, or nothing was turned away")
	}
	most := 0
	for _, n := range k.broken {
		most = max(most, n)
	}
	return b.Verdict(most > allowed, "a host sent %d requests in the time for which the replica wanted nothing; %d are allowed", most, allowed)
}

// ask sends a lookup and reports whether it was answered.
func ask(k *book, h *bed.Host) bool {
	req := bed.NewLookup()
	k.sent(req.ID, h)
	resp, err := bed.Send(context.Background(), h.Address(), req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}
