// Command earlyanswer sends requests with long bodies to sound replicas that begin to answer before they have read the
// whole body, keep the channel and read the rest when their stream has ended. One host is stopped as planned meanwhile.
package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/review/bed-3"
)

const (
	// bodyBytes is the size of each request's body, below max_body_bytes of the configuration.
	bodyBytes = 2 << 20
	// readFirst is what a replica reads of a body before it answers.
	readFirst = 64 << 10
	// eventCount and eventPause make a stream that lasts for 4 s, well within grace_s.
	eventCount = 20
	eventPause = 200 * time.Millisecond
	// requestCount is the number of requests while nothing is planned, stopCount that of those at a host that gets
	// SIGTERM. Each has a channel that was used before.
	requestCount = 12
	stopCount    = 4
	deadline     = 12 * time.Second
	// mostUnanswered is how many requests the rule allows to end without an answer at any time. Around planned work it
	// allows none.
	mostUnanswered = 3
)

const config = `{"version":1,"routes":[
 {"name":"import","host":"h.example","prefix":"/import/","kind":"streaming","timeout_ms":12000,"target_latency_ms":1400,"target_gap_ms":250,"service":"importer","max_attempts":1,"stream_resume":false}],
 "services":[{"name":"importer","health_path":"/health","max_connections":270,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"club","api_keys":["key-1"]}]}`

func main() { bed3.Main(run) }

func run(b *bed3.Bed) (bool, error) {
	b.Store.Set(platformtest.ConfigKey, []byte(config))
	for i, zone := range []string{"z1", "z2", "z3"} {
		if _, err := b.AddReplica(fmt.Sprintf("i-%d", i+1), "importer", zone, "v1", func(x *bed3.Exchange) bool { return serve(b, x) }); err != nil {
			return false, err
		}
	}
	for _, zone := range []string{"z1", "z2", "z3"} {
		if _, err := b.AddHost(zone, b.Store.Address()); err != nil {
			return false, err
		}
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(3500 * time.Millisecond) // contact_ms: the hosts are in touch
	unanswered, err := send(b, requestCount, func(i int) *bed3.Host { return b.Hosts[i%len(b.Hosts)] }, func() {})
	if err != nil {
		return false, err
	}
	b.Record("at any time: %d of %d requests that were passed on ended without a whole answer; the rule allows %d", unanswered, requestCount, mostUnanswered)
	stopped := b.Hosts[0]
	cut, err := send(b, stopCount, func(int) *bed3.Host { return stopped }, func() {
		time.Sleep(500 * time.Millisecond)
		b.Record("%s gets SIGTERM", stopped.Name)
		stopped.Signal(syscall.SIGTERM)
	})
	b.Record("around a planned stop: %d of %d requests that were passed on ended without a whole answer; the rule allows none", cut, stopCount)
	return unanswered > mostUnanswered || cut > 0, err
}

// send sends requests at once, each to the host that hostOf returns, and calls meanwhile once all have been sent. It returns
// how many ended without a whole answer.
func send(b *bed3.Bed, n int, hostOf func(i int) *bed3.Host, meanwhile func()) (unanswered int, err error) {
	var (
		wg sync.WaitGroup
		mu sync.Mutex
	)
	for i := range n {
		wg.Go(func() {
			whole, failed := request(b, hostOf(i))
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, failed)
			if !whole {
				unanswered++
			}
		})
	}
	meanwhile()
	wg.Wait()
	return unanswered, err
}

// serve answers with a stream. With the disruption it reads the body's rest at the end.
func serve(b *bed3.Bed, x *bed3.Exchange) bool {
	if b.Trouble {
		_, _ = io.CopyN(io.Discard, x.Request.Body, readFirst)
	} else {
		_, _ = io.Copy(io.Discard, x.Request.Body)
	}
	b.Record("replica %s runs %s", x.Replica.ID, x.ID)
	if err := x.WriteHead("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"); err != nil {
		return false
	}
	for i := 1; i <= eventCount && (i == 1 || x.Request.ContentLength == bodyBytes); i++ {
		if err := x.WriteChunk(fmt.Sprintf("id: %d\ndata: part %d\n\n", i, i)); err != nil {
			b.Record("replica %s: the channel of %s broke after %d events: %v", x.Replica.ID, x.ID, i-1, err)
			return false
		}
		time.Sleep(eventPause)
	}
	err := x.WriteChunk("")
	n, readErr := io.Copy(io.Discard, x.Request.Body)
	b.Record("replica %s has ended the stream of %s (%v) and read the last %d bytes of its body (%v)", x.Replica.ID, x.ID, err, n, readErr)
	return err == nil && readErr == nil
}

// request uses a channel once with a short body, and then for the request that counts. It reports whether the whole
// answer came.
func request(b *bed3.Bed, h *bed3.Host) (bool, error) {
	c, err := bed3.Dial(h.Address())
	if err != nil {
		return false, err
	}
	defer c.Close()
	for _, size := range []int{10, bodyBytes} {
		id := bed3.NewID()
		sent := time.Now()
		whole, n, err := exchange(c, id, size)
		b.Record("requester: %s with %d bytes at %s: whole %t, %d bytes of the answer after %d ms: %v", id, size, h.Name, whole, n, time.Since(sent).Milliseconds(), err)
		if size == bodyBytes {
			return whole, nil
		}
		if !whole {
			return false, fmt.Errorf("the first request of a channel failed: %w", err)
		}
	}
	return false, nil
}

// exchange sends a request and reads its answer. It reports whether that is a success and whole.
func exchange(c *bed3.Channel, id string, size int) (whole bool, n int, err error) {
	if err := c.Send(http.MethodPost, "/import/a", id, deadline, "", make([]byte, size)); err != nil {
		return false, 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(deadline))
	r, err := c.ReadHead(http.MethodPost)
	if err != nil {
		return false, 0, err
	}
	body, err := io.ReadAll(r.Body)
	return err == nil && r.StatusCode == http.StatusOK, len(body), err
}
