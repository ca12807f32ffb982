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

// MinKeyBytes is the minimum length of the deployment key in bytes. The settings
// contain two hexadecimal digits for each byte.
const MinKeyBytes = 16

// Limits of the durations in the settings, in milliseconds.
const (
	MinLeaseMillis         = cicadapitch.Second
	MaxLeaseMillis         = 5 * cicadapitch.Minute
	MaxShutdownGraceMillis = 60 * cicadapitch.Minute
	MinLoadIntervalMillis  = cicadapitch.Second
	MaxLoadIntervalMillis  = 60 * cicadapitch.Minute
)

// maxKeyFileBytes is how much of the file with the deployment key is read.
const maxKeyFileBytes = 4096

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// Read reads the YAML settings in r, sets the defaults of optional settings and
// checks all settings. file is the file name for error messages. If
// DeploymentKeyFile is set, Read copies the key from that file to DeploymentKey.
// The error lists every invalid setting; in that case the settings are nil.
func Read(r io.Reader, file string) (*Settings, error) {
	s := new(Settings)
	f := yamlfile.Read(r, file, s)
	s.fillDefaults()
	checkNames(f, s)
	checkAddresses(f, s)
	checkPlatform(f, s)
	checkKey(f, s)
	checkDurations(f, s)
	if err := f.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

func checkNames(f *yamlfile.File, s *Settings) {
	for field, value := range map[string]string{
		"Host": string(s.Host), "Zone": string(s.Zone), "Region": string(s.Region),
	} {
		checkField(f, namePattern.MatchString(value), field, fmt.Sprintf("%q is not a name", value),
			"use at most 63 lowercase letters, digits, dots and hyphens")
	}
	_, err := zerolog.ParseLevel(s.LogLevel)
	checkField(f, err == nil, "LogLevel", fmt.Sprintf("%q is not a log level", s.LogLevel),
		"use debug, info, warn or error")
}

func checkAddresses(f *yamlfile.File, s *Settings) {
	for field, value := range map[string]string{"CallerListen": s.CallerListen, "PeerListen": s.PeerListen} {
		_, err := netip.ParseAddrPort(value)
		checkField(f, err == nil, field, fmt.Sprintf("%q is not an address", value), "write IP-NUMBER:PORT")
	}
	checkField(f, isReachableAddress(s.PeerAddress), "PeerAddress", fmt.Sprintf("%q is not an address that peers can reach", s.PeerAddress),
		"write IP-NUMBER:PORT, not 0.0.0.0")
	checkField(f, isBaseURL(s.CallerURL), "CallerURL", fmt.Sprintf("%q is not a base URL", s.CallerURL),
		"write http://IP-NUMBER:PORT")
	for i, p := range s.SeedPeers {
		checkField(f, isReachableAddress(p), fmt.Sprintf("SeedPeers[%d]", i), fmt.Sprintf("%q is not an address", p),
			"write IP-NUMBER:PORT")
	}
}

func checkPlatform(f *yamlfile.File, s *Settings) {
	checkField(f, len(s.Store) > 0, "Store", "is missing or empty", "list the URLs of the key-value service")
	for i, u := range s.Store {
		checkField(f, isBaseURL(u), fmt.Sprintf("Store[%d]", i), fmt.Sprintf("%q is not a base URL", u),
			"write http://IP-NUMBER:PORT")
	}
	checkField(f, s.HostList == "" || isBaseURL(s.HostList), "HostList", fmt.Sprintf("%q is not a URL", s.HostList),
		"write http://IP-NUMBER:PORT/PATH or leave it out")
}

func checkKey(f *yamlfile.File, s *Settings) {
	field := "DeploymentKey"
	exactlyOneGiven := (s.DeploymentKey == "") != (s.DeploymentKeyFile == "")
	checkField(f, exactlyOneGiven, field, "is missing, or DeploymentKeyFile is given as well", "give exactly one of them")
	if s.DeploymentKeyFile != "" && exactlyOneGiven {
		field = "DeploymentKeyFile"
		key, err := readKeyFile(s.DeploymentKeyFile)
		checkField(f, err == nil, field, fmt.Sprintf("cannot be read: %v", err), "check the path and the file permissions")
		s.DeploymentKey = key
	}
	key, err := hex.DecodeString(s.DeploymentKey)
	checkField(f, err == nil && len(key) >= MinKeyBytes, field, "is not a key",
		fmt.Sprintf("use at least %d random hexadecimal digits", 2*MinKeyBytes))
}

// readKeyFile returns the contents of the file at path without surrounding white
// space.
func readKeyFile(path string) (string, error) {
	file, err := os.Open(path)
	if err != nil {
		return "", err
	}
	defer file.Close()
	b, err := io.ReadAll(io.LimitReader(file, maxKeyFileBytes))
	return strings.TrimSpace(string(b)), err
}

func checkDurations(f *yamlfile.File, s *Settings) {
	checkField(f, s.LeaseMillis >= MinLeaseMillis && s.LeaseMillis <= MaxLeaseMillis, "LeaseMillis", "is out of range",
		fmt.Sprintf("give %d to %d ms", MinLeaseMillis, MaxLeaseMillis))
	checkField(f, s.ShutdownGraceMillis >= 1 && s.ShutdownGraceMillis <= MaxShutdownGraceMillis, "ShutdownGraceMillis", "is out of range",
		fmt.Sprintf("give 1 to %d ms", MaxShutdownGraceMillis))
	checkField(f, s.LoadIntervalMillis >= MinLoadIntervalMillis && s.LoadIntervalMillis <= MaxLoadIntervalMillis, "LoadIntervalMillis",
		"is out of range", fmt.Sprintf("give %d to %d ms", MinLoadIntervalMillis, MaxLoadIntervalMillis))
}

// checkField records a problem with a field if ok is false and the field has no
// recorded problem yet.
func checkField(f *yamlfile.File, ok bool, field, reason, remedy string) {
	if !ok && !f.HasProblem(field) {
		f.AddProblem(field, reason, remedy)
	}
}

// isReachableAddress reports whether address is an ip:port to which another host
// can connect.
func isReachableAddress(address string) bool {
	ap, err := netip.ParseAddrPort(address)
	return err == nil && ap.Port() > 0 && !ap.Addr().IsUnspecified()
}

// isBaseURL reports whether s is an HTTP or HTTPS URL with an IP address and a
// port, and without user, query or fragment. A path is allowed.
func isBaseURL(s string) bool {
	u, err := url.Parse(s)
	if err != nil || u.User != nil || u.RawQuery != "" || u.Fragment != "" {
		return false
	}
	return (u.Scheme == "http" || u.Scheme == "https") && isReachableAddress(u.Host)
}
