// Command lastkey takes the API keys of all tenants away, one after the other, and then sends requests with a key that
// was taken away, with one that no configuration ever held, and without one.
package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/review/bed-3"
)

const (
	// applyTime is config_apply_ms, from which on requests are handled by the newest version, and some time to spare.
	applyTime = 2500 * time.Millisecond
	// revokeGap is the time between two versions that take a key away.
	revokeGap = time.Second
	deadline  = 2500 * time.Millisecond
	// rounds is how often each host gets each kind of request.
	rounds = 5
	// foreignKey is in no configuration.
	foreignKey = "9dnn2ctnfzs989anu6ws"
)

// config returns a version of the configuration in which the tenants have the given keys, each as a list in JSON.
func config(version int, clubKeys, schoolKeys string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
 {"name":"book","host":"h.example","prefix":"/book/","kind":"unsafe","timeout_ms":2500,"target_latency_ms":150,"service":"booking","max_attempts":1}],
 "services":[{"name":"booking","health_path":"/health","max_connections":48,"cold_start_s":0,"cold_per_s":0}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"club","api_keys":%s,"priority":1},{"name":"school","api_keys":%s,"priority":1}]}`, version, clubKeys, schoolKeys)
}

func main() { bed3.Main(run) }

// runs records which requests the replicas have run.
type runs struct {
	mu     sync.Mutex
	tenant map[string]string
}

// of returns the tenant that a replica was told for a request, and whether one ran it.
func (r *runs) of(id string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tenant, ok := r.tenant[id]
	return tenant, ok
}

// serve books.
func (r *runs) serve(x *bed3.Exchange) bool {
	_, _ = io.Copy(io.Discard, x.Request.Body)
	r.mu.Lock()
	r.tenant[x.ID] = x.Request.Header.Get("Cicadapitch-Tenant")
	r.mu.Unlock()
	if x.WriteHead("Content-Length: 6\r\n") != nil {
		return false
	}
	_, err := io.WriteString(x.Conn, "booked")
	return err == nil
}

func run(b *bed3.Bed) (bool, error) {
	r := &runs{tenant: map[string]string{}}
	b.Store.Set(platformtest.ConfigKey, config(1, `["key-1"]`, `["key-2"]`))
	for i, zone := range []string{"z1", "z2", "z3"} {
		if _, err := b.AddReplica(fmt.Sprintf("i-%d", i+1), "booking", zone, "v1", r.serve); err != nil {
			return false, err
		}
		if _, err := b.AddHost(zone, b.Store.Address()); err != nil {
			return false, err
		}
	}
	if err := b.AwaitReady(20 * time.Second); err != nil {
		return false, err
	}
	if n := r.send(b, "before", "key-1"); n == 0 {
		return false, fmt.Errorf("no request with a valid key runs")
	}
	if n := r.send(b, "before", foreignKey); n > 0 {
		return true, nil
	}
	b.Store.Set(platformtest.ConfigKey, config(2, `[]`, `["key-2"]`))
	b.Record("version 2 is confirmed: the tenant club has no key")
	time.Sleep(revokeGap)
	if b.Trouble {
		b.Store.Set(platformtest.ConfigKey, config(3, `[]`, `[]`))
		b.Record("version 3 is confirmed: the tenant school has no key either")
	}
	time.Sleep(applyTime)
	withRevoked := r.send(b, "after", "key-1")
	withForeign := r.send(b, "after", foreignKey)
	withNone := r.send(b, "after", "")
	b.Record("ran after config_apply_ms: %d requests with a key that was taken away, %d with a key that no configuration ever held, %d without a key",
		withRevoked, withForeign, withNone)
	return withForeign > 0, nil
}

// send sends requests with a key, or without one if it is empty, to all hosts and returns how many ran.
func (r *runs) send(b *bed3.Bed, when, key string) int {
	ran := 0
	for range rounds {
		for _, h := range b.Hosts {
			id := bed3.NewID()
			status, err := book(h, id, key)
			tenant, ok := r.of(id)
			b.Record("%s: %s at %s with key %q: status %d, ran %t for tenant %q: %v", when, id, h.Name, key, status, ok, tenant, err)
			if ok {
				ran++
			}
		}
	}
	return ran
}

// book sends a request and returns the status of its answer.
func book(h *bed3.Host, id, key string) (int, error) {
	c, err := bed3.Dial(h.Address())
	if err != nil {
		return 0, err
	}
	defer c.Close()
	c.Key = key
	if err := c.Send(http.MethodPost, "/book/court-1", id, deadline, "", []byte("saturday")); err != nil {
		return 0, err
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(deadline))
	answer, err := c.ReadHead(http.MethodPost)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode, err
}
