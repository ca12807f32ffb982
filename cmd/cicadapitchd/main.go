// Command cicadapitchd runs one entry host.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch/daemon"
	"cicadapitch.example/cicadapitch/settings"
)

func main() {
	file := "cicadapitchd.yaml"
	flaggy.SetName("cicadapitchd")
	flaggy.SetDescription("Runs one entry host of a cicadapitch deployment.")
	flaggy.String(&file, "s", "settings", "YAML file with the settings of this host")
	flaggy.Parse()
	if err := run(file); err != nil {
		log := daemon.NewLogger(os.Stderr, zerolog.ErrorLevel)
		log.Error().Err(err).Msg("ended")
		os.Exit(1)
	}
}

// run runs a host with the settings of file until it is interrupted.
func run(file string) error {
	s, err := readSettings(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(s, daemon.WithLog(daemon.NewLogger(os.Stderr, s.Level())))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

func readSettings(file string) (*settings.Settings, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return settings.Read(f, file)
}
