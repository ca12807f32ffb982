// Command cicadapitch-front runs one host on the users' platform, with the
// platform's settings file.
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
)

func main() {
	// A hangup does not end the process, also before and after the host handles it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	path := platform.SettingsPath()
	check := false
	flaggy.SetName("cicadapitch-front")
	flaggy.SetDescription("Runs one host on the users' platform.")
	flaggy.String(&path, "s", "settings", "settings file of the platform")
	flaggy.Bool(&check, "c", "check", "check the settings file and exit")
	flaggy.Parse()
	w := fronthost.NewLogWriter(os.Stdout)
	err := run(path, check, w)
	w.Close()
	if err != nil {
		os.Exit(1)
	}
}

// run runs a host with the settings file at path. If check is set, it only checks
// the file. Errors are logged to w.
func run(path string, check bool, w *fronthost.LogWriter) error {
	clock := cicadapitch.NewSystemClock()
	log := fronthost.NewLogger(w, clock)
	s, err := platform.ReadSettings(path)
	if err != nil {
		log.Error().Err(err).Msg("settings are invalid")
		return err
	}
	if check {
		log.Info().Msg("settings are valid")
		return nil
	}
	h, err := fronthost.New(s, log, clock)
	if err == nil {
		err = h.Run(context.Background())
	}
	if err != nil {
		log.Error().Err(err).Msg("ended")
	}
	return err
}
