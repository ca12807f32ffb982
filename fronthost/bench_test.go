package fronthost_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// BenchmarkRequest measures requests one after the other over one host: what a host far from its memory limit
// adds to a request.
func BenchmarkRequest(b *testing.B) {
	d := newDeployment(b, 1)
	d.setConfiguration(platformtest.PlainStreamRoute)
	time.Sleep(300 * time.Millisecond)
	for _, c := range []struct {
		name, method, path, body string
		filler                   int
	}{
		{"Short", "GET", "/look/a", "", 0},
		{"Body8KB", "POST", "/book/a", strings.Repeat("b", 8<<10), 0},
		{"Answer2MB", "GET", "/look/a", "", 2 << 20},
		{"Stream", "POST", "/feed/a", "", 0},
	} {
		b.Run(c.name, func(b *testing.B) {
			for _, id := range []string{"p1", "p2"} {
				d.endpoints[id].SetFiller(c.filler)
			}
			b.ReportAllocs()
			for b.Loop() {
				d.benchmarkRequest(b, c.method, c.path, c.body)
			}
		})
	}
}

// benchmarkRequest sends a request to host 0 and reads its answer.
func (d *deployment) benchmarkRequest(b *testing.B, method, path, body string) {
	req := d.newRequest(0, method, path, newID())
	if path == "/feed/a" {
		req = d.newStreamRequest(0, path, newID(), "")
	}
	req.Body = strings.NewReader(body)
	r, err := d.trySend(req)
	if err != nil {
		b.Fatal(err)
	}
	defer r.Body.Close()
	if _, err := io.Copy(io.Discard, r.Body); err != nil || r.StatusCode != http.StatusOK {
		b.Fatal(r.StatusCode, err)
	}
}
