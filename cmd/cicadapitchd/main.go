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
		log := newLogger(zerolog.ErrorLevel)
		log.Error().Err(err).Msg("ended")
		os.Exit(1)
	}
}

func run(file string) error {
	s, err := readSettings(file)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	d, err := daemon.New(s, daemon.WithLog(newLogger(s.Level())))
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

// newLogger writes one line of key=value pairs for each event.
func newLogger(level zerolog.Level) zerolog.Logger {
	w := zerolog.ConsoleWriter{Out: os.Stderr, NoColor: true, TimeFormat: "2006-01-02T15:04:05.000Z07:00"}
	return zerolog.New(w).Level(level).With().Timestamp().Logger()
}
