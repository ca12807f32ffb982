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

// Rate limits of the emulated key-value service, in calls per second.
const (
	storeReadRate  = 2000
	storeWriteRate = 400
)

// deploymentStandIns is the subcommand that runs the stand-ins of the store and
// of all endpoints of a deployment in this process.
type deploymentStandIns struct {
	command           *flaggy.Subcommand
	questionnaireFile string
	listenBase        string
	outDir            string
	speed             float64
	growth            float64
	lagMillis         int
	coldStart         bool
	coldSeconds       float64
	seed              int64
	engine            engineFlags
}

// engineFlags are the flags that apply to every engine.
type engineFlags struct {
	prefillMillis  int
	cachePrefixes  int
	cacheLagMillis int
	cacheLoss      float64
	weightSeconds  float64
}

func (f *engineFlags) addTo(c *flaggy.Subcommand) {
	c.Int(&f.prefillMillis, "", "prefill-millis", "prefill time of a prompt in ms; a tenth of it if the prefix is cached")
	c.Int(&f.cachePrefixes, "", "cache-prefixes", "number of prompt prefixes that an engine caches")
	c.Int(&f.cacheLagMillis, "", "cache-lag-millis", "delay of cache events in the load report, in ms")
	c.Float64(&f.cacheLoss, "", "cache-loss", "fraction of cache events that are lost")
	c.Float64(&f.weightSeconds, "", "weight-seconds", "seconds that the weight store needs to load a model, 0 for no weight store")
}

// options returns the engine options for the flags. With weight-seconds, all
// engines share one weight store.
func (f *engineFlags) options(seed uint64) []standin.EngineOption {
	prefill := cicadapitch.Millis(f.prefillMillis)
	opts := []standin.EngineOption{
		standin.WithPrefill(prefill, prefill/10),
		standin.WithPrefixCache(f.cachePrefixes, cicadapitch.Millis(f.cacheLagMillis), f.cacheLoss, seed),
	}
	if f.weightSeconds > 0 {
		loadDuration := cicadapitch.Millis(f.weightSeconds * float64(cicadapitch.Second))
		opts = append(opts, standin.WithWeightStore(standin.NewWeightStore(loadDuration)))
	}
	return opts
}

func deploymentCommand() *deploymentStandIns {
	d := &deploymentStandIns{
		command: flaggy.NewSubcommand("deployment"), listenBase: "127.0.0.1:19000", outDir: ".", speed: 1,
		growth: standin.DefaultBatchGrowth, lagMillis: int(standin.DefaultLoadReportLag), seed: 1,
		engine: engineFlags{cachePrefixes: 16, cacheLagMillis: 1000, cacheLoss: 0.02},
	}
	c := d.command
	c.Description = "runs the store and all endpoints of a questionnaire on consecutive ports"
	c.String(&d.questionnaireFile, "q", "questionnaire", "YAML file with the answers")
	c.String(&d.listenBase, "", "listen-base", "ip:port of the store; the endpoints, then the hosts, take the ports that follow")
	c.String(&d.outDir, "o", "out", "folder for questionnaire.yaml with the new addresses and HOST.yaml with the settings of each host")
	c.Float64(&d.speed, "", "speed", "factor that divides all service times; 0 sets them to 0")
	c.Float64(&d.growth, "", "growth", "relative increase of an engine's service time per token for each other running request")
	c.Int(&d.lagMillis, "", "lag-millis", "age of the load that a load report shows, in ms")
	c.Bool(&d.coldStart, "", "cold-start", "start the engines cold")
	c.Float64(&d.coldSeconds, "", "cold-seconds", "interval in seconds at which a random engine turns cold, 0 for never")
	c.Int64(&d.seed, "", "seed", "seed for the choice of engines that turn cold and for lost cache events")
	d.engine.addTo(c)
	return d
}

// run starts the stand-ins, writes the questionnaire and the hosts' settings,
// and returns the error of the first listener that fails.
func (d *deploymentStandIns) run(log zerolog.Logger) error {
	text, err := os.ReadFile(d.questionnaireFile)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	a, err := questionnaire.Read(bytes.NewReader(text), d.questionnaireFile)
	if err != nil {
		return err
	}
	ports, err := newPorts(d.listenBase)
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
	answers, err := standin.ReplaceAddresses(string(text), d.questionnaireFile, urls)
	if err != nil {
		return err
	}
	if err := d.writeFiles(a, answers, ports, store); err != nil {
		return err
	}
	log.Info().Str("Store", store).Int("Endpoints", len(emulation.Endpoints())).Int("Hosts", len(a.Hosts)).Msg("stand-ins started")
	go d.makeEnginesCold(emulation)
	return <-failed
}

func (d *deploymentStandIns) options() []standin.EmulationOption {
	opts := []standin.EmulationOption{
		standin.WithSpeed(d.speed),
		standin.WithBatchGrowth(d.growth),
		standin.WithLoadReportLag(cicadapitch.Millis(d.lagMillis)),
		standin.WithEngineOptions(d.engine.options(uint64(d.seed))...),
	}
	if d.coldStart {
		opts = append(opts, standin.WithColdStart())
	}
	return opts
}

// writeFiles writes the questionnaire with the new addresses and a settings
// file for each host.
func (d *deploymentStandIns) writeFiles(a *questionnaire.Answers, answers string, p *ports, store string) error {
	var addresses []string
	for range 2 * len(a.Hosts) {
		addresses = append(addresses, p.next())
	}
	for _, s := range deployment.HostSettings(a, addresses, "http://"+store) {
		body, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			return cicadapitch.Wrap(err)
		}
		if err := os.WriteFile(filepath.Join(d.outDir, string(s.Host)+".yaml"), body, 0o600); err != nil {
			return cicadapitch.Wrap(err)
		}
	}
	return cicadapitch.Wrap(os.WriteFile(filepath.Join(d.outDir, "questionnaire.yaml"), []byte(answers), 0o600))
}

// makeEnginesCold puts a random engine into a cold start every coldSeconds,
// without notice. It returns at once if coldSeconds is 0.
func (d *deploymentStandIns) makeEnginesCold(e *standin.Emulation) {
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

// ports yields consecutive ports of one IP address.
type ports struct{ nextAddr netip.AddrPort }

func newPorts(base string) (*ports, error) {
	addr, err := netip.ParseAddrPort(base)
	if err != nil {
		return nil, cicadapitch.NewError(cicadapitch.Invalid, fmt.Sprintf("%s is no ip:port", base), "give one with --listen-base")
	}
	return &ports{addr}, nil
}

func (p *ports) next() string {
	address := p.nextAddr.String()
	p.nextAddr = netip.AddrPortFrom(p.nextAddr.Addr(), p.nextAddr.Port()+1)
	return address
}
