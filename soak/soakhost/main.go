// Command soakhost is cicadapitch-front with a path to the endpoints that signals cut: SIGUSR1
// silently, SIGUSR2 with resets, and each of them again to end the cut.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/fronthost"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

func main() {
	settings := ""
	flaggy.String(&settings, "s", "settings", "settings file of the platform")
	flaggy.Parse()
	if err := run(settings); err != nil {
		os.Exit(1)
	}
}

// run runs a host with the settings file at path. It logs errors.
func run(path string) error {
	w := fronthost.NewLogWriter(os.Stdout)
	defer w.Close()
	clock := cicadapitch.NewSystemClock()
	log := fronthost.NewLogger(w, clock)
	endpoints := platformtest.NewPath()
	go cutOnSignals(endpoints)
	s, err := platform.ReadSettings(path)
	if err == nil {
		var h *fronthost.Host
		if h, err = fronthost.New(s, log, clock, fronthost.WithEndpointDial(endpoints.DialContext)); err == nil {
			err = h.Run(context.Background())
		}
	}
	if err != nil {
		log.Error().Err(err).Msg("ended")
	}
	return err
}

// cutOnSignals cuts the path or mends it, in turn.
func cutOnSignals(p *platformtest.Path) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	cut := false
	for s := range signals {
		switch {
		case cut:
			p.Mend()
		case s == syscall.SIGUSR1:
			p.Cut(platformtest.CutSilent)
		default:
			p.Cut(platformtest.CutReset)
		}
		cut = !cut
	}
}
