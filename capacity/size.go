// Package capacity generates configurations of a given size. Its tests and
// benchmarks measure how much memory each role of a host uses at that size.
// docs/CAPACITY.md is derived from them.
package capacity

import (
	"fmt"

	"cicadapitch.example/cicadapitch"
)

// Size is the size of a deployment, as the number of each kind of part.
type Size struct {
	Regions   int
	Zones     int
	Hosts     int
	Models    int
	Endpoints int
	Customers int
	Pipelines int
}

// CurrentSize is the size of the present production deployment.
var CurrentSize = Size{Regions: 1, Zones: 3, Hosts: 8, Models: 1, Endpoints: 28, Customers: 5, Pipelines: 3}

// PlannedSize is the size that the system is designed for.
var PlannedSize = Size{Regions: 3, Zones: 10, Hosts: 340, Models: 5, Endpoints: 2900, Customers: 250, Pipelines: 6}

// Properties that generated configurations of all sizes have in common.
const (
	servicePoolCount  = 4
	maxShardEndpoints = 16
	stagesPerPipeline = 5
)

// Configuration generates a configuration of the size, with one engine pool for
// each model and a fixed number of service pools. The endpoints are distributed
// evenly over the pools and zones.
func (s Size) Configuration() *cicadapitch.Configuration {
	cfg := &cicadapitch.Configuration{Revision: 1, Deployment: "capacity", Weight: 0.5}
	for i := range s.Zones {
		region := cicadapitch.RegionID(fmt.Sprintf("region-%d", i%s.Regions))
		cfg.Zones = append(cfg.Zones, cicadapitch.Zone{ID: zoneID(i), Region: region})
	}
	for i := range s.Hosts {
		cfg.Hosts = append(cfg.Hosts, cicadapitch.HostSetting{ID: hostID(i)})
	}
	s.addPools(cfg)
	s.addEndpoints(cfg)
	s.addPipelines(cfg)
	s.addCustomers(cfg)
	return cfg
}

func (s Size) addPools(cfg *cicadapitch.Configuration) {
	for i := range s.Models + servicePoolCount {
		p := cicadapitch.Pool{ID: poolID(i), ColdSlots: 1, WarmSlots: 16, CostPerSlotSecond: 1}
		if i < s.Models {
			p.Kind = cicadapitch.Engine
			p.Model = cicadapitch.ModelID(fmt.Sprintf("model-%d", i))
		}
		cfg.Pools = append(cfg.Pools, p)
	}
}

func (s Size) addEndpoints(cfg *cicadapitch.Configuration) {
	poolCount := s.Models + servicePoolCount
	for i := range s.Endpoints {
		pool, zone := i%poolCount, i/poolCount%s.Zones
		shardIndex := i / poolCount / s.Zones / maxShardEndpoints
		cfg.Endpoints = append(cfg.Endpoints, cicadapitch.Endpoint{
			ID:      cicadapitch.EndpointID(fmt.Sprintf("endpoint-%d", i)),
			Pool:    poolID(pool),
			Zone:    zoneID(zone),
			Shard:   cicadapitch.ShardID(fmt.Sprintf("%s-%s-%d", poolID(pool), zoneID(zone), shardIndex)),
			Address: fmt.Sprintf("http://10.%d.%d.%d:8000", zone, i/250, i%250),
		})
	}
}

func (s Size) addPipelines(cfg *cicadapitch.Configuration) {
	for i := range s.Pipelines {
		p := cicadapitch.Pipeline{ID: pipelineID(i), Deadline: 9 * cicadapitch.Second}
		for j := range stagesPerPipeline {
			stage := cicadapitch.Stage{ID: cicadapitch.StageID(fmt.Sprintf("stage-%d", j)), Idempotent: true}
			stage.Pool = poolID(s.Models + j%servicePoolCount)
			if j == stagesPerPipeline-1 {
				stage.Pool, stage.Streams, stage.MaxTokens = poolID(i%s.Models), true, 260
			}
			p.Stages = append(p.Stages, stage)
		}
		cfg.Pipelines = append(cfg.Pipelines, p)
	}
}

func (s Size) addCustomers(cfg *cicadapitch.Configuration) {
	for i := range s.Customers {
		id := customerID(i)
		cfg.Customers = append(cfg.Customers, cicadapitch.Customer{
			ID: id, Share: 1, KeyHash: cicadapitch.HashKey(string(id)),
		})
	}
}

// Members returns a Ready member for each host. The shards of cfg, a configuration
// of the same size, are distributed evenly over the members.
func (s Size) Members(cfg *cicadapitch.Configuration) []cicadapitch.Member {
	members := make([]cicadapitch.Member, s.Hosts)
	for i := range members {
		zone := cfg.Zones[i%s.Zones]
		members[i] = cicadapitch.Member{
			Host: hostID(i), Zone: zone.ID, Region: zone.Region,
			Incarnation: cicadapitch.Incarnation(i + 1), State: cicadapitch.Ready, StoreUp: true, Revision: 1,
			PeerAddress: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
			CallerURL:   fmt.Sprintf("http://10.0.%d.%d:8000", i/250, i%250),
		}
	}
	for i, shard := range cfg.Shards() {
		m := &members[i%s.Hosts]
		m.Claims = append(m.Claims, cicadapitch.Claim{Shard: shard.ID, Fencing: 1})
	}
	return members
}

func zoneID(i int) cicadapitch.ZoneID { return cicadapitch.ZoneID(fmt.Sprintf("zone-%d", i)) }

func hostID(i int) cicadapitch.HostID { return cicadapitch.HostID(fmt.Sprintf("host-%03d", i)) }

func poolID(i int) cicadapitch.PoolID { return cicadapitch.PoolID(fmt.Sprintf("pool-%d", i)) }

func customerID(i int) cicadapitch.CustomerID {
	return cicadapitch.CustomerID(fmt.Sprintf("customer-%d", i))
}

func pipelineID(i int) cicadapitch.PipelineID {
	return cicadapitch.PipelineID(fmt.Sprintf("pipeline-%d", i))
}
