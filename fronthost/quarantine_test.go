package fronthost_test

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

const (
	// contactTime is StablePeriod of the hosts.
	contactTime = 3 * time.Second
	// maxLateArrivals is how many requests with a crashing part may reach endpoints later
	// than contactTime after the fifth crash.
	maxLateArrivals = 3
	// badPart is the part of prompts that crashes engines.
	badPart = "bad"
)

// addEngines starts further engines.
func (d *deployment) addEngines(n int) {
	for i := range n {
		d.addEngine(fmt.Sprintf("x%d", i), "v1")
	}
	time.Sleep(200 * time.Millisecond)
}

// crashEnginesOn makes all engines crash on a part of prompts.
func (d *deployment) crashEnginesOn(part string) {
	for _, e := range d.endpoints {
		if e.Service == "engine" {
			e.CrashOn(part, 700*time.Millisecond)
		}
	}
}

// prompt returns the parts of a prompt that shares its first part with all others.
func prompt(shared ...string) string {
	text := "first"
	for _, part := range append(shared, newID()) {
		text += "," + part
	}
	return text
}

// ask sends a request for a stream with a prompt to host i and reports whether the whole
// answer came.
func (d *deployment) ask(i int, path, prompt string) bool {
	return d.askAt(d.hostSettings[i].CallerListen, path, prompt)
}

// askAt is ask for the host that listens at the address.
func (d *deployment) askAt(address, path, prompt string) bool {
	req := platformtest.CallerRequest{
		ID: newID(), Method: "POST", Address: address, Path: path, Host: "h.example", Key: "key-1", Deadline: 3000,
		Tokens: "100,50", Pieces: "0,0", PieceKey: "abc", Prompt: prompt,
	}
	r, err := d.trySend(req)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil && r.StatusCode == 200
}

// askRepeatedly calls ask for random prompts at all hosts in turn, once in each interval,
// until stop is closed.
func (d *deployment) askRepeatedly(interval time.Duration, stop <-chan struct{}, newPrompt func() string) {
	d.repeat(interval, 1, stop, func(address string) { d.askAt(address, "/plan/a", newPrompt()) })
}

// repeat calls send n times at once with the addresses of the present hosts in turn, once in
// each interval, until stop is closed.
func (d *deployment) repeat(interval time.Duration, n int, stop <-chan struct{}, send func(address string)) {
	addresses := lo.Map(d.hostSettings, func(s *platform.Settings, _ int) string { return s.CallerListen })
	go func() {
		for next := 0; ; {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			for range n {
				go send(addresses[next%len(addresses)])
				next++
			}
		}
	}()
}

// lateArrivals returns how many requests with badPart reached engines later than
// contactTime after the fifth crash.
func (d *deployment) lateArrivals() int {
	return d.lateAfter(5, "engine", func(e *platformtest.Endpoint) []time.Time { return e.PartArrivals(badPart) })
}

// lateAfter returns how many of the arrivals at the endpoints of a service came later than
// contactTime after the given number of their crashes.
func (d *deployment) lateAfter(crashCount int, service string, arrivalsAt func(*platformtest.Endpoint) []time.Time) int {
	var crashes, arrivals []time.Time
	for _, e := range d.endpoints {
		if e.Service == service {
			crashes = append(crashes, e.Crashes()...)
			arrivals = append(arrivals, arrivalsAt(e)...)
		}
	}
	if len(crashes) < crashCount {
		return 0
	}
	slices.SortFunc(crashes, time.Time.Compare)
	n := 0
	for _, at := range arrivals {
		if at.After(crashes[crashCount-1].Add(contactTime)) {
			n++
		}
	}
	return n
}

// joinHosts starts n more hosts, which know nothing, waits until they are ready and
// returns the index of the first.
func (d *deployment) joinHosts(n int) int {
	first := len(d.hostSettings)
	subnet := nextSubnet.Add(1)
	for i := range n {
		d.startHost(platformtest.LoopbackAddress(int(subnet), i+1), first+i)
	}
	for i := range n {
		require.Eventually(d.t, func() bool { return d.ready(first + i) }, 5*time.Second, 20*time.Millisecond)
	}
	return first
}

func badPrompt() string { return prompt(badPart, newID()) }

