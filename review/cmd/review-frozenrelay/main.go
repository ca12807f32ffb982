// Command review-frozenrelay sends a request that crashes the endpoints which begin to run it, while one of the
// hosts stands still for some seconds, and counts how often it reaches endpoints later.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"cicadapitch.example/cicadapitch/review/rig"
)

const (
	hosts     = 5
	endpoints = 18
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// frozenTime is how long the last host stands still. The bad request first comes freezeLead after its stop.
	frozenTime = 2500 * time.Millisecond
	freezeLead = 50 * time.Millisecond
	// badPath is the path of the bad request. One caller of each host but the frozen one sends it and repeats it
	// after repeatPause, waves times, wavePause apart. Another one sends sound requests, one every soundPause.
	badPath     = "/look/bad"
	badBody     = "the request that crashes"
	waves       = 3
	repeatPause = 200 * time.Millisecond
	wavePause   = 6 * time.Second
	soundPause  = 200 * time.Millisecond
	// countedCrash is the crash after which the bound begins to hold, allowed the number of retries from then on.
	countedCrash = 3
	allowed      = 3
	// downTime is how long an endpoint is away after a crash.
	downTime = 2 * time.Second
)

func main() { rig.Run(run) }

// badRequest is what the endpoints saw of the bad request.
type badRequest struct {
	c *rig.Case

	mu               sync.Mutex
	crashes, arrived []time.Time
}

func run(c *rig.Case) (bool, error) {
	c.Store.Put("op/config", rig.NewConfig(1))
	b := &badRequest{c: c}
	for i := range endpoints {
		e, err := rig.NewEndpoint(c.Store, fmt.Sprintf("i-%04d", i+1), "booking", fmt.Sprintf("z%d", i%3+1))
		if err != nil {
			return false, err
		}
		c.OnClose(e.Close)
		e.SetAnswer(func(_ http.ResponseWriter, r *http.Request) bool { return b.run(e, r) })
		e.Register("ready")
	}
	if err := c.StartHosts(hosts); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	calm := c.Hosts[:hosts-1]
	var sound sync.WaitGroup
	for i, h := range calm {
		sound.Go(func() { sendSound(c, h, i, stop) })
	}
	time.Sleep(time.Second)
	if c.Trouble {
		frozen := c.Hosts[hosts-1]
		frozen.Signal(syscall.SIGSTOP)
		c.Printf("%s stands still", frozen.Name)
		time.AfterFunc(frozenTime, func() {
			frozen.Signal(syscall.SIGCONT)
			c.Printf("%s goes on", frozen.Name)
		})
	}
	time.Sleep(freezeLead)
	for range waves {
		sendWave(c, calm)
		time.Sleep(wavePause)
	}
	close(stop)
	sound.Wait()
	return b.late() > allowed, nil
}

// sendWave sends the bad request to each of the hosts, repeats it once and waits for the answers.
func sendWave(c *rig.Case, hosts []*rig.Host) {
	var wg sync.WaitGroup
	for _, h := range hosts {
		for i := range 2 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * repeatPause)
				caller := rig.NewCaller(h, rig.Key)
				caller.Body = badBody
				a := caller.Send("POST", badPath, nil)
				c.Printf("%s bad request at %s: %s", a.ID, h.Name, a)
			})
		}
	}
	wg.Wait()
}

// sendSound sends sound requests to a host until stop is closed.
func sendSound(c *rig.Case, h *rig.Host, index int, stop <-chan struct{}) {
	caller := rig.NewCaller(h, rig.Key)
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(soundPause):
		}
		a := caller.Send("POST", fmt.Sprintf("/look/%d-%d", index, i), nil)
		c.Printf("%s sound request: %s", a.ID, a)
	}
}

// run runs the bad request, under which the endpoint ends, and reports whether it was that one.
func (b *badRequest) run(e *rig.Endpoint, r *http.Request) bool {
	if !strings.HasPrefix(r.URL.Path, badPath) {
		return false
	}
	b.mu.Lock()
	now := time.Now()
	b.arrived = append(b.arrived, now)
	if e.Crash(downTime) {
		b.crashes = append(b.crashes, now)
	}
	b.mu.Unlock()
	b.c.Printf("%s the bad request reaches %s", r.Header.Get("Cicadapitch-Request-Id"), e.ID)
	panic(http.ErrAbortHandler)
}

// late returns how often the bad request reached an endpoint later than contactTime after the crash that counts.
func (b *badRequest) late() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	if len(b.crashes) >= countedCrash {
		from := b.crashes[countedCrash-1].Add(contactTime)
		for _, at := range b.arrived {
			if at.After(from) {
				n++
			}
		}
	}
	b.c.Printf("%d crashes; the bad request reached endpoints %d times, %d of them later than contact_ms after crash %d",
		len(b.crashes), len(b.arrived), n, countedCrash)
	return n
}
