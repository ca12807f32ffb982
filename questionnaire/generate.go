package questionnaire

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// ShardSize is the greatest number of endpoints of one shard.
const ShardSize = 16

var punctuation = regexp.MustCompile(`[^a-z0-9]+`)

// Configuration generates the configuration. Equal answers give equal
// configurations with the same encoding. Revision and Change are left empty:
// they are set when the configuration is applied. Endpoints keep the order of
// the answers, so that an addition at the end moves no endpoint to another
// shard.
func (a *Answers) Configuration() (*cicadapitch.Configuration, error) {
	if a.Weight == nil {
		return nil, cicadapitch.NewError(cicadapitch.Invalid, "the answers have no Weight", "read them with Read")
	}
	return &cicadapitch.Configuration{
		Deployment: a.Deployment,
		Weight:     cicadapitch.Weight(*a.Weight),
		Zones: lo.Map(a.Zones, func(z Zone, _ int) cicadapitch.Zone {
			return cicadapitch.Zone{ID: z.Name, Region: z.Region}
		}),
		Hosts: lo.Map(a.Hosts, func(h Host, _ int) cicadapitch.HostSetting {
			return cicadapitch.HostSetting{ID: h.Name}
		}),
		Pools:     lo.Map(a.Pools, func(p Pool, _ int) cicadapitch.Pool { return pool(p) }),
		Endpoints: lo.FlatMap(a.Pools, func(p Pool, _ int) []cicadapitch.Endpoint { return endpoints(p) }),
		Pipelines: lo.FlatMap(a.Applications, func(app Application, _ int) []cicadapitch.Pipeline {
			return lo.Map(app.Pipelines, func(p Pipeline, _ int) cicadapitch.Pipeline { return pipeline(p) })
		}),
		Customers: lo.Map(a.Customers, func(c Customer, _ int) cicadapitch.Customer { return customer(c) }),
		Operators: lo.Map(a.Operators, func(o Operator, _ int) cicadapitch.Operator {
			return cicadapitch.Operator{ID: o.Name, KeyHash: keyHash(o.Key, o.KeyHash)}
		}),
	}, nil
}

func pool(p Pool) cicadapitch.Pool {
	return cicadapitch.Pool{
		ID:                p.Name,
		Kind:              lo.FromPtr(p.Kind),
		Model:             p.Model,
		Version:           p.Version,
		Adapters:          p.Adapters,
		ColdSlots:         p.ColdSlots,
		WarmSlots:         p.WarmSlots,
		CostPerSlotSecond: p.CostPerSlotSecond,
		RecognisesRepeats: p.RecognisesRepeats,
		ChecksFencing:     p.ChecksFencing,
		ChecksOrderer:     p.ChecksOrderer,
	}
}

// endpoints fills the shards of a pool zone by zone.
func endpoints(p Pool) []cicadapitch.Endpoint {
	count := make(map[cicadapitch.ZoneID]int)
	return lo.Map(p.Endpoints, func(e Endpoint, _ int) cicadapitch.Endpoint {
		n := count[e.Zone] / ShardSize
		count[e.Zone]++
		return cicadapitch.Endpoint{
			ID:      endpointID(p, e),
			Pool:    p.Name,
			Zone:    e.Zone,
			Shard:   cicadapitch.ShardID(fmt.Sprintf("%s-%s-%d", p.Name, e.Zone, n)),
			Address: strings.TrimSuffix(e.Address, "/"),
		}
	})
}

// endpointID names an endpoint by its pool and address, which stay the same
// when other endpoints come and go.
func endpointID(p Pool, e Endpoint) cicadapitch.EndpointID {
	if e.Name != "" {
		return e.Name
	}
	_, host, _ := strings.Cut(e.Address, "://")
	host = strings.Trim(punctuation.ReplaceAllString(strings.ToLower(host), "-"), "-")
	return cicadapitch.EndpointID(string(p.Name) + "-" + host)
}

func pipeline(p Pipeline) cicadapitch.Pipeline {
	return cicadapitch.Pipeline{
		ID:            p.Name,
		Deadline:      p.DeadlineMillis,
		FirstToken:    p.FirstTokenMillis,
		BetweenTokens: p.BetweenTokensMillis,
		Stages: lo.Map(p.Stages, func(s Stage, _ int) cicadapitch.Stage {
			return cicadapitch.Stage{
				ID:             s.Name,
				Pool:           s.Pool,
				Idempotent:     s.NeverRepeat != nil && !*s.NeverRepeat,
				ExpectedMillis: s.ExpectedMillis,
				MaxTokens:      s.MaxTokens,
				Streams:        s.Streams,
			}
		}),
	}
}

func customer(c Customer) cicadapitch.Customer {
	return cicadapitch.Customer{
		ID:      c.Name,
		KeyHash: keyHash(c.Key, c.KeyHash),
		Share:   c.Share,
		Deadlines: lo.Map(c.Deadlines, func(d Deadline, _ int) cicadapitch.CustomerDeadline {
			return cicadapitch.CustomerDeadline{Pipeline: d.Pipeline, Deadline: d.DeadlineMillis}
		}),
	}
}

func keyHash(key, hash string) string {
	if key != "" {
		return cicadapitch.HashKey(key)
	}
	return hash
}
