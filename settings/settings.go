package settings

import (
	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
)

// Settings are the settings of one daemon. The fields in the settings file have
// the names of the struct fields.
type Settings struct {
	Host   cicadapitch.HostID
	Zone   cicadapitch.ZoneID
	Region cicadapitch.RegionID
	// CallerListen is the ip:port to listen on for callers and operators.
	// CallerURL is the base URL at which they reach this host.
	CallerListen string
	CallerURL    string
	// PeerListen is the ip:port to listen on for other hosts. PeerAddress is the
	// ip:port at which they reach this host.
	PeerListen  string
	PeerAddress string
	// DeploymentKey is the hexadecimal secret with which hosts authenticate to
	// each other. DeploymentKeyFile is the path of a file that contains it, for
	// use instead of DeploymentKey.
	DeploymentKey     string
	DeploymentKeyFile string
	// Store lists the base URLs of the key-value service.
	Store []string
	// HostList is the URL of the platform's list of hosts. It is optional.
	HostList string
	// SeedPeers are the ip:port peer addresses of hosts through which this host
	// joins the membership.
	SeedPeers []string
	// LogLevel is the name of a zerolog level.
	LogLevel string
	// LeaseMillis is the time to live of the host's lease in the store.
	LeaseMillis cicadapitch.Millis
	// ShutdownGraceMillis is the longest duration of a graceful shutdown.
	ShutdownGraceMillis cicadapitch.Millis
	// LoadIntervalMillis is the time that the weight store needs to load a model
	// once. All hosts together order at most one engine of each pool to load a
	// model in this time, so it must be the same on all hosts.
	LoadIntervalMillis cicadapitch.Millis
}

// Defaults of optional settings.
const (
	DefaultLeaseMillis         = 3 * cicadapitch.Second
	DefaultShutdownGraceMillis = 60 * cicadapitch.Second
	DefaultLoadIntervalMillis  = 10 * cicadapitch.Second
	DefaultLogLevel            = "info"
)

// Level returns LogLevel as a zerolog level, or the info level if it is not the
// name of one.
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
