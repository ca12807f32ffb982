// Command review-splitstreams kills all hosts while callers read streams of a route to two services, and lets
// the callers take their streams up again.
package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/review/rig"
)

const (
	hosts = 3
	// contactTime is contact_ms.
	contactTime = 3 * time.Second
	// streams is the number of streams that run when the hosts are killed.
	streams = 30
	// events and gap make a stream last for 4 s.
	events = 40
	gap    = 100 * time.Millisecond
	// readFor is how long the streams have run when they break, downTime how long the hosts are away.
	readFor  = 1200 * time.Millisecond
	downTime = time.Second
	margin   = 700 * time.Millisecond
	// leftMillis is less than what is left of the callers' time when they come back.
	leftMillis = "5000"
)

func main() { rig.Run(run) }

func run(c *rig.Case) (bool, error) {
	config := rig.NewConfig(1)
	route := rig.Route{
		Name: "ask", Host: "h.example", Prefix: "/ask/", Kind: "streaming", TimeoutMs: 12000, TargetLatencyMs: 1900, TargetGapMs: 250,
		MaxAttempts: 2, StreamResume: true, SessionAffinity: true,
	}
	for i, name := range []string{"llm-a", "llm-b"} {
		config.Services = append(config.Services, rig.Service{
			Name: name, HealthPath: "/health", MaxConnections: 270, Engine: map[string]int{"slots": 64, "kv_capacity_tokens": 400000},
		})
		route.TrafficSplit = append(route.TrafficSplit, rig.Split{Service: name, Weight: 1})
		for n := range 2 {
			e, err := rig.NewEndpoint(c.Store, fmt.Sprintf("i-%d%d", i+1, n+1), name, fmt.Sprintf("z%d", n+1))
			if err != nil {
				return false, err
			}
			c.OnClose(e.Close)
			e.SetAnswer(func(w http.ResponseWriter, r *http.Request) bool { return stream(w, r, e.Service) })
			e.Register("ready")
		}
	}
	config.Routes = append(config.Routes, route)
	c.Store.Put("op/config", config)
	if err := c.StartHosts(hosts); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	broken := readStreams(c)
	if err := restart(c); err != nil {
		return false, err
	}
	time.Sleep(contactTime + margin)
	return lost(c, broken), nil
}

// stream answers with the events after the last one that the caller has.
func stream(w http.ResponseWriter, r *http.Request, service string) bool {
	w.Header().Set("Content-Type", "text/event-stream")
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	for i := after + 1; i <= events && r.Context().Err() == nil; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, service, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(gap)
	}
	return true
}

// readStreams begins the streams and returns their first parts. They break off when the hosts are killed, or
// without the trouble when the callers close them.
func readStreams(c *rig.Case) []rig.Answer {
	out := make([]rig.Answer, streams)
	var wg sync.WaitGroup
	for i := range out {
		caller := rig.NewCaller(c.Hosts[i%hosts], rig.Key)
		wg.Go(func() {
			out[i] = caller.SendFor(readFor, "POST", fmt.Sprintf("/ask/%d", i), header(i))
			c.Printf("%s first part: %s, last event %s", out[i].ID, out[i], out[i].LastEvent())
		})
	}
	if c.Trouble {
		time.Sleep(readFor / 2)
		for _, h := range c.Hosts {
			h.Kill()
		}
		c.Printf("all hosts are killed")
	}
	wg.Wait()
	return out
}

// restart starts the hosts again if they were killed.
func restart(c *rig.Case) error {
	if !c.Trouble {
		return nil
	}
	time.Sleep(downTime)
	for _, h := range c.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	err := rig.AwaitReady(c.Hosts)
	c.Printf("all hosts are ready again")
	return err
}

// header returns the header of a request for stream i.
func header(i int) map[string]string {
	return map[string]string{
		"Cicadapitch-Model": "m", "Cicadapitch-Token-Counts": "60,40", "Cicadapitch-Prompt-Prefix": fmt.Sprintf("aa:30,s%d:20,b%d:30", i, i),
		"Cicadapitch-Deadline-Ms": "12000",
	}
}

// lost lets the callers take their streams up and begins new ones, and reports whether less than half as many of
// the former go on as of the latter begin.
func lost(c *rig.Case, broken []rig.Answer) bool {
	var (
		wg                       sync.WaitGroup
		mu                       sync.Mutex
		asked, goOn, begun, made int
	)
	for i, first := range broken {
		caller := rig.NewCaller(c.Hosts[(i+1)%hosts], rig.Key)
		wg.Go(func() {
			again := header(i)
			again["Last-Event-Id"], again["Resumes"], again["Cicadapitch-Deadline-Ms"] = first.LastEvent(), first.ID, leftMillis
			rest := caller.SendFor(readFor, "POST", fmt.Sprintf("/ask/%d", i), again)
			fresh := caller.SendFor(readFor, "POST", fmt.Sprintf("/ask/new%d", i), header(i))
			c.Printf("%s taken up after event %s as %s: %s, last event %s; new stream %s: %s", first.ID, first.LastEvent(), rest.ID, rest, rest.LastEvent(), fresh.ID, fresh)
			mu.Lock()
			defer mu.Unlock()
			made++
			if fresh.LastEvent() != "" {
				begun++
			}
			if first.LastEvent() == "" {
				return
			}
			asked++
			if rest.LastEvent() != "" {
				goOn++
			}
		})
	}
	wg.Wait()
	c.Printf("%d of %d streams that were taken up go on, %d of %d new ones begin", goOn, asked, begun, made)
	return asked >= 12 && 2*goOn*made < begun*asked
}
