// Command standin runs fakes of the services that the system depends on: one
// fake, or the store and all endpoints of a deployment, in one process.
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
	leaseExpiryInterval = 100 * time.Millisecond
	readHeaderTimeout   = 5 * time.Second
)

func main() {
	flaggy.SetName("standin")
	flaggy.SetDescription("runs fakes of the services that the system depends on")
	listen := "127.0.0.1:0"
	flaggy.String(&listen, "", "listen", "ip:port to listen on")
	commands := []*handlerCommand{storeCommand(), engineCommand(), serviceCommand(), hostListCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.command, 1)
	}
	standIns := deploymentCommand()
	flaggy.AttachSubcommand(standIns.command, 1)
	flaggy.Parse()
	log := zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true}).With().Timestamp().Logger()
	if standIns.command.Used {
		log.Fatal().Err(standIns.run(log)).Msg("stand-ins of the deployment stopped")
	}
	for _, c := range commands {
		if c.command.Used {
			serve(log, c.command.Name, listen, c.newHandler())
		}
	}
	flaggy.ShowHelpAndExit("choose a subcommand")
}

// serve runs a stand-in on the listen address until it fails, then exits.
func serve(log zerolog.Logger, kind, listen string, h http.Handler) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		log.Fatal().Err(err).Str("Listen", listen).Msg("cannot listen")
	}
	log.Info().Str("Kind", kind).Str("Address", l.Addr().String()).Msg("stand-in started")
	s := http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	log.Fatal().Err(s.Serve(l)).Msg("stand-in stopped")
}

// handlerCommand is a subcommand and the constructor of its handler, which is
// called after the flags are parsed.
type handlerCommand struct {
	command    *flaggy.Subcommand
	newHandler func() http.Handler
}

func storeCommand() *handlerCommand {
	c := flaggy.NewSubcommand("store")
	var reads, writes float64
	c.Float64(&reads, "", "read-rate", "reads per second, 0 for no limit")
	c.Float64(&writes, "", "write-rate", "writes per second, 0 for no limit")
	return &handlerCommand{c, func() http.Handler {
		return newStore(reads, writes)
	}}
}

// newStore returns the handler of a store that also ends expired leases while
// no call arrives.
func newStore(reads, writes float64) http.Handler {
	s := standin.NewMemoryStore(cicadapitch.NewSystemClock(), standin.WithReadRate(reads), standin.WithWriteRate(writes))
	go func() {
		for range time.Tick(leaseExpiryInterval) {
			s.ExpireLeases()
		}
	}()
	return platformtest.NewStoreHandler(s)
}

func engineCommand() *handlerCommand {
	c := flaggy.NewSubcommand("engine")
	tokenMillis, lagMillis, growth := 20, 500, 0.02
	slots, coldSlots, warmAfter := 8, 1, 0
	checksFencing := false
	c.Int(&tokenMillis, "", "token-millis", "service time of a token, in ms")
	c.Float64(&growth, "", "growth", "relative increase of the service time of a token for each other running request")
	c.Int(&slots, "", "slots", "maximum number of concurrent requests")
	c.Int(&coldSlots, "", "cold-slots", "maximum number of concurrent requests of a cold engine")
	c.Int(&warmAfter, "", "warm-after", "completions until a cold engine is warm, 0 to start warm")
	c.Int(&lagMillis, "", "lag-millis", "age of the load that the load report shows, in ms")
	c.Bool(&checksFencing, "", "checks-fencing", "refuse orders with an outdated fencing number")
	return &handlerCommand{c, func() http.Handler {
		opts := []standin.EngineOption{
			standin.WithTokenTime(cicadapitch.Millis(tokenMillis), growth),
			standin.WithSlots(cicadapitch.Slots(slots)),
			standin.WithReportLag(cicadapitch.Millis(lagMillis)),
		}
		if warmAfter > 0 {
			opts = append(opts, standin.WithEngineColdStart(cicadapitch.Slots(coldSlots), warmAfter))
		}
		if checksFencing {
			opts = append(opts, standin.WithFencingCheck())
		}
		return standin.NewEngine(cicadapitch.NewSystemClock(), opts...)
	}}
}

func serviceCommand() *handlerCommand {
	c := flaggy.NewSubcommand("service")
	name, serviceMillis, slots, lagMillis := "service", 5, 0, 500
	createsBookings, deduplicates := false, false
	c.String(&name, "", "name", "service name, with which each output begins")
	c.Int(&serviceMillis, "", "service-millis", "duration of a call, in ms")
	c.Int(&slots, "", "slots", "maximum number of concurrent calls, 0 for no limit")
	c.Int(&lagMillis, "", "lag-millis", "age of the load that the load report shows, in ms")
	c.Bool(&createsBookings, "", "books", "create a booking on each call")
	c.Bool(&deduplicates, "", "recognises-repeats", "run each attempt id at most once")
	return &handlerCommand{c, func() http.Handler {
		opts := []standin.ServiceOption{
			standin.WithName(name),
			standin.WithServiceTime(cicadapitch.Millis(serviceMillis)),
			standin.WithServiceSlots(cicadapitch.Slots(slots)),
			standin.WithServiceReportLag(cicadapitch.Millis(lagMillis)),
		}
		if createsBookings {
			opts = append(opts, standin.WithBookings())
		}
		if deduplicates {
			opts = append(opts, standin.WithDeduplication())
		}
		return standin.NewService(cicadapitch.NewSystemClock(), opts...)
	}}
}

func hostListCommand() *handlerCommand {
	c := flaggy.NewSubcommand("hostlist")
	lagMillis := 1000
	c.Int(&lagMillis, "", "lag-millis", "time until a change becomes visible, in ms")
	return &handlerCommand{c, func() http.Handler {
		return standin.NewHostList(cicadapitch.Millis(lagMillis))
	}}
}
