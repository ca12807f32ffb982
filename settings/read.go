package settings

import (
	"encoding/hex"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"strings"

	"github.com/rs/zerolog"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/internal/yamlfile"
)

// MinKeyBytes is the least length of the deployment key.
const MinKeyBytes = 16

// Bounds of spans.
const (
	MinLease        = cicadapitch.Second
	MaxLease        = 5 * cicadapitch.Minute
	MaxGrace        = 60 * cicadapitch.Minute
	MinLoadInterval = cicadapitch.Second
	MaxLoadInterval = 60 * cicadapitch.Minute
)

// maxKeyFileBytes bounds the file of the deployment key.
const maxKeyFileBytes = 4096

var name = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Read reads and checks the settings and fills in defaults. DeploymentKey
// holds the key afterwards, also where it came from DeploymentKeyFile. The
// error lists every wrong setting.
func Read(r io.Reader, file string) (*Settings, error) {
	s := new(Settings)
	f := yamlfile.Read(r, file, s)
	s.fillDefaults()
	checkNames(f, s)
	checkAddresses(f, s)
	checkPlatform(f, s)
	checkKey(f, s)
	checkSpans(f, s)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func checkNames(f *yamlfile.File, s *Settings) {
	for field, value := range map[string]string{
		"Host": string(s.Host), "Zone": string(s.Zone), "Region": string(s.Region),
	} {
		check(f, name.MatchString(value), field, fmt.Sprintf("%q is not a name", value),
			"use at most 63 small letters, digits, dots and hyphens")
	}
	_, err := zerolog.ParseLevel(s.LogLevel)
	check(f, err == nil, "LogLevel", fmt.Sprintf("%q is not a level", s.LogLevel),
		"use debug, info, warn or error")
}

func checkAddresses(f *yamlfile.File, s *Settings) {
	for field, value := range map[string]string{"CallerListen": s.CallerListen, "PeerListen": s.PeerListen} {
		_, err := netip.ParseAddrPort(value)
		check(f, err == nil, field, fmt.Sprintf("%q is not an address", value), "write IP-NUMBER:PORT")
	}
	check(f, isReachable(s.PeerAddress), "PeerAddress", fmt.Sprintf("%q is not an address that peers can reach", s.PeerAddress),
		"write IP-NUMBER:PORT, not 0.0.0.0")
	check(f, isURL(s.CallerURL), "CallerURL", fmt.Sprintf("%q is not a base URL", s.CallerURL),
		"write http://IP-NUMBER:PORT")
	for i, p := range s.SeedPeers {
		check(f, isReachable(p), fmt.Sprintf("SeedPeers[%d]", i), fmt.Sprintf("%q is not an address", p),
			"write IP-NUMBER:PORT")
	}
}

func checkPlatform(f *yamlfile.File, s *Settings) {
	check(f, len(s.Store) > 0, "Store", "is missing or empty", "list the URLs of the key-value service")
	for i, u := range s.Store {
		check(f, isURL(u), fmt.Sprintf("Store[%d]", i), fmt.Sprintf("%q is not a base URL", u),
			"write http://IP-NUMBER:PORT")
	}
	check(f, s.HostList == "" || isURL(s.HostList), "HostList", fmt.Sprintf("%q is not a URL", s.HostList),
		"write http://IP-NUMBER:PORT/PATH or leave it out")
}

func checkKey(f *yamlfile.File, s *Settings) {
	field := "DeploymentKey"
	one := (s.DeploymentKey == "") != (s.DeploymentKeyFile == "")
	check(f, one, field, "needs either DeploymentKey or DeploymentKeyFile", "give exactly one of them")
	if s.DeploymentKeyFile != "" && one {
		field = "DeploymentKeyFile"
		key, err := readKey(s.DeploymentKeyFile)
		check(f, err == nil, field, fmt.Sprintf("cannot be read: %v", err), "check path and rights")
		s.DeploymentKey = key
	}
	key, err := hex.DecodeString(s.DeploymentKey)
	check(f, err == nil && len(key) >= MinKeyBytes, field, "is not a key",
		fmt.Sprintf("give at least %d hexadecimal digits drawn at random", 2*MinKeyBytes))
}

func readKey(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, maxKeyFileBytes))
	return strings.TrimSpace(string(b)), err
}

func checkSpans(f *yamlfile.File, s *Settings) {
	check(f, s.LeaseMillis >= MinLease && s.LeaseMillis <= MaxLease, "LeaseMillis", "is out of range",
		fmt.Sprintf("give %d to %d ms", MinLease, MaxLease))
	check(f, s.ShutdownGraceMillis >= 1 && s.ShutdownGraceMillis <= MaxGrace, "ShutdownGraceMillis", "is out of range",
		fmt.Sprintf("give 1 to %d ms", MaxGrace))
	check(f, s.LoadIntervalMillis >= MinLoadInterval && s.LoadIntervalMillis <= MaxLoadInterval, "LoadIntervalMillis",
		"is out of range", fmt.Sprintf("give %d to %d ms", MinLoadInterval, MaxLoadInterval))
}

// check records a problem unless the field already has one.
func check(f *yamlfile.File, ok bool, field, reason, remedy string) {
	if !ok && !f.HasProblem(field) {
		f.AddProblem(field, reason, remedy)
	}
}

func isReachable(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Port() > 0 && !ap.Addr().IsUnspecified()
}

func isURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && isReachable(u.Host)
}
