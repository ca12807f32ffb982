package settings

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Settings are the settings of one daemon. Field names in the file are those
// of the struct.
type Settings struct {
	Host   cicadapitch.HostID
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// CallerListen is the ip:port to listen on for callers and operators,
	// CallerURL the base URL under which they reach it.
	CallerListen string
	CallerURL    string
	// PeerListen is the ip:port to listen on for other hosts, PeerAddress the
	// ip:port under which they reach it.
	PeerListen  string
	PeerAddress string
	// DeploymentKey is the hexadecimal key that hosts prove to each other.
	// DeploymentKeyFile names a file with it instead.
	DeploymentKey     string
	DeploymentKeyFile string
	// Store lists the base URLs of the key-value service.
	Store []string
	// HostList is the URL of the platform's list of hosts, empty for none.
	HostList string
	// SeedPeers are ip:port addresses of hosts to ask first.
	SeedPeers []string
	// LogLevel is a zerolog level, info where it is left out.
	LogLevel string
	// LeaseMillis is the time to live of the host's lease.
	LeaseMillis cicadapitch.Millis
	// ShutdownGraceMillis bounds a graceful shutdown.
	ShutdownGraceMillis cicadapitch.Millis
	// LoadIntervalMillis is the time that the weight store needs for one
	// load of a model. It must be the same on all hosts.
	LoadIntervalMillis cicadapitch.Millis
}

// Defaults of settings that may be left out.
const (
	DefaultLeaseMillis         = 3 * cicadapitch.Second
	DefaultShutdownGraceMillis = 60 * cicadapitch.Second
	DefaultLoadIntervalMillis  = 10 * cicadapitch.Second
	DefaultLogLevel            = "info"
)

// Level returns the log level.
func (s *Settings) Level() zerolog.Level {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.InfoLevel
	}
	return l
}

func (s *Settings) fillDefaults() {
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	if s.LeaseMillis == 0 {
		s.LeaseMillis = DefaultLeaseMillis
	}
	if s.ShutdownGraceMillis == 0 {
		s.ShutdownGraceMillis = DefaultShutdownGraceMillis
	}
	if s.LoadIntervalMillis == 0 {
		s.LoadIntervalMillis = DefaultLoadIntervalMillis
	}
}
