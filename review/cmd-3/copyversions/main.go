// Command copyversions takes streams up again after all hosts were killed and the store has come back from a copy that is
// older than the first replica of a software version.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/review/bed-3"
	"cicadapitch.example/cicadapitch/standin"
)

const (
	eventCount = 40
	eventPause = 200 * time.Millisecond
	// streamCount is the number of streams that break off and are taken up again.
	streamCount = 60
	deadline    = 12 * time.Second
	// storeAway is how long the store is away before it comes back from the copy.
	storeAway = 500 * time.Millisecond
	// loss is when the hosts are killed and the store goes away, from the start of the replica of the new version. The store
	// is back shortly after a check-in of the replica.
	loss = 4400 * time.Millisecond
	// tries is how often a requester takes its stream up, and pause the least time between two tries.
	tries = 6
	pause = 300 * time.Millisecond
	// allowed is the number of streams that may hold events of two versions.
	allowed = 2
)

const config = `{"version":1,"routes":[
 {"name":"draft","host":"h.example","prefix":"/draft/","service":"writer","kind":"streaming","timeout_ms":12000,"target_latency_ms":1400,"target_gap_ms":250,"max_attempts":2,"stream_resume":true}],
 "services":[{"name":"writer","health_path":"/health","max_connections":270,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"club","api_keys":["key-1"]}]}`

func main() { bed3.Main(run) }

func run(b *bed3.Bed) (bool, error) {
	b.Store.Set(platformtest.ConfigKey, []byte(config))
	zones := []string{"z1", "z2", "z3"}
	add := func(id, zone, version string) error {
		_, err := b.AddReplica(id, "writer", zone, version, func(x *bed3.Exchange) bool { return serve(b, x) })
		return err
	}
	for i, zone := range zones {
		if err := add(fmt.Sprintf("writer-old-%d", i+1), zone, "v1"); err != nil {
			return false, err
		}
	}
	if err := startHosts(b, zones); err != nil {
		return false, err
	}
	older := b.Store.Copy()
	b.Record("the store is copied")
	began := time.Now()
	b.Record("a replica of v2 joins")
	if err := add("writer-new-1", "z1", "v2"); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	broken := make(chan struct{})
	requesters := make([]*requester, 0, streamCount)
	var streams sync.WaitGroup
	for i := range streamCount {
		r := &requester{bed: b, number: i, broken: broken, versions: map[string]bool{}}
		requesters = append(requesters, r)
		streams.Go(r.run)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Until(began.Add(loss)))
	trouble(b, older)
	close(broken)
	streams.Wait()
	mixed, again := 0, 0
	for _, r := range requesters {
		if len(r.versions) > 1 {
			mixed++
		}
		if r.wentOn {
			again++
		}
	}
	b.Record("%d of %d streams went on; %d streams hold events of two versions, %d are allowed", again, streamCount, mixed, allowed)
	return mixed > allowed, nil
}

// startHosts starts six hosts and waits until they are in touch.
func startHosts(b *bed3.Bed, zones []string) error {
	for i := range 6 {
		if _, err := b.AddHost(zones[i%3], b.Store.Address()); err != nil {
			return err
		}
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return err
	}
	time.Sleep(3500 * time.Millisecond) // contact_ms
	return nil
}

// trouble kills all hosts, and lets the store come back from a copy.
func trouble(b *bed3.Bed, older standin.StoreCopy) {
	if b.Trouble && os.Getenv("DRILL") != "0" {
		b.Record("the store is away")
		b.Store.SetDown(true)
		time.AfterFunc(storeAway, func() {
			b.Store.Restore(older)
			b.Store.SetDown(false)
			b.Record("the store is back from the copy")
		})
	}
	if b.Trouble && os.Getenv("LOSS") != "0" {
		b.Record("all hosts are killed")
		for _, h := range b.Hosts {
			h.Signal(syscall.SIGKILL)
		}
	}
}

