package deployment

import (
	"encoding/hex"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/settings"
)

// Settings that all hosts on one machine have in common.
const (
	leaseMillis         cicadapitch.Millis = 3 * cicadapitch.Second
	shutdownGraceMillis cicadapitch.Millis = 20 * cicadapitch.Second
	deploymentKeyBytes                     = 32
)

// HostSettings returns the settings of each host in the answers for running all
// hosts on one machine. It assigns the zones to the hosts in turn. addresses must
// have two ip:port addresses for each host: the first for callers, the second for
// peers. The deployment key is all zeros. HostList, LogLevel and LoadIntervalMillis
// stay empty; only settings.Read sets defaults.
func HostSettings(answers *questionnaire.Answers, addresses []string, storeURL string) []*settings.Settings {
	var hosts []*settings.Settings
	var seeds []string
	for i, h := range answers.Hosts {
		zone := answers.Zones[i%len(answers.Zones)]
		callerAddress, peerAddress := addresses[2*i], addresses[2*i+1]
		seeds = append(seeds, peerAddress)
		hosts = append(hosts, &settings.Settings{
			Host: h.Name, Zone: zone.Name, Region: zone.Region,
			CallerListen: callerAddress, CallerURL: "http://" + callerAddress,
			PeerListen: peerAddress, PeerAddress: peerAddress,
			DeploymentKey: hex.EncodeToString(make([]byte, deploymentKeyBytes)),
			Store:         []string{storeURL},
			LeaseMillis:   leaseMillis, ShutdownGraceMillis: shutdownGraceMillis,
		})
	}
	for _, s := range hosts {
		s.SeedPeers = seeds
	}
	return hosts
}