// TestPartThatCrashesEnginesIsQuarantined guards against engines that crash one after the
// other under requests with one part in their prompts. Sound requests with the same first
// part and key must be served all the while.
func TestPartThatCrashesEnginesIsQuarantined(t *testing.T) {
	d := newDeployment(t, 8)
	d.addEngines(10)
	d.crashEnginesOn(badPart)
	stop := make(chan struct{})
	d.askRepeatedly(150*time.Millisecond, stop, badPrompt)
	soundPrompt := func() string { return prompt(newID()) }
	d.askRepeatedly(60*time.Millisecond, stop, soundPrompt)
	time.Sleep(7 * time.Second)
	served := 0
	for i := range 40 {
		if d.ask(i%8, "/plan/a", soundPrompt()) {
			served++
		}
	}
	close(stop)
	require.LessOrEqual(t, d.lateArrivals(), maxLateArrivals)
	require.Equal(t, 40, served, "sound requests with the same first part and key")
}

// TestRepeatsOfACrashingPartAreQuarantined lets the hosts repeat the requests themselves:
// the route allows two attempts and streams that resume.
func TestRepeatsOfACrashingPartAreQuarantined(t *testing.T) {
	d := newDeployment(t, 4)
	d.addEngines(10)
	d.crashEnginesOn(badPart)
	end := time.Now().Add(7 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		go d.ask(n%4, "/answer/a", badPrompt())
		time.Sleep(150 * time.Millisecond)
	}
	require.LessOrEqual(t, d.lateArrivals(), maxLateArrivals)
}

// TestQuarantineHoldsAcrossRestartsAndJoins restarts all hosts at once after a part was
// quarantined, and adds one.
func TestQuarantineHoldsAcrossRestartsAndJoins(t *testing.T) {
	d := newDeployment(t, 3)
	d.addEngines(10)
	d.crashEnginesOn(badPart)
	stop := make(chan struct{})
	defer close(stop)
	d.askRepeatedly(150*time.Millisecond, stop, badPrompt)
	time.Sleep(5 * time.Second)
	for _, cancel := range d.cancels {
		cancel()
	}
	first := d.joinHosts(4)
	time.Sleep(contactTime + time.Second)
	for i := range 8 {
		d.ask(first+i%4, "/plan/a", badPrompt())
	}
	require.LessOrEqual(t, d.lateArrivals(), maxLateArrivals)
}

// TestQuarantineNeedsNoStore takes the store away before a part begins to crash engines,
// and brings it back afterwards.
func TestQuarantineNeedsNoStore(t *testing.T) {
	d := newDeployment(t, 4)
	d.addEngines(10)
	time.Sleep(500 * time.Millisecond)
	d.store.SetDown(true)
	d.crashEnginesOn(badPart)
	stop := make(chan struct{})
	defer close(stop)
	d.askRepeatedly(150*time.Millisecond, stop, badPrompt)
	time.Sleep(6 * time.Second)
	d.store.SetDown(false)
	time.Sleep(3 * time.Second)
	joined := d.joinHosts(1)
	time.Sleep(contactTime + time.Second)
	for range 8 {
		d.ask(joined, "/plan/a", badPrompt())
	}
	require.LessOrEqual(t, d.lateArrivals(), maxLateArrivals)
}

// TestPartsInUseWhenAZoneIsLostAreServed crashes most engines at once, twice, while many
// requests share a part. Requests with that part must be served as before.
func TestPartsInUseWhenAZoneIsLostAreServed(t *testing.T) {
	d := newDeployment(t, 4)
	d.addEngines(10)
	for _, e := range d.endpoints {
		if e.Service == "engine" {
			e.SetDelay(150 * time.Millisecond)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	d.askRepeatedly(25*time.Millisecond, stop, func() string { return prompt("hot") })
	for range 3 {
		time.Sleep(time.Second)
		for id, e := range d.endpoints {
			if e.Service == "engine" && id != "e1" && id != "x1" {
				e.Crash(500 * time.Millisecond)
			}
		}
	}
	time.Sleep(1500 * time.Millisecond)
	served := 0
	for i := range 20 {
		if d.ask(i%4, "/plan/a", prompt("hot")) {
			served++
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, 20, served)
}