// serve answers with a stream that goes on after the event that the request names.
func serve(b *bed3.Bed, x *bed3.Exchange) bool {
	_, _ = io.Copy(io.Discard, x.Request.Body)
	last := x.Request.Header.Get("Last-Event-Id")
	first, _ := strconv.Atoi(last) // 0 without one
	b.Record("replica %s (%s) runs %s, last event %q, resumes %q", x.Replica.ID, x.Replica.Version, x.ID, last, x.Request.Header.Get("Resumes"))
	if x.WriteHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") != nil {
		return false
	}
	for i := first + 1; i <= eventCount; i++ {
		if x.WriteChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, x.Replica.Version)) != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	return x.WriteChunk("") == nil
}

// requester has a stream that breaks off, and takes it up again.
type requester struct {
	bed    *bed3.Bed
	number int
	// broken is closed when the requesters' channels break, if the hosts have not ended them.
	broken <-chan struct{}
	// versions holds the versions of the replicas that made the stream's events. wentOn is true if the stream was taken up.
	versions map[string]bool
	wentOn   bool
}

func (r *requester) run() {
	id, start := bed3.NewID(), time.Now()
	c, answer, err := open(r.bed, r.number, id, deadline, "")
	if err != nil || answer.StatusCode != http.StatusOK {
		r.bed.Record("requester %d: the stream %s did not begin: %v", r.number, id, err)
		return
	}
	go func() {
		<-r.broken
		c.Close()
	}()
	last := r.read(answer, eventCount)
	if last == 0 {
		r.bed.Record("requester %d: %s has no event", r.number, id)
		return
	}
	for range tries {
		time.Sleep(pause)
		if left := deadline - time.Since(start); left > 0 && r.takeUp(id, last, left) {
			return
		}
	}
}

// read reads up to n events, notes the versions that made them, and returns the number of the last one.
func (r *requester) read(answer *http.Response, n int) int {
	last, reader := 0, bufio.NewReader(answer.Body)
	for range n {
		number, version, err := readEvent(reader)
		if err != nil {
			break
		}
		r.versions[version] = true
		last = number
	}
	return last
}

// takeUp takes the stream up again, and reports whether it went on.
func (r *requester) takeUp(first string, last int, left time.Duration) bool {
	id := bed3.NewID()
	c, answer, err := open(r.bed, r.number, id, left, fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first))
	if err != nil {
		r.bed.Record("requester %d: taking %s up as %s failed: %v", r.number, first, id, err)
		return false
	}
	defer c.Close()
	if answer.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(answer.Body)
		r.bed.Record("requester %d: taking %s up as %s: status %d: %s", r.number, first, id, answer.StatusCode, strings.TrimSpace(string(reason)))
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64) // 0 without one
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), left/3))
		return false
	}
	r.wentOn = r.read(answer, 3) > last
	r.bed.Record("requester %d: taking %s up as %s after event %d: went on: %t, versions of the whole stream: %v", r.number, first, id, last, r.wentOn, r.versions)
	return r.wentOn
}

// open asks a directory for a host, opens a channel and sends a request. It returns the head of the answer.
func open(b *bed3.Bed, number int, id string, left time.Duration, headers string) (*bed3.Channel, *http.Response, error) {
	h := b.Hosts[number%len(b.Hosts)]
	addresses, err := h.Resolve(h.Zone)
	if err != nil {
		return nil, nil, err
	}
	c, err := bed3.Dial(addresses[number%len(addresses)])
	if err != nil {
		return nil, nil, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(left))
	err = c.Send(http.MethodPost, "/draft/a", id, left, headers, []byte("a draft"))
	if err == nil {
		var r *http.Response
		if r, err = c.ReadHead(http.MethodPost); err == nil {
			return c, r, nil
		}
	}
	c.Close()
	return nil, nil, err
}

// readEvent reads the next event of a stream and returns its number and its data.
func readEvent(r *bufio.Reader) (int, string, error) {
	event, data := 0, ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, "", err
		}
		if line = strings.TrimSpace(line); line == "" {
			return event, data, nil
		}
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			if event, err = strconv.Atoi(number); err != nil {
				return 0, "", err
			}
		}
		if text, ok := strings.CutPrefix(line, "data: "); ok {
			data = text
		}
	}
}
