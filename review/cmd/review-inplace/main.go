// Command review-inplace lets a replica come back under its id with another software version while the store is down,
// and counts the streams that hold events of two versions.
package main

import (
	"bufio"
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"cicadapitch.example/cicadapitch/review/bed"
)

const (
	perSecond  = 48
	eventCount = 50
	eventTime  = 60 * time.Millisecond
	warmUp     = 6 * time.Second
	// outage is how long the store is down. A replica crashes as it begins and is down for downTime; another one crashes
	// secondCrash after that.
	outage      = 8 * time.Second
	downTime    = 2 * time.Second
	secondCrash = 7 * time.Second
	// tail is how long requests go on after the outage.
	tail = 3 * time.Second
	// allowed is how many streams may hold events of two versions.
	allowed = 2
)

// result is what a requester got of one stream.
type result struct {
	id string
	// parts are the versions and replicas in the order of their events.
	parts []string
	// versions are the different versions of the events.
	versions map[string]bool
	ending   string
}

func main() { bed.Main(run) }

func run(b *bed.Bed) (int, error) {
	d, err := b.Deploy(bed.Size{Hosts: 3, Replicas: 4}, bed.StreamService, bed.StreamConfig(true, 2, 0), func(r *bed.Replica) {
		r.Handle = func(w http.ResponseWriter, req *http.Request, version string) {
			after, _ := strconv.Atoi(req.Header.Get("Last-Event-Id")) // 0 without the header
			bed.Seal(w, r.ID)
			bed.WriteEvents(w, req, after+1, eventCount, eventTime, version+" "+r.ID)
		}
	})
	if err != nil {
		return bed.Unusable, err
	}
	var mu sync.Mutex
	var results []result
	load := d.StartLoad(perSecond, func(h *bed.Host) {
		res := ask(h)
		mu.Lock()
		defer mu.Unlock()
		results = append(results, res)
	})
	time.Sleep(warmUp)
	if bed.Trouble() {
		d.Store.GoDown(false)
	}
	first, second := d.Replicas[0], d.Replicas[1]
	first.Stop()
	time.Sleep(downTime)
	if err := first.Restart("v2"); err != nil {
		return bed.Unusable, err
	}
	if !bed.Trouble() {
		d.Store.Set(first.Key(), first.Entry("ready"))
	}
	time.Sleep(secondCrash - downTime)
	second.Stop()
	time.Sleep(outage - secondCrash)
	if bed.Trouble() {
		d.Store.ComeBack()
		d.Store.Set(first.Key(), first.Entry("ready"))
	}
	time.Sleep(tail)
	load.Stop()
	return judge(b, results)
}

// judge counts the streams that hold events of two versions.
func judge(b *bed.Bed, results []result) (int, error) {
	mixed, ofNew, endings := 0, 0, map[string]int{}
	for _, res := range results {
		endings[res.ending]++
		if res.versions["v2"] {
			ofNew++
		}
		if len(res.versions) > 1 {
			mixed++
			b.Log("stream %s holds events of two versions: %s (%s)", res.id, strings.Join(res.parts, ", "), res.ending)
		}
	}
	b.Log("streams: %v; with events of version v2: %d", endings, ofNew)
	if endings["whole"] < 100 {
		return bed.Unusable, errors.New("the hosts did not serve")
	}
	return b.Verdict(mixed > allowed, "%d of %d streams hold events of two software versions; %d are allowed", mixed, len(results), allowed)
}

// ask requests a stream and reads it to its end.
func ask(h *bed.Host) result {
	req := bed.NewStreamRequest()
	res := result{id: req.ID, versions: map[string]bool{}}
	ctx, cancel := context.WithTimeout(context.Background(), req.Deadline)
	defer cancel()
	resp, err := bed.Send(ctx, h.Address(), req)
	if err != nil {
		res.ending = "no answer"
		return res
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		res.ending = resp.Status
		return res
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if n := len(res.parts); n == 0 || res.parts[n-1] != data {
			res.parts = append(res.parts, data)
		}
		version, _, _ := strings.Cut(data, " ")
		res.versions[version] = true
	}
	res.ending = "whole"
	if lines.Err() != nil {
		res.ending = "broken off"
	}
	return res
}
