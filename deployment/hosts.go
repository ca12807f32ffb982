package deployment

import (
	"encoding/hex"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/settings"
)

// Settings of hosts on one machine.
const (
	leaseMillis cicadapitch.Millis = 3 * cicadapitch.Second
	graceMillis cicadapitch.Millis = 20 * cicadapitch.Second
	keyBytes                       = 32
)

// HostSettings returns the settings of each host of the answers on one machine,
// spread over the zones in turn. Each host takes two of the ip:port addresses,
// one for callers and one for peers. The deployment key is all zeros.
func HostSettings(a *questionnaire.Answers, addresses []string, storeURL string) []*settings.Settings {
	var hosts []*settings.Settings
	var seeds []string
	for i, h := range a.Hosts {
		zone := a.Zones[i%len(a.Zones)]
		caller, peers := addresses[2*i], addresses[2*i+1]
		seeds = append(seeds, peers)
		hosts = append(hosts, &settings.Settings{
			Host: h.Name, Zone: zone.Name, Region: zone.Region,
			CallerListen: caller, CallerURL: "http://" + caller,
			PeerListen: peers, PeerAddress: peers,
			DeploymentKey: hex.EncodeToString(make([]byte, keyBytes)),
			Store:         []string{storeURL},
			LeaseMillis:   leaseMillis, ShutdownGraceMillis: graceMillis,
		})
	}
	for _, s := range hosts {
		s.SeedPeers = seeds
	}
	return hosts
}
