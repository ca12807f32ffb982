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
	"cicadapitch.example/cicadapitch/internal/answer"
	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/settings"
	"cicadapitch.example/cicadapitch/standin"
)

// Timeout and polling interval of a local deployment.
const (
	readHeaderTimeout cicadapitch.Millis = 5 * cicadapitch.Second
	readyPollInterval cicadapitch.Millis = 50
)

// Local runs a deployment in this process. NewLocal starts the stand-ins, Start the
// daemons, and Stop ends both.
type Local struct {
	// Store is the stand-in for the key-value service.
	Store *standin.MemoryStore
	// Engines and Services are the stand-ins for the endpoints.
	Engines  map[cicadapitch.EndpointID]*standin.Engine
	Services map[cicadapitch.EndpointID]*standin.Service
	// Configuration is the configuration generated from the answers.
	Configuration *cicadapitch.Configuration

	clock        cicadapitch.Clock
	log          zerolog.Logger
	storeURL     string
	hostSettings []*settings.Settings
	servers      []*http.Server
	stopDaemons  context.CancelFunc
	daemons      sync.WaitGroup
}

// Option sets an option of a Local.
type Option func(*Local)

// NewLocal reads questionnaire answers in YAML and starts stand-ins for the
// platform and for each endpoint in the answers. The addresses of the stand-ins
// replace those in the answers. It writes the configuration to the store, but
// starts no daemon. After success, the caller must call Stop.
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
	parsed, err := questionnaire.Read(bytes.NewReader(answers), "answers")
	if err != nil {
		return nil, err
	}
	if err := l.startEndpoints(parsed); err != nil {
		return nil, err
	}
	if l.Configuration, err = parsed.Configuration(); err != nil {
		return nil, err
	}
	return l, l.startStore(parsed)
}

// startStore starts the stand-in for the key-value service, applies the
// configuration to it and prepares the settings of the hosts.
func (l *Local) startStore(answers *questionnaire.Answers) error {
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
	return l.prepareHostSettings(answers)
}

func (l *Local) prepareHostSettings(answers *questionnaire.Answers) error {
	addresses, err := freeAddresses(2 * len(answers.Hosts))
	if err != nil {
		return err
	}
	l.hostSettings = HostSettings(answers, addresses, l.storeURL)
	return nil
}

// Start starts the daemons and returns before they are ready. They run until ctx
// ends or Stop is called.
func (l *Local) Start(ctx context.Context) error {
	ctx, l.stopDaemons = context.WithCancel(ctx)
	for _, s := range l.hostSettings {
		d, err := daemon.New(s, daemon.WithClock(l.clock), daemon.WithLog(l.log))
		if err != nil {
			return err
		}
		l.daemons.Go(func() { l.runDaemon(ctx, d) })
	}
	return nil
}

// WaitReady waits until every host accepts requests from callers. It returns an
// error if ctx ends first.
func (l *Local) WaitReady(ctx context.Context) error {
	for _, s := range l.hostSettings {
		for !isReady(ctx, s.CallerURL) {
			if err := l.clock.Sleep(ctx, readyPollInterval); err != nil {
				return cicadapitch.Wrap(err)
			}
		}
	}
	return nil
}

// readyClient sends the readiness checks.
var readyClient = &http.Client{Transport: answer.NewTransport()}

// isReady reports whether the readiness check of the host at a base URL succeeds.
func isReady(ctx context.Context, url string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := readyClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusNoContent
}

func (l *Local) runDaemon(ctx context.Context, d *daemon.Daemon) {
	if err := d.Run(ctx); err != nil {
		l.log.Error().Err(err).Msg("daemon stopped with an error")
	}
}

// Stop shuts the daemons down gracefully and then stops the stand-ins.
func (l *Local) Stop() {
	if l.stopDaemons != nil {
		l.stopDaemons()
	}
	l.daemons.Wait()
	for _, s := range l.servers {
		_ = s.Close()
	}
}

// Settings returns the settings of each host, for a caller that runs the daemons
// itself instead of calling Start.
func (l *Local) Settings() []*settings.Settings { return l.hostSettings }

// Seeds returns the caller URL of each host, as client.New takes them.
func (l *Local) Seeds() []string {
	var urls []string
	for _, s := range l.hostSettings {
		urls = append(urls, s.CallerURL)
	}
	return urls
}

// freeAddresses returns n ip:port addresses on the loopback interface whose ports
// are free. It keeps all of them open until it returns, so that they differ.
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
