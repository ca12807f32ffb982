// Command standin runs one of the small fakes of the system's surroundings as
// a process of its own.
package main

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/platform/platformtest"
	"cicadapitch.example/cicadapitch/standin"
)

const (
	sweepEvery        = 100 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("small fakes of the system's surroundings")
	listen := "127.0.0.1:0"
	flaggy.String(&listen, "", "listen", "ip:port to listen on")
	builders := []*builder{storeCommand(), engineCommand(), serviceCommand(), hostListCommand()}
	for _, b := range builders {
		flaggy.AttachSubcommand(b.command, 1)
	}
	whole := deploymentCommand()
	flaggy.AttachSubcommand(whole.command, 1)
	flaggy.Parse()
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true}).With().Timestamp().Logger()
	if whole.command.Used {
		log.Fatal().Err(whole.run(log)).Msg("deployment ended")
	}
	for _, b := range builders {
		if b.command.Used {
			serve(log, b.command.Name, listen, b.build())
		}
	}
	flaggy.ShowHelpAndExit("name what to run")
}

func serve(log zerolog.Logger, kind, listen string, h http.Handler) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		log.Fatal().Err(err).Str("Listen", listen).Msg("cannot listen")
	}
	log.Info().Str("Kind", kind).Str("Address", l.Addr().String()).Msg("stand-in started")
	s := http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	log.Fatal().Err(s.Serve(l)).Msg("stand-in ended")
}

// builder is a subcommand and how to build its handler from its flags.
type builder struct {
	command *flaggy.Subcommand
	build   func() http.Handler
}

func storeCommand() *builder {
	c := flaggy.NewSubcommand("store")
	var reads, writes float64
	c.Float64(&reads, "", "read-rate", "reads a second, 0 for no limit")
	c.Float64(&writes, "", "write-rate", "writes a second, 0 for no limit")
	return &builder{c, func() http.Handler {
		return newStore(reads, writes)
	}}
}

// newStore returns a store whose leases lapse in time.
func newStore(reads, writes float64) http.Handler {
	s := standin.NewMemoryStore(cicadapitch.NewSystemClock(), standin.WithReadRate(reads), standin.WithWriteRate(writes))
	go func() {
		for range time.Tick(sweepEvery) {
			s.ExpireLeases()
		}
	}()
	return platformtest.NewStoreHandler(s)
}

func engineCommand() *builder {
	c := flaggy.NewSubcommand("engine")
	tokenMillis, lagMillis, growth := 20, 500, 0.02
	slots, coldSlots, warmAfter := 8, 1, 0
	checks := false
	c.Int(&tokenMillis, "", "token-millis", "service time of a token")
	c.Float64(&growth, "", "growth", "growth of that time for each other request")
	c.Int(&slots, "", "slots", "requests that run at once")
	c.Int(&coldSlots, "", "cold-slots", "requests that a cold engine bears")
	c.Int(&warmAfter, "", "warm-after", "completions until a cold engine is warm, 0 to start warm")
	c.Int(&lagMillis, "", "lag-millis", "lag of the load report")
	c.Bool(&checks, "", "checks-fencing", "refuse orders with an old fencing number")
	return &builder{c, func() http.Handler {
		opts := []standin.EngineOption{
			standin.WithTokenTime(cicadapitch.Millis(tokenMillis), growth),
			standin.WithSlots(cicadapitch.Slots(slots)),
			standin.WithReportLag(cicadapitch.Millis(lagMillis)),
		}
		if warmAfter > 0 {
			opts = append(opts, standin.WithEngineColdStart(cicadapitch.Slots(coldSlots), warmAfter))
		}
		if checks {
			opts = append(opts, standin.WithFencingCheck())
		}
		return standin.NewEngine(cicadapitch.NewSystemClock(), opts...)
	}}
}

func serviceCommand() *builder {
	c := flaggy.NewSubcommand("service")
	name, millis, slots, lagMillis := "service", 5, 0, 500
	books, recognises := false, false
	c.String(&name, "", "name", "name that the answers begin with")
	c.Int(&millis, "", "service-millis", "time of a call")
	c.Int(&slots, "", "slots", "calls that run at once, 0 for no limit")
	c.Int(&lagMillis, "", "lag-millis", "lag of the load report")
	c.Bool(&books, "", "books", "book on each call")
	c.Bool(&recognises, "", "recognises-repeats", "run one attempt id at most once")
	return &builder{c, func() http.Handler {
		opts := []standin.ServiceOption{
			standin.WithName(name),
			standin.WithServiceTime(cicadapitch.Millis(millis)),
			standin.WithServiceSlots(cicadapitch.Slots(slots)),
			standin.WithServiceReportLag(cicadapitch.Millis(lagMillis)),
		}
		if books {
			opts = append(opts, standin.WithBookings())
		}
		if recognises {
			opts = append(opts, standin.WithDeduplication())
		}
		return standin.NewService(cicadapitch.NewSystemClock(), opts...)
	}}
}

func hostListCommand() *builder {
	c := flaggy.NewSubcommand("hostlist")
	lagMillis := 1000
	c.Int(&lagMillis, "", "lag-millis", "time until a change shows")
	return &builder{c, func() http.Handler {
		return standin.NewHostList(cicadapitch.Millis(lagMillis))
	}}
}
