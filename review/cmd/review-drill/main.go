// Command review-drill restores the store from a copy while endpoints join, and then lets the endpoint
// that joined last leave.
package main

import (
	"fmt"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/review/rig"
)

const (
	hosts = 3
	// contactTime, drainTime and sendTime are contact_ms, drain_ms, and the time that a request may take
	// from a host to an endpoint.
	contactTime = 3 * time.Second
	drainTime   = 2 * time.Second
	sendTime    = 100 * time.Millisecond
	// changes are the configurations that the operator writes in copyAge, which is how old the copy is.
	changes  = 10
	copyAge  = 4 * time.Second
	downTime = time.Second
	// servesOn is how long the endpoint serves after it has said that it leaves.
	servesOn = 6 * time.Second
)

func main() { rig.Run(run) }

func run(c *rig.Case) (bool, error) {
	c.Store.Put("op/config", rig.NewConfig(1))
	for i := range 3 {
		if _, err := join(c, i+1); err != nil {
			return false, err
		}
	}
	if err := c.StartHosts(hosts); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	stop := make(chan struct{})
	var traffic sync.WaitGroup
	for _, h := range c.Hosts {
		caller := rig.NewCaller(h, rig.Key)
		traffic.Go(func() { send(c, caller, stop) })
	}
	leaving, err := change(c)
	if err == nil {
		time.Sleep(contactTime + time.Second)
		leave(c, leaving)
	}
	close(stop)
	traffic.Wait()
	if err != nil {
		return false, err
	}
	return late(c, leaving), nil
}

// endpoint is an endpoint and when the store accepted its word that it leaves.
type endpoint struct {
	*rig.Endpoint
	leftAt time.Time
}

// join starts an endpoint and registers it.
func join(c *rig.Case, n int) (*endpoint, error) {
	e, err := rig.NewEndpoint(c.Store, fmt.Sprintf("i-%04d", n), "booking", fmt.Sprintf("z%d", (n-1)%3+1))
	if err != nil {
		return nil, err
	}
	c.OnClose(e.Close)
	c.Printf("%s joins at revision %d", e.ID, e.Register("ready"))
	return &endpoint{Endpoint: e}, nil
}

// change lets the operator change the configuration and an endpoint join. With the trouble, the store is
// then away and comes back from a copy taken before these changes, and both write again what was lost.
func change(c *rig.Case) (*endpoint, error) {
	before := c.Store.Copy()
	c.Printf("the copy is taken at revision %d", c.Store.Revision())
	newest := rig.NewConfig(1)
	for range changes {
		time.Sleep(copyAge / (changes + 1))
		newest.Version += 2
		newest.Routes[1].TimeoutMs += 10
		c.Printf("configuration %d at revision %d", newest.Version, c.Store.Put("op/config", newest))
	}
	e, err := join(c, 4)
	if err != nil {
		return nil, err
	}
	time.Sleep(copyAge / (changes + 1))
	if !c.Trouble {
		return e, nil
	}
	c.Store.SetDown(true)
	c.Printf("the store is away at revision %d", c.Store.Revision())
	time.Sleep(downTime)
	c.Store.Restore(before)
	c.Store.SetDown(false)
	c.Printf("the store is back from the copy at revision %d", c.Store.Revision())
	c.Printf("configuration %d again at revision %d", newest.Version, c.Store.Put("op/config", newest))
	c.Printf("%s again at revision %d", e.ID, e.Register("ready"))
	return e, nil
}

// leave lets an endpoint say that it leaves, serve on for a while and end.
func leave(c *rig.Case, e *endpoint) {
	revision := e.Register("draining")
	e.leftAt = time.Now()
	c.Printf("%s is draining, confirmed at revision %d", e.ID, revision)
	time.Sleep(servesOn)
	e.Close()
	c.Printf("%s ends; its entry is removed at revision %d", e.ID, c.Store.Remove("servers/"+e.ID))
	time.Sleep(time.Second)
}

// send sends bookings one after the other until stop is closed.
func send(c *rig.Case, caller *rig.Caller, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		a := caller.Send("POST", "/book/court", nil)
		c.Printf("%s sent at %s: %s", a.ID, a.SentAt.Format("05.000"), a)
	}
}

// late reports whether a request reached the endpoint too late.
func late(c *rig.Case, e *endpoint) bool {
	n := 0
	for _, a := range e.Arrivals() {
		after := a.At.Sub(e.leftAt)
		c.Printf("%s ran %s, %d ms after it said that it leaves", e.ID, a.Request, after.Milliseconds())
		if after > drainTime+sendTime {
			n++
		}
	}
	c.Printf("%d requests reached %s later than drain_ms", n, e.ID)
	return n > 0
}
