package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/settings"
)

const validSettings = `Host: entry-a1
Zone: a
Region: oberbayern
CallerListen: 0.0.0.0:8080
CallerURL: http://127.0.0.1:8080
PeerListen: 127.0.0.1:8081
PeerAddress: 127.0.0.1:8081
DeploymentKey: 000102030405060708090a0b0c0d0e0f
Store:
  - http://127.0.0.1:2379
SeedPeers: ['127.0.0.1:8181']
`

func TestReadFillsDefaults(t *testing.T) {
	s, err := settings.Read(strings.NewReader(validSettings), "host.yaml")
	require.NoError(t, err)
	require.Equal(t, settings.DefaultLeaseMillis, s.LeaseMillis)
	require.Equal(t, settings.DefaultShutdownGraceMillis, s.ShutdownGraceMillis)
	require.Equal(t, zerolog.InfoLevel, s.Level())
}

func TestReadLoadsDeploymentKeyFromFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "key")
	require.NoError(t, os.WriteFile(path, []byte("000102030405060708090a0b0c0d0e0f\n"), 0o600))
	body := strings.Replace(validSettings, "DeploymentKey: 000102030405060708090a0b0c0d0e0f", "DeploymentKeyFile: "+path, 1)
	s, err := settings.Read(strings.NewReader(body), "host.yaml")
	require.NoError(t, err)
	require.Equal(t, "000102030405060708090a0b0c0d0e0f", s.DeploymentKey)
}

func TestReadRejectsInvalidSettings(t *testing.T) {
	for _, c := range []struct{ old, replacement, problem string }{
		{"Host: entry-a1", "Host: ''", "1: Host: "},
		{"Host: entry-a1", "Hots: x", "1: Hots: is not a known field"},
		{"Host: entry-a1", "Host: a\nHost: b", "2: Host: is given twice"},
		{"http://127.0.0.1:8080", "http://localhost:8080", "5: CallerURL: "},
		{"CallerListen: 0.0.0.0:8080", "CallerListen: 8080", "4: CallerListen: "},
		{"PeerAddress: 127.0.0.1:8081", "PeerAddress: 0.0.0.0:8081", "7: PeerAddress: "},
		{"0c0d0e0f", "zz", "8: DeploymentKey: is not a key"},
		{"DeploymentKey: ", "DeploymentKeyFile: /nowhere/", "8: DeploymentKeyFile: cannot be read"},
		{"  - http://127.0.0.1:2379", "  - ftp://127.0.0.1:2379", "10: Store[0]: "},
		{"'127.0.0.1:8181'", "peer", "11: SeedPeers[0]: "},
		{"SeedPeers", "LogLevel: loud\nSeedPeers", "11: LogLevel: "},
		{"SeedPeers", "LeaseMillis: 1\nSeedPeers", "11: LeaseMillis: "},
		{"SeedPeers", "HostList: nowhere\nSeedPeers", "11: HostList: "},
		{"SeedPeers", "LoadIntervalMillis: 999\nSeedPeers", "11: LoadIntervalMillis: "},
		{"SeedPeers", "ShutdownGraceMillis: -1\nSeedPeers", "11: ShutdownGraceMillis: "},
	} {
		s, err := settings.Read(strings.NewReader(strings.Replace(validSettings, c.old, c.replacement, 1)), "host.yaml")
		require.Nil(t, s)
		require.ErrorContains(t, err, c.problem)
	}
}

func TestReadReportsAllInvalidSettings(t *testing.T) {
	_, err := settings.Read(strings.NewReader("Zone: a\n"), "host.yaml")
	for _, field := range []string{
		"Host", "Region", "CallerListen", "CallerURL", "PeerListen", "PeerAddress", "DeploymentKey", "Store",
	} {
		require.ErrorContains(t, err, "host.yaml:1: "+field+": ")
	}
}

func FuzzRead(f *testing.F) {
	f.Add(validSettings)
	f.Add("Store: {")
	f.Add("LeaseMillis: 99999999999999999999")
	f.Add(strings.Repeat("{a: ", 2000))
	f.Fuzz(func(t *testing.T, body string) {
		if s, err := settings.Read(strings.NewReader(body), "fuzz.yaml"); err != nil {
			require.Nil(t, s)
		}
	})
}

func TestExampleSettingsAreValid(t *testing.T) {
	f, err := os.Open("../examples/settings/entry-a1.yaml")
	require.NoError(t, err)
	defer f.Close()
	_, err = settings.Read(f, "entry-a1.yaml")
	require.NoError(t, err)
}
