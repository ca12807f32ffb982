package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fleet"
	"cicadapitch.example/cicadapitch/internal/answer"
	"cicadapitch.example/cicadapitch/peer"
	"cicadapitch.example/cicadapitch/platform"
)

const (
	// hedgeDelay is how long a direct attempt to connect may take before a relay is asked.
	hedgeDelay cicadapitch.Millis = 150
	// relayTimeout bounds the attempt to connect over one relay.
	relayTimeout cicadapitch.Millis = 600
	// maxRelays is the number of relays that are asked for a connection in vain, unless they are refused.
	maxRelays = 2
	// maxRefusals is the number of refused relays from which on an endpoint counts as down. Relays may be
	// cut off too.
	maxRefusals = 4
	// probeTimeout bounds a direct attempt that only tests a path.
	probeTimeout cicadapitch.Millis = 300
	// probeConcurrency is the number of such attempts at once.
	probeConcurrency = 16
)

var (
	// errNoRelay means that no other host relays connections.
	errNoRelay = errors.New("no other host is there to relay the connection")
	// errRefused means that a relay reaches the endpoint's machine, which refuses connections.
	errRefused = errors.New("the endpoint refuses connections of the relay too")
)

// Fleet provides the hosts that can relay.
type Fleet interface {
	// Relays returns other hosts that are not known to be cut off, the best ones for the
	// endpoint at an address first.
	Relays(address string) []fleet.Host
	// Dialer makes the calls to other hosts, or is nil before there are any.
	Dialer() *peer.Dialer
	// Relaying reports whether a host is still one of those that can relay.
	Relaying(h fleet.Host) bool
	// EndpointAddresses returns the addresses of all endpoints.
	EndpointAddresses() []string
}

// Dialer opens connections to endpoints, directly or over a relay. Create it with NewDialer.
type Dialer struct {
	self   cicadapitch.HostID
	direct platform.DialFunc
	table  *Table
	fleet  Fleet
	clock  cicadapitch.Clock
	log    zerolog.Logger
	// probing is true while Probe runs.
	probing atomic.Bool
}

// NewDialer returns a dialer for a host that connects directly with the given function.
func NewDialer(self cicadapitch.HostID, direct platform.DialFunc, table *Table, f Fleet, clock cicadapitch.Clock, log zerolog.Logger) *Dialer {
	return &Dialer{self: self, direct: direct, table: table, fleet: f, clock: clock, log: log}
}

// attempt is the result of an attempt to connect.
type attempt struct {
	conn    net.Conn
	err     error
	relayed bool
}

// DialContext opens a connection to an endpoint. If the direct attempt fails or takes long, it
// asks relays, which come first for an endpoint whose path is Relayed.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	switch d.table.State(d.clock.Now(), address) {
	case Down:
		return d.dialDirect(ctx, network, address)
	case Relayed:
		if c, err := d.dialRelayed(ctx, address); err == nil {
			return c, nil
		}
		return d.dialDirect(ctx, network, address)
	}
	return d.race(ctx, network, address)
}

// race starts a direct attempt, and one over a relay if the first fails or takes long. It
// returns the connection that opens first.
func (d *Dialer) race(ctx context.Context, network, address string) (net.Conn, error) {
	results := make(chan attempt, 2)
	// The direct attempt goes on if a relay is faster, since its result tells the state of the path.
	go func() {
		c, err := d.dialDirect(context.WithoutCancel(ctx), network, address)
		results <- attempt{c, err, false}
	}()
	running, asked := 1, false
	ask := func() {
		asked = true
		running++
		go func() {
			c, err := d.dialRelayed(ctx, address)
			results <- attempt{c, err, true}
		}()
	}
	hedge := time.NewTimer(hedgeDelay.Duration())
	defer hedge.Stop()
	var directErr error
	for {
		select {
		case <-ctx.Done():
			go closeRest(results, running)
			return nil, context.Cause(ctx)
		case <-hedge.C:
			if !asked && d.table.MayHedge(d.clock.Now(), address) {
				ask()
			}
		case r := <-results:
			running--
			if !r.relayed {
				directErr = r.err
			}
			switch {
			case r.err == nil:
				go closeRest(results, running)
				return r.conn, nil
			case !r.relayed && !asked:
				ask()
			case running == 0:
				return nil, directErr
			}
		}
	}
}

// closeRest closes the connections of attempts that came too late.
func closeRest(results <-chan attempt, n int) {
	for range n {
		if r := <-results; r.conn != nil {
			r.conn.Close()
		}
	}
}

// dialDirect connects directly and records the result.
func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.direct(ctx, network, address)
	if err == nil || ctx.Err() == nil {
		d.record(func() { d.table.RecordDirect(d.clock.Now(), address, err == nil) })
	}
	return c, err
}

