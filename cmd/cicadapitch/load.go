package main

import (
	"context"
	"io"
	"os"
	"runtime/pprof"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/load"
)

// Default values of the load flags.
const (
	defaultLoadRate     = 10.0
	defaultLoadSeconds  = 10
	defaultLoadRequests = 100_000
)

// loadFlags are the flags of the command load.
type loadFlags struct {
	hosts         []string
	questionnaire string
	keys          []string
	keyPrefix     string
	mix           []string
	rate          float64
	seconds       int
	requests      int
	inFlight      int
	seed          int64
	prefixes      int
	burstFactor   float64
	burstSeconds  int
	burstEvery    int
	check         bool
	direct        bool
	json          bool
	cpuProfile    string
}

func newLoad() command {
	f := &loadFlags{
		rate: defaultLoadRate, seconds: defaultLoadSeconds, requests: defaultLoadRequests,
		inFlight: load.DefaultMaxInFlight, seed: 1, burstFactor: 1,
	}
	c := newSubcommand("load", "sends requests at a given rate and reports the results", f.run)
	s := c.sub
	s.StringSlice(&f.hosts, "", "host", "base URL of any host; repeat the flag to name hosts to use if it is down")
	s.String(&f.questionnaire, "q", "questionnaire", "YAML file with the questionnaire answers, for pipelines, customers and zones")
	s.StringSlice(&f.keys, "k", "key", "customer=key; customers without a key send no requests")
	s.String(&f.keyPrefix, "", "key-prefix", "customers without --key use this prefix followed by their name as key")
	s.StringSlice(&f.mix, "m", "mix", "pipeline=weight; other pipelines get no requests; without the flag all have equal weight")
	s.Float64(&f.rate, "r", "rate", "mean arrivals per second")
	s.Int(&f.seconds, "s", "seconds", "duration of the load in seconds")
	s.Int(&f.requests, "n", "requests", "maximum number of requests")
	s.Int(&f.inFlight, "", "in-flight", "maximum number of concurrent requests; further arrivals are skipped")
	s.Int64(&f.seed, "", "seed", "seed of the random arrivals")
	s.Int(&f.prefixes, "", "prefixes", "number of prompt prefixes in use")
	s.Float64(&f.burstFactor, "", "burst-factor", "factor applied to the rate during a burst")
	s.Int(&f.burstSeconds, "", "burst-seconds", "duration of a burst in seconds")
	s.Int(&f.burstEvery, "", "burst-every", "seconds from the end of one burst to the end of the next, 0 for no bursts")
	s.Bool(&f.check, "", "check", "compare each answer with the expected output of the stand-ins")
	s.Bool(&f.direct, "", "direct", "call the endpoints directly, as a baseline")
	s.Bool(&f.json, "", "json", "print JSON")
	s.String(&f.cpuProfile, "", "cpuprofile", "file for a CPU profile of this process")
	return c
}

func (f *loadFlags) run(ctx context.Context, w io.Writer) error {
	cfg, err := generateConfiguration(f.questionnaire)
	if err != nil {
		return err
	}
	plan, err := f.plan(cfg)
	if err != nil {
		return err
	}
	stop, err := startProfile(f.cpuProfile)
	if err != nil {
		return err
	}
	summary, err := load.NewGenerator(plan, f.targetOption(cfg), load.WithMaxInFlight(f.inFlight)).Run(ctx)
	stop()
	if err != nil {
		return err
	}
	if f.json {
		return printJSON(w, summary)
	}
	summary.Print(w)
	return nil
}

// targetOption returns the option that sends the load to the endpoints, with
// --direct, or to the hosts.
func (f *loadFlags) targetOption(cfg *cicadapitch.Configuration) load.Option {
	if f.direct {
		return load.WithSender(load.NewDirectSender(cfg))
	}
	return load.WithSeeds(f.hosts)
}

// plan converts the flags to a plan for the pipelines and customers of cfg.
func (f *loadFlags) plan(cfg *cicadapitch.Configuration) (load.Plan, error) {
	keys := make(map[cicadapitch.CustomerID]string)
	for _, k := range f.keys {
		name, key, _ := strings.Cut(k, "=")
		keys[cicadapitch.CustomerID(name)] = key
	}
	callers := load.CallersOf(cfg, func(id cicadapitch.CustomerID) string {
		if key := keys[id]; key != "" || f.keyPrefix == "" {
			return key
		}
		return f.keyPrefix + string(id)
	})
	pipelines, err := f.pipelines(cfg)
	return load.Plan{
		Rate:        f.rate,
		Length:      cicadapitch.Millis(f.seconds) * cicadapitch.Second,
		MaxRequests: f.requests,
		Burst: load.Burst{
			Period: cicadapitch.Millis(f.burstEvery) * cicadapitch.Second,
			Length: cicadapitch.Millis(f.burstSeconds) * cicadapitch.Second,
			Factor: f.burstFactor,
		},
		Seed:      uint64(f.seed),
		Callers:   lo.Filter(callers, func(c load.Caller, _ int) bool { return c.Key != "" }),
		Pipelines: pipelines,
		Prefixes:  f.prefixes,
	}, err
}

// pipelines returns the pipelines of --mix with their weights, or all pipelines of
// cfg without --mix.
func (f *loadFlags) pipelines(cfg *cicadapitch.Configuration) ([]load.Pipeline, error) {
	all := load.PipelinesOf(cfg, f.check)
	if len(f.mix) == 0 {
		return all, nil
	}
	var list []load.Pipeline
	for _, m := range f.mix {
		name, weight, _ := strings.Cut(m, "=")
		p, ok := lo.Find(all, func(p load.Pipeline) bool { return string(p.ID) == name })
		n, err := strconv.ParseFloat(weight, 64)
		if !ok || err != nil || n <= 0 {
			return nil, usageError("--mix " + m + " is not pipeline=weight with a pipeline of the questionnaire")
		}
		p.Weight = n
		list = append(list, p)
	}
	return list, nil
}

// startProfile writes a CPU profile to file until stop is called. Without a file
// it does nothing.
func startProfile(file string) (stop func(), err error) {
	if file == "" {
		return func() {}, nil
	}
	out, err := os.Create(file)
	if err != nil {
		return nil, cicadapitch.NewError(cicadapitch.Invalid, err.Error(), "check the path of --cpuprofile")
	}
	if err := pprof.StartCPUProfile(out); err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	return func() {
		pprof.StopCPUProfile()
		_ = out.Close()
	}, nil
}
