// Command badpart sends requests with a part of a prompt that crashes replicas, beside sound requests that share the
// caller and the other parts. The bad part stands between two that all requests share.
package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/review/bed-3"
)

const (
	replicaCount = 3
	// downTime is how long a replica that has crashed is away.
	downTime   = 2 * time.Second
	eventCount = 8
	eventPause = 60 * time.Millisecond
	deadline   = 12 * time.Second
	// contact is contact_ms of the settings.
	contact = 3 * time.Second
	// soundPause is the time between two sound requests, from the start to the end.
	soundPause = 700 * time.Millisecond
	// calmTime is how long there are only these.
	calmTime = 20 * time.Second
	// batchPause is the time between two bad requests of a batch that lasts for batchTime, laterPause that between those
	// that still come for laterTime.
	batchPause, batchTime = 100 * time.Millisecond, 8 * time.Second
	laterPause, laterTime = 400 * time.Millisecond, 26 * time.Second
	// judgedCrash is the crash from which the rule counts, leastJudged the number of requests that it needs.
	judgedCrash = 5
	leastJudged = 20
)

const config = `{"version":1,"routes":[
 {"name":"answer","host":"h.example","prefix":"/answer/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1900,"target_gap_ms":250,"service":"llm","max_attempts":2,"stream_resume":true,"session_affinity":true}],
 "services":[{"name":"llm","health_path":"/health","max_connections":270,"cold_start_s":0,"cold_per_s":0,"engine":{"slots":64,"kv_capacity_tokens":473108}}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"club","api_keys":["key-1"]}]}`

func main() { bed3.Main(run) }

// attempt is a requester's first attempt at a sound request.
type attempt struct {
	sentAt time.Time
	begun  bool
}

// play is the state of a run.
type play struct {
	bed      *bed3.Bed
	requests sync.WaitGroup

	mu      sync.Mutex
	crashes []time.Time
	sound   []attempt
	bad     []time.Time
}

func run(b *bed3.Bed) (bool, error) {
	p := &play{bed: b}
	b.Store.Set(platformtest.ConfigKey, []byte(config))
	for i, zone := range []string{"z1", "z2", "z3"} {
		if i < replicaCount {
			if _, err := b.AddReplica(fmt.Sprintf("i-%d", i+1), "llm", zone, "v1", p.serve); err != nil {
				return false, err
			}
		}
		if _, err := b.AddHost(zone, b.Store.Address()); err != nil {
			return false, err
		}
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(contact) // the hosts are in touch
	var senders sync.WaitGroup
	senders.Go(func() {
		p.repeat(soundPause, calmTime+batchTime+laterTime, func(i int) { p.sendSound(i) })
	})
	time.Sleep(calmTime)
	badAt := time.Now()
	b.Record("a batch of requests with the bad part begins")
	p.repeat(batchPause, batchTime, p.sendBad)
	b.Record("the batch has ended; some requests with the bad part still come")
	p.repeat(laterPause, laterTime, p.sendBad)
	senders.Wait()
	p.requests.Wait()
	return p.judge(badAt), nil
}

// repeat calls f in goroutines, with a pause after each, for a time.
func (p *play) repeat(pause, lasts time.Duration, f func(i int)) {
	t := time.NewTicker(pause)
	defer t.Stop()
	for i := range int(lasts / pause) {
		p.requests.Go(func() { f(i) })
		<-t.C
	}
}

// serve answers with a stream, or crashes the replica if the prompt has the bad part.
func (p *play) serve(x *bed3.Exchange) bool {
	_, _ = io.Copy(io.Discard, x.Request.Body)
	if x.WriteHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") != nil {
		return false
	}
	if p.bed.Trouble && strings.Contains(x.Request.Header.Get("Cicadapitch-Prompt-Prefix"), ",badd:") {
		p.mu.Lock()
		p.crashes = append(p.crashes, time.Now())
		n := len(p.crashes)
		p.mu.Unlock()
		p.bed.Record("crash %d: replica %s as it begins to answer %s", n, x.Replica.ID, x.ID)
		x.Replica.Crash(downTime)
		return false
	}
	for i := 1; i <= eventCount; i++ {
		if x.WriteChunk(fmt.Sprintf("id: %d\ndata: %d\n\n", i, i)) != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	return x.WriteChunk("") == nil
}

// sendSound sends a request about one of five documents.
func (p *play) sendSound(i int) {
	id, at := bed3.NewID(), time.Now()
	status, reason, err := p.request(i, id, fmt.Sprintf("sys:900,doc%d:400,tmpl:300,%s:50", i%5, id))
	p.bed.Record("sound request %s: status %d %s %v", id, status, reason, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sound = append(p.sound, attempt{at, status == http.StatusOK})
}

// sendBad sends a request with the bad part.
func (p *play) sendBad(i int) {
	id, at := bed3.NewID(), time.Now()
	status, _, err := p.request(i, id, fmt.Sprintf("sys:900,badd:400,tmpl:300,%s:50", id))
	p.bed.Record("bad request %s: status %d %v", id, status, err)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.bad = append(p.bad, at)
}

// request sends a request with a prompt, and returns the status of its answer and the reason of a failure.
func (p *play) request(i int, id, prompt string) (status int, reason string, err error) {
	c, err := bed3.Dial(p.bed.Hosts[i%len(p.bed.Hosts)].Address())
	if err != nil {
		return 0, "", err
	}
	defer c.Close()
	headers := "Cicadapitch-Model: m\r\nCicadapitch-Token-Counts: 1650,40\r\nCicadapitch-Prompt-Prefix: " + prompt + "\r\n"
	if err := c.Send(http.MethodPost, "/answer/a", id, deadline, headers, []byte(id)); err != nil {
		return 0, "", err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(deadline))
	r, err := c.ReadHead(http.MethodPost)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(r.Body)
	if r.StatusCode != http.StatusOK {
		reason = strings.TrimSpace(string(body))
	}
	return r.StatusCode, reason, err
}

// judge applies the rule: from twice contact_ms after the fifth crash, sound requests begin at the first attempt at least
// half as often as before.
func (p *play) judge(badAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	from := badAt
	if n := len(p.crashes); n > 0 {
		from = p.crashes[min(n, judgedCrash)-1].Add(2 * contact)
	}
	var before, after, begunBefore, begunAfter, bad int
	for _, a := range p.sound {
		begun := 0
		if a.begun {
			begun = 1
		}
		switch {
		case a.sentAt.Before(badAt):
			before, begunBefore = before+1, begunBefore+begun
		case a.sentAt.After(from):
			after, begunAfter = after+1, begunAfter+begun
		}
	}
	for _, at := range p.bad {
		if at.After(from) {
			bad++
		}
	}
	p.bed.Record("%d crashes; sound requests began %d of %d times before, and %d of %d times from %.1f s after the first bad one on, beside %d bad ones",
		len(p.crashes), begunBefore, before, begunAfter, after, from.Sub(badAt).Seconds(), bad)
	judged := before >= leastJudged && after >= leastJudged && bad >= leastJudged
	return judged && float64(begunAfter)/float64(after) < float64(begunBefore)/float64(before)/2
}
