package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/deployment"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/standin"
)

// Rates of the key-value service that a deployment has today, a second.
const (
	storeReadRate  = 2000
	storeWriteRate = 400
)

// wholeDeployment runs the stand-ins of the platform and of all endpoints of a
// deployment in this process.
type wholeDeployment struct {
	command     *flaggy.Subcommand
	file        string
	base        string
	out         string
	speed       float64
	growth      float64
	lagMillis   int
	coldStart   bool
	coldSeconds float64
	seed        int64
	engine      engineFlags
}

// engineFlags are the flags that all engines share.
type engineFlags struct {
	prefillMillis int
	prefixes      int
	cacheLag      int
	cacheLoss     float64
	weightSeconds float64
}

func (f *engineFlags) addTo(c *flaggy.Subcommand) {
	c.Int(&f.prefillMillis, "", "prefill-millis", "time of a prompt before its first token, a tenth of it where its prefix is cached")
	c.Int(&f.prefixes, "", "cache-prefixes", "prefixes that an engine caches")
	c.Int(&f.cacheLag, "", "cache-lag-millis", "lag of the cache events")
	c.Float64(&f.cacheLoss, "", "cache-loss", "part of the cache events that are lost")
	c.Float64(&f.weightSeconds, "", "weight-seconds", "time that the weight store needs for one load of a model, 0 for none")
}

func (f *engineFlags) options(seed uint64) []standin.EngineOption {
	prefill := cicadapitch.Millis(f.prefillMillis)
	opts := []standin.EngineOption{
		standin.WithPrefill(prefill, prefill/10),
		standin.WithPrefixCache(f.prefixes, cicadapitch.Millis(f.cacheLag), f.cacheLoss, seed),
	}
	if f.weightSeconds > 0 {
		interval := cicadapitch.Millis(f.weightSeconds * float64(cicadapitch.Second))
		opts = append(opts, standin.WithWeightStore(standin.NewWeightStore(interval)))
	}
	return opts
}

func deploymentCommand() *wholeDeployment {
	d := &wholeDeployment{
		command: flaggy.NewSubcommand("deployment"), base: "127.0.0.1:19000", out: ".", speed: 1,
		growth: standin.DefaultGrowth, lagMillis: int(standin.DefaultLoadReportLag), seed: 1,
		engine: engineFlags{prefixes: 16, cacheLag: 1000, cacheLoss: 0.02},
	}
	c := d.command
	c.Description = "runs the store and all endpoints of a questionnaire on consecutive ports"
	c.String(&d.file, "q", "questionnaire", "YAML file with the answers")
	c.String(&d.base, "", "listen-base", "ip:port of the store; the endpoints, then the hosts, take the ports that follow")
	c.String(&d.out, "o", "out", "folder for questionnaire.yaml with the new addresses and HOST.yaml with the settings of each host")
	c.Float64(&d.speed, "", "speed", "divides all service times, 0 to leave none")
	c.Float64(&d.growth, "", "growth", "growth of an engine's service time for each other request")
	c.Int(&d.lagMillis, "", "lag-millis", "lag of the load reports")
	c.Bool(&d.coldStart, "", "cold-start", "start the engines cold")
	c.Float64(&d.coldSeconds, "", "cold-seconds", "seconds until another engine turns cold without warning, 0 for never")
	c.Int64(&d.seed, "", "seed", "seed that picks the engines that turn cold")
	d.engine.addTo(c)
	return d
}

// run serves until a listener fails.
func (d *wholeDeployment) run(log zerolog.Logger) error {
	text, err := os.ReadFile(d.file)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	a, err := questionnaire.Read(bytes.NewReader(text), d.file)
	if err != nil {
		return err
	}
	ports, err := newPorts(d.base)
	if err != nil {
		return err
	}
	emulation := standin.NewEmulation(cicadapitch.NewSystemClock(), a, d.options()...)
	failed := make(chan error)
	store := ports.next()
	go func() { failed <- listenAndServe(store, newStore(storeReadRate, storeWriteRate)) }()
	var urls []string
	for _, h := range emulation.Endpoints() {
		address := ports.next()
		urls = append(urls, "http://"+address)
		go func() { failed <- listenAndServe(address, h) }()
	}
	answers, err := standin.ReplaceAddresses(string(text), d.file, urls)
	if err != nil {
		return err
	}
	if err := d.write(a, answers, ports, store); err != nil {
		return err
	}
	log.Info().Str("Store", store).Int("Endpoints", len(emulation.Endpoints())).Int("Hosts", len(a.Hosts)).Msg("stand-ins started")
	go d.chill(emulation)
	return <-failed
}

func (d *wholeDeployment) options() []standin.EmulationOption {
	opts := []standin.EmulationOption{
		standin.WithSpeed(d.speed),
		standin.WithGrowth(d.growth),
		standin.WithLoadReportLag(cicadapitch.Millis(d.lagMillis)),
		standin.WithEngineOptions(d.engine.options(uint64(d.seed))...),
	}
	if d.coldStart {
		opts = append(opts, standin.WithColdStart())
	}
	return opts
}

// write writes the answers with the new addresses and the hosts' settings.
func (d *wholeDeployment) write(a *questionnaire.Answers, answers string, p *ports, store string) error {
	var addresses []string
	for range 2 * len(a.Hosts) {
		addresses = append(addresses, p.next())
	}
	for _, s := range deployment.HostSettings(a, addresses, "http://"+store) {
		body, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return cicadapitch.Wrap(err)
		}
		if err := os.WriteFile(filepath.Join(d.out, string(s.Host)+".yaml"), body, 0o600); err != nil {
			return cicadapitch.Wrap(err)
		}
	}
	return cicadapitch.Wrap(os.WriteFile(filepath.Join(d.out, "questionnaire.yaml"), []byte(answers), 0o600))
}

// chill turns engines cold without warning.
func (d *wholeDeployment) chill(e *standin.Emulation) {
	if d.coldSeconds <= 0 {
		return
	}
	r := rand.New(rand.NewPCG(uint64(d.seed), 0))
	for range time.Tick(time.Duration(d.coldSeconds * float64(time.Second))) {
		e.MakeRandomEngineCold(r)
	}
}

func listenAndServe(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	s := http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	return cicadapitch.Wrap(s.Serve(l))
}

// ports hands out consecutive ports of one IP number.
type ports struct{ at netip.AddrPort }

func newPorts(base string) (*ports, error) {
	at, err := netip.ParseAddrPort(base)
	if err != nil {
		return nil, cicadapitch.NewError(cicadapitch.Invalid, fmt.Sprintf("%s is no ip:port", base), "give one with --listen-base")
	}
	return &ports{at}, nil
}

func (p *ports) next() string {
	address := p.at.String()
	p.at = netip.AddrPortFrom(p.at.Addr(), p.at.Port()+1)
	return address
}