// dialRelayed connects over one of the first relays that reaches the address, and records the
// result.
func (d *Dialer) dialRelayed(ctx context.Context, address string) (net.Conn, error) {
	dialer := d.fleet.Dialer()
	relays := d.fleet.Relays(address)
	if dialer == nil || len(relays) == 0 {
		return nil, errNoRelay
	}
	var (
		lastErr         error
		failed, refused int
	)
	for _, h := range relays {
		c, err := d.openAt(ctx, dialer, h, address)
		if err == nil {
			d.record(func() { d.table.RecordRelayed(d.clock.Now(), address, true) })
			return c, nil
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		lastErr = err
		if errors.Is(err, errRefused) {
			refused++
		} else {
			failed++
		}
		if failed == maxRelays || refused == maxRefusals {
			break
		}
	}
	if refused > 0 {
		lastErr = errRefused
	}
	d.record(func() { d.table.RecordRelayed(d.clock.Now(), address, false) })
	return nil, lastErr
}

// record runs a change of the table, and tests the paths to the other endpoints if the host
// has just found out that it is cut off from one.
func (d *Dialer) record(change func()) {
	addresses := d.fleet.EndpointAddresses()
	before := d.table.Relayed(addresses)
	change()
	if before == 0 && d.table.Relayed(addresses) > 0 {
		go d.Probe(addresses)
	}
}

// openAt opens a connection to an endpoint over one relay.
func (d *Dialer) openAt(ctx context.Context, dialer *peer.Dialer, h fleet.Host, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout.Duration())
	defer cancel()
	reply, err := peer.Call[OpenRequest, OpenReply](ctx, dialer, h.Peers, callOpen, OpenRequest{d.self, address})
	if err != nil {
		return nil, err
	}
	if reply.Refused {
		return nil, errRefused
	}
	c, err := platform.DialEndpoint(ctx, "tcp", h.Peers)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	if err := takeOver(ctx, c, reply.Token); err != nil {
		c.Close()
		return nil, err
	}
	return &conn{TCPConn: c.(*net.TCPConn), dialer: d, relay: h, address: address}, nil
}

// takeOver asks the relay at c for the connection with a token.
func takeOver(ctx context.Context, c net.Conn, token string) error {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.RemoteAddr().String()+Path+token, nil)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	r.Header.Set("Connection", "Upgrade")
	r.Header.Set("Upgrade", "relay")
	checked := answer.NewConn(c)
	if err := r.Write(checked); err != nil {
		return cicadapitch.Wrap(err)
	}
	// What follows the header is the endpoint's and must stay in c.
	resp, err := http.ReadResponse(bufio.NewReader(byteReader{checked}), r)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		return cicadapitch.NewNotRun("the relay has closed the connection", busyRetryAfter)
	}
	return nil
}

// byteReader reads one byte at a time, so that a buffer in front of it holds no more than was
// asked for.
type byteReader struct{ io.Reader }

// Read implements io.Reader.
func (r byteReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), 1)]) }

// conn is a relayed connection.
type conn struct {
	*net.TCPConn
	dialer  *Dialer
	relay   fleet.Host
	address string
}

// Relayed reports that the connection ends with its relay too, in order even if the endpoint has
// not ended its answer.
func (c *conn) Relayed() bool { return true }

// Outdated reports whether the endpoint is reached directly again or the relay leaves, so that the
// connection is not worth keeping.
func (c *conn) Outdated() bool {
	return c.dialer.table.State(c.dialer.clock.Now(), c.address) != Relayed || !c.dialer.fleet.Relaying(c.relay)
}

// Probe tests the direct paths to addresses, and asks relays for those that fail.
func (d *Dialer) Probe(addresses []string) {
	if !d.probing.CompareAndSwap(false, true) {
		return
	}
	defer d.probing.Store(false)
	slots := make(chan struct{}, probeConcurrency)
	for _, a := range addresses {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			d.probe(a)
		}()
	}
	for range probeConcurrency {
		slots <- struct{}{}
	}
}

// probe tests the direct path to an address.
func (d *Dialer) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
	defer cancel()
	c, err := d.direct(ctx, "tcp", address)
	d.table.RecordDirect(d.clock.Now(), address, err == nil)
	if err == nil {
		c.Close()
		return
	}
	if d.table.State(d.clock.Now(), address) == Relayed {
		return
	}
	ctx, cancel = context.WithTimeout(context.Background(), maxRelays*relayTimeout.Duration())
	defer cancel()
	if c, err := d.dialRelayed(ctx, address); err == nil {
		c.Close()
	}
}

// Refuses reports whether an endpoint's address refuses connections, as that of a process that
// has ended does. If this host is refused, a relay has to confirm it, since the path of this
// host may be cut. Refuses reports false if that is not known in time.
func (d *Dialer) Refuses(ctx context.Context, address string) bool {
	c, err := d.direct(ctx, "tcp", address)
	if err == nil {
		c.Close()
		return false
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	c, err = d.dialRelayed(ctx, address)
	if err == nil {
		c.Close()
	}
	return errors.Is(err, errRefused) || errors.Is(err, errNoRelay)
}

// Run tests relayed paths until ctx ends, so that the host returns to direct connections.
func (d *Dialer) Run(ctx context.Context) {
	for d.clock.Sleep(ctx, minRecheck/2) == nil {
		due := d.table.Due(d.clock.Now())
		if len(due) == 0 {
			continue
		}
		before := d.table.Relayed(due)
		d.Probe(due)
		if d.table.Relayed(due) < before {
			// The cut has ended, or some of it: the others are due now.
			d.Probe(d.fleet.EndpointAddresses())
		}
	}
}
