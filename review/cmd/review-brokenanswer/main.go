// Command review-brokenanswer lets engines break off error answers to streams that may be taken up again.
package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/review/rig"
)

const (
	engines  = 3
	requests = 40
	// faulty is the engine that is at fault. Each failureEvery-th run there fails.
	faulty       = "i-0001"
	failureEvery = 3
	events       = 6
	// errorBody is the body of the engine's error answer, of which half is sent.
	errorBody = `{"error":"the model runner failed","retry":false}`
)

func main() { rig.Run(run) }

// failures decides which runs fail, and holds the answers that were broken off.
type failures struct {
	mu     sync.Mutex
	seen   int
	broken map[string]string
}

// fails reports whether a run at an engine fails. The second run of a request does not.
func (f *failures) fails(id, engine string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, again := f.broken[id]; again || engine != faulty {
		return false
	}
	f.seen++
	if f.seen%failureEvery != 0 {
		return false
	}
	f.broken[id] = engine
	return true
}

func run(c *rig.Case) (bool, error) {
	config := rig.NewConfig(1)
	config.Services = append(config.Services, rig.Service{
		Name: "llm", HealthPath: "/health", MaxConnections: 200, Engine: map[string]int{"slots": 64, "kv_capacity_tokens": 400000},
	})
	config.Routes = append(config.Routes, rig.Route{
		Name: "ask", Host: "h.example", Prefix: "/ask/", Kind: "streaming", TimeoutMs: 12000, TargetLatencyMs: 1900, TargetGapMs: 250,
		Service: "llm", MaxAttempts: 2, StreamResume: true, SessionAffinity: true,
	})
	c.Store.Put("op/config", config)
	f := &failures{broken: map[string]string{}}
	for i := range engines {
		e, err := rig.NewEndpoint(c.Store, fmt.Sprintf("i-%04d", i+1), "llm", fmt.Sprintf("z%d", i+1))
		if err != nil {
			return false, err
		}
		c.OnClose(e.Close)
		e.SetAnswer(func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("Cicadapitch-Request-Id")
			if c.Trouble && f.fails(id, e.ID) {
				breakOff(w)
			}
			stream(w, r, e.ID)
			return true
		})
		e.Register("ready")
	}
	if err := c.StartHosts(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	mixed := 0
	for i := range requests {
		caller := rig.NewCaller(c.Hosts[i%len(c.Hosts)], rig.Key)
		a := caller.Send("POST", fmt.Sprintf("/ask/%d", i), map[string]string{
			"Cicadapitch-Model": "m", "Cicadapitch-Token-Counts": "60,40", "Cicadapitch-Prompt-Prefix": fmt.Sprintf("aa:30,s%d:20,b%d:30", i, i),
		})
		c.Printf("%s: %s\n%s", a.ID, a, a.Body)
		if isMixed(c, f, a) {
			mixed++
		}
		time.Sleep(50 * time.Millisecond)
	}
	c.Printf("%d answers that were broken off look complete", mixed)
	return mixed > 0, nil
}

// breakOff begins an error answer in chunks, and closes the connection in the middle of it.
func breakOff(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusInternalServerError)
	fmt.Fprint(w, errorBody[:len(errorBody)/2])
	_ = http.NewResponseController(w).Flush()
	time.Sleep(20 * time.Millisecond)
	panic(http.ErrAbortHandler)
}

// stream answers with a whole stream of events.
func stream(w http.ResponseWriter, r *http.Request, engine string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for i := 1; i <= events; i++ {
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, engine, i)
		_ = http.NewResponseController(w).Flush()
		time.Sleep(10 * time.Millisecond)
	}
}

// isMixed reports whether a caller got a whole answer that no engine has given as a whole.
func isMixed(c *rig.Case, f *failures, a rig.Answer) bool {
	f.mu.Lock()
	engine, broken := f.broken[a.ID]
	f.mu.Unlock()
	if !broken || a.Err != nil {
		return false
	}
	c.Printf("%s: %s broke off its answer with status 500; the caller got a complete answer with status %d", a.ID, engine, a.Status)
	return a.Status == http.StatusInternalServerError && (a.Body != errorBody || strings.Contains(a.Body, "data:")) && a.Header.Get("Cicadapitch-Response-Seal") != ""
}
