// Command review-silentwatch lets the hosts' open connections to the store fall silent and then changes
// the configuration.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/review/rig"
)

const (
	hosts = 3
	// contactTime and applyTime are contact_ms and config_apply_ms.
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	// margin is added to both.
	margin = 200 * time.Millisecond
	// watchTime is how long after applyTime requests are sent.
	watchTime = 3 * time.Second
	// oldKey is the key that the last configuration does not have any more.
	oldKey = "key-of-club-2"
)

func main() { rig.Run(run) }

func run(c *rig.Case) (bool, error) {
	config := rig.NewConfig(1)
	config.Tenants[0].Keys = append(config.Tenants[0].Keys, oldKey)
	c.Store.Put("op/config", config)
	var endpoints []*rig.Endpoint
	for i := range 3 {
		e, err := rig.NewEndpoint(c.Store, fmt.Sprintf("i-%04d", i+1), "booking", fmt.Sprintf("z%d", i+1))
		if err != nil {
			return false, err
		}
		c.OnClose(e.Close)
		e.Register("ready")
		endpoints = append(endpoints, e)
	}
	if err := c.StartHosts(hosts); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	config.Version = 3
	config.Routes[1].TimeoutMs += 100
	c.Printf("configuration 3 at revision %d", c.Store.Put("op/config", config))
	time.Sleep(time.Second)
	if c.Trouble {
		for _, p := range c.Proxies {
			p.SilenceOpen()
		}
		c.Printf("the open connections to the store fall silent")
	}
	time.Sleep(contactTime + margin)
	config.Version = 6
	config.Tenants[0].Keys = []string{rig.Key}
	added := config.Routes[1]
	added.Name, added.Prefix = "new", "/new/"
	config.Routes = append(config.Routes, added)
	c.Printf("configuration 6 with a new route and without the key %s confirmed at revision %d", oldKey, c.Store.Put("op/config", config))
	time.Sleep(applyTime + margin)
	return check(c, endpoints), nil
}

// check sends requests to each host and reports whether one was handled as only the configuration before allows.
func check(c *rig.Case, endpoints []*rig.Endpoint) bool {
	var (
		wg  sync.WaitGroup
		mu  sync.Mutex
		bad int
	)
	for _, h := range c.Hosts {
		wg.Go(func() {
			current, old := rig.NewCaller(h, rig.Key), rig.NewCaller(h, oldKey)
			for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				added, dropped := current.Send("GET", "/new/slots", nil), old.Send("POST", "/book/court", nil)
				c.Printf("%s %s: new route %s, dropped key %s", h.Name, dropped.ID, added, dropped)
				mu.Lock()
				if added.Status == http.StatusNotFound {
					bad++
				}
				if dropped.Status == http.StatusOK {
					bad++
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for _, e := range endpoints {
		for _, a := range e.Arrivals() {
			c.Printf("%s ran %s %s", e.ID, a.Path, a.Request)
		}
	}
	c.Printf("%d requests were handled by the old configuration later than config_apply_ms", bad)
	return bad > 0
}
