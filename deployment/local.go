package deployment

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/daemon"
	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/settings"
	"cicadapitch.example/cicadapitch/standin"
)

// Bounds of a local deployment.
const (
	serviceTimeout cicadapitch.Millis = 5 * cicadapitch.Second
	readyInterval  cicadapitch.Millis = 50
)

// Local is a deployment inside this process.
type Local struct {
	// Store is the stand-in of the key-value service.
	Store *standin.MemoryStore
	// Engines and Services are the stand-ins of the endpoints.
	Engines  map[cicadapitch.EndpointID]*standin.Engine
	Services map[cicadapitch.EndpointID]*standin.Service
	// Configuration is the one that the answers gave.
	Configuration *cicadapitch.Configuration

	clock    cicadapitch.Clock
	log      zerolog.Logger
	storeURL string
	hosts    []*settings.Settings
	servers  []*http.Server
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// Option changes a Local.
type Option func(*Local)

// NewLocal reads questionnaire answers and starts the stand-ins of their
// platform and endpoints. The addresses in the answers are replaced.
func NewLocal(answers []byte, opts ...Option) (*Local, error) {
	l := &Local{
		Engines:  make(map[cicadapitch.EndpointID]*standin.Engine),
		Services: make(map[cicadapitch.EndpointID]*standin.Service),
		clock:    cicadapitch.NewSystemClock(),
		log:      zerolog.Nop(),
	}
	for _, opt := range opts {
		opt(l)
	}
	a, err := questionnaire.Read(bytes.NewReader(answers), "answers")
	if err != nil {
		return nil, err
	}
	if err := l.startEndpoints(a); err != nil {
		return nil, err
	}
	if l.Configuration, err = a.Configuration(); err != nil {
		return nil, err
	}
	return l, l.startStore(a)
}

func (l *Local) startStore(a *questionnaire.Answers) error {
	l.Store = standin.NewMemoryStore(l.clock)
	url, err := l.serveHTTP(platformtest.NewStoreHandler(l.Store))
	if err != nil {
		return err
	}
	l.storeURL = url
	change := configuration.Change{
		ID: "first", Operator: "quickstart", At: l.clock.Now(),
		Summary: "first configuration", Whole: l.Configuration,
	}
	applier := configuration.NewApplier(l.Store, l.clock)
	if _, err := applier.Apply(context.Background(), change); err != nil {
		return err
	}
	return l.planHosts(a)
}

func (l *Local) planHosts(a *questionnaire.Answers) error {
	addresses, err := freeAddresses(2 * len(a.Hosts))
	if err != nil {
		return err
	}
	l.hosts = HostSettings(a, addresses, l.storeURL)
	return nil
}

// Start starts the daemons. They run until Stop.
func (l *Local) Start(ctx context.Context) error {
	ctx, l.cancel = context.WithCancel(ctx)
	for _, s := range l.hosts {
		d, err := daemon.New(s, daemon.WithClock(l.clock), daemon.WithLog(l.log))
		if err != nil {
			return err
		}
		l.running.Go(func() { l.run(ctx, d) })
	}
	return nil
}

// WaitReady waits until every host takes callers.
func (l *Local) WaitReady(ctx context.Context) error {
	for _, s := range l.hosts {
		for !isReady(ctx, s.CallerURL) {
			if err := l.clock.Sleep(ctx, readyInterval); err != nil {
				return cicadapitch.Wrap(err)
			}
		}
	}
	return nil
}

func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

func (l *Local) run(ctx context.Context, d *daemon.Daemon) {
	if err := d.Run(ctx); err != nil {
		l.log.Error().Err(err).Msg("daemon ended")
	}
}

// Stop shuts the daemons down gracefully and then ends the stand-ins.
func (l *Local) Stop() {
	if l.cancel != nil {
		l.cancel()
	}
	l.running.Wait()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// Settings returns the settings of each host, for a caller that runs the
// daemons itself.
func (l *Local) Settings() []*settings.Settings { return l.hosts }

// Seeds returns the base URLs of the hosts for callers.
func (l *Local) Seeds() []string {
	var urls []string
	for _, s := range l.hosts {
		urls = append(urls, s.CallerURL)
	}
	return urls
}

// freeAddresses finds n loopback addresses that are free now.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, cicadapitch.Wrap(err)
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}
