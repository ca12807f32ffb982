// Command copyresume takes streams of a service with two software versions up again after the store has come back from an
// older copy and, later, all hosts have lost power.
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
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/review/bed-3"
)

const (
	eventCount = 40
	eventPause = 250 * time.Millisecond
	// streamCount is the number of streams that are taken up again, and of new ones that begin beside them.
	streamCount = 40
	deadline    = 12 * time.Second
	// gap is how long a requester waits for the next event: four times the route's objective of 1.4 s.
	gap = 5600 * time.Millisecond
	// tries is how often a requester sends a request that is refused.
	tries = 4
	// storeAway is how long the store is away before it comes back from the copy.
	storeAway = 500 * time.Millisecond
	// untilLoss is how long the store has been back when the machines lose power, downTime how long they have none.
	untilLoss = 2500 * time.Millisecond
	downTime  = time.Second
	// leastJudged is the number of streams from which on the rule judges their share.
	leastJudged = 12
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
	for _, version := range []string{"v1", "v2"} {
		for i := range 2 {
			if _, err := b.AddReplica(fmt.Sprintf("writer-%s-%d", version, i+1), "writer", zones[i], version, func(x *bed3.Exchange) bool { return serve(b, x) }); err != nil {
				return false, err
			}
		}
	}
	if err := startHosts(b, zones); err != nil {
		return false, err
	}
	older := b.Store.Copy()
	b.Record("the store is copied")
	silent := make(chan struct{})
	requesters := make([]*requester, 0, streamCount)
	var streams sync.WaitGroup
	for i := range streamCount {
		r := &requester{bed: b, number: i, silent: silent}
		requesters = append(requesters, r)
		streams.Go(r.run)
		time.Sleep(40 * time.Millisecond)
	}
	time.Sleep(time.Second) // the records of the streams are stored
	if b.Trouble && os.Getenv("DRILL") != "0" {
		b.Record("the store is away")
		b.Store.SetDown(true)
		time.Sleep(storeAway)
		b.Store.Restore(older)
		b.Store.SetDown(false)
		b.Record("the store is back from the copy")
	} else {
		time.Sleep(storeAway)
	}
	time.Sleep(untilLoss)
	close(silent)
	b.Record("the requesters' channels fall silent")
	if b.Trouble && os.Getenv("LOSS") != "0" {
		b.Record("all machines lose power")
		for _, h := range b.Hosts {
			h.PowerOff(downTime)
		}
	}
	time.Sleep(gap)
	began := beginStreams(b)
	streams.Wait()
	return judge(b, requesters, began), nil
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

// judge applies the rule: of streams that are taken up again, at least half the share of new ones that begin goes on.
func judge(b *bed3.Bed, requesters []*requester, began int) bool {
	takenUp, wentOn := 0, 0
	for _, r := range requesters {
		if r.takenUp {
			takenUp++
		}
		if r.wentOn {
			wentOn++
		}
	}
	b.Record("%d streams were taken up again, %d of them went on; %d of %d new streams began", takenUp, wentOn, began, streamCount)
	return takenUp >= leastJudged && float64(wentOn)/float64(takenUp) < float64(began)/float64(streamCount)/2
}

// beginStreams begins new streams and returns how many did begin.
func beginStreams(b *bed3.Bed) int {
	var (
		wg    sync.WaitGroup
		mu    sync.Mutex
		began int
	)
	for i := range streamCount {
		wg.Go(func() {
			id := bed3.NewID()
			c, r, err := open(b, i, id, deadline, "")
			if err != nil {
				b.Record("new stream %s: %v", id, err)
				return
			}
			defer c.Close()
			event, err := readEvent(bufio.NewReader(r.Body))
			b.Record("new stream %s: status %d, event %d: %v", id, r.StatusCode, event, err)
			mu.Lock()
			defer mu.Unlock()
			if r.StatusCode == http.StatusOK && event == 1 {
				began++
			}
		})
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	return began
}

// serve answers with a stream that goes on after the event that the request names.
func serve(b *bed3.Bed, x *bed3.Exchange) bool {
	_, _ = io.Copy(io.Discard, x.Request.Body)
	last := x.Request.Header.Get("Last-Event-Id")
	first, _ := strconv.Atoi(last) // 0 without one
	b.Record("replica %s runs %s, last event %q, resumes %q", x.Replica.ID, x.ID, last, x.Request.Header.Get("Resumes"))
	if x.WriteHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n") != nil {
		return false
	}
	for i := first + 1; i <= eventCount; i++ {
		if x.WriteChunk(fmt.Sprintf("id: %d\ndata: %s %d\n\n", i, x.Replica.Version, i)) != nil {
			return false
		}
		time.Sleep(eventPause)
	}
	return x.WriteChunk("") == nil
}

// requester has a stream, and takes it up again once its channel has been silent for too long.
type requester struct {
	bed    *bed3.Bed
	number int
	// silent is closed when nothing more comes on the requester's channels that are open.
	silent <-chan struct{}
	// takenUp is true if the stream was taken up again, wentOn if it went on with the next event.
	takenUp, wentOn bool
}

func (r *requester) run() {
	id, start := bed3.NewID(), time.Now()
	c, answer, err := open(r.bed, r.number, id, deadline, "")
	if err != nil || answer.StatusCode != http.StatusOK {
		r.bed.Record("requester %d: the stream %s did not begin: %v", r.number, id, err)
		return
	}
	last := r.follow(answer)
	c.Close()
	if last == 0 || last == eventCount {
		r.bed.Record("requester %d: %s has %d events", r.number, id, last)
		return
	}
	r.takenUp = true
	for range tries {
		next, left := bed3.NewID(), deadline-time.Since(start)
		pause, ok := r.takeUp(next, id, last, left)
		if ok || left <= 0 {
			return
		}
		time.Sleep(min(pause, left/3))
	}
}

// follow reads events until the channel falls silent, and returns the last one after the time of the gap.
func (r *requester) follow(answer *http.Response) int {
	events := make(chan int)
	go func() {
		defer close(events)
		for reader := bufio.NewReader(answer.Body); ; {
			event, err := readEvent(reader)
			if err != nil {
				return
			}
			select {
			case events <- event:
			case <-r.silent:
				return
			}
		}
	}()
	for last := 0; ; {
		select {
		case event, ok := <-events:
			if ok {
				last = event
				continue
			}
			<-r.silent // what ends the channel now does not reach the requester
		case <-r.silent:
		}
		time.Sleep(gap)
		return last
	}
}

// takeUp takes the stream up again, and reports whether it went on. Otherwise it returns the time to wait.
func (r *requester) takeUp(id, first string, last int, left time.Duration) (time.Duration, bool) {
	c, answer, err := open(r.bed, r.number, id, left, fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", last, first))
	if err != nil {
		r.bed.Record("requester %d: taking %s up as %s failed: %v", r.number, first, id, err)
		return time.Second, false
	}
	defer c.Close()
	if answer.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(answer.Body)
		r.bed.Record("requester %d: taking %s up as %s: status %d, Retry-After %s: %s", r.number, first, id, answer.StatusCode, answer.Header.Get("Retry-After"), strings.TrimSpace(string(reason)))
		seconds, _ := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64) // 0 without one
		return time.Duration(seconds * float64(time.Second)), false
	}
	event, err := readEvent(bufio.NewReader(answer.Body))
	r.bed.Record("requester %d: taking %s up as %s after event %d: goes on with event %d: %v", r.number, first, id, last, event, err)
	r.wentOn = err == nil && event == last+1
	return 0, r.wentOn
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

// readEvent reads the next event of a stream and returns its number.
func readEvent(r *bufio.Reader) (int, error) {
	event := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if line = strings.TrimSpace(line); line == "" {
			return event, nil
		}
		if number, ok := strings.CutPrefix(line, "id: "); ok {
			if event, err = strconv.Atoi(number); err != nil {
				return 0, err
			}
		}
	}
}
