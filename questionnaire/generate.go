package questionnaire

import (
	"fmt"
	"regexp"
	"strings"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
)

// MaxShardEndpoints is the maximum number of endpoints in one shard.
const MaxShardEndpoints = 16

var nonAlphanumeric = regexp.MustCompile(`[^a-z0-9]+`)

// Configuration generates the configuration from answers that Read has checked.
// Equal answers generate equal configurations with the same encoding. Revision and
// Change are zero; they are set when the configuration is applied. Endpoints keep
// the order of the answers, so an endpoint added at the end of a pool moves no
// other endpoint to another shard. Answers without Weight are an Invalid error.
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
		Pools:     lo.Map(a.Pools, func(p Pool, _ int) cicadapitch.Pool { return generatePool(p) }),
		Endpoints: lo.FlatMap(a.Pools, func(p Pool, _ int) []cicadapitch.Endpoint { return generateEndpoints(p) }),
		Pipelines: lo.FlatMap(a.Applications, func(app Application, _ int) []cicadapitch.Pipeline {
			return lo.Map(app.Pipelines, func(p Pipeline, _ int) cicadapitch.Pipeline { return generatePipeline(p) })
		}),
		Customers: lo.Map(a.Customers, func(c Customer, _ int) cicadapitch.Customer { return generateCustomer(c) }),
		Operators: lo.Map(a.Operators, func(o Operator, _ int) cicadapitch.Operator {
			return cicadapitch.Operator{ID: o.Name, KeyHash: keyHash(o.Key, o.KeyHash)}
		}),
	}, nil
}

func generatePool(p Pool) cicadapitch.Pool {
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

// generateEndpoints returns the endpoints of a pool. A shard contains up to
// MaxShardEndpoints endpoints of one zone.
func generateEndpoints(p Pool) []cicadapitch.Endpoint {
	count := make(map[cicadapitch.ZoneID]int)
	return lo.Map(p.Endpoints, func(e Endpoint, _ int) cicadapitch.Endpoint {
		n := count[e.Zone] / MaxShardEndpoints
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

// endpointID returns the name of the endpoint. The default is derived from its pool
// and address, so it does not change when other endpoints are added or removed.
func endpointID(p Pool, e Endpoint) cicadapitch.EndpointID {
	if e.Name != "" {
		return e.Name
	}
	_, host, _ := strings.Cut(e.Address, "://")
	host = strings.Trim(nonAlphanumeric.ReplaceAllString(strings.ToLower(host), "-"), "-")
	return cicadapitch.EndpointID(string(p.Name) + "-" + host)
}

func generatePipeline(p Pipeline) cicadapitch.Pipeline {
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

func generateCustomer(c Customer) cicadapitch.Customer {
	return cicadapitch.Customer{
		ID:      c.Name,
		KeyHash: keyHash(c.Key, c.KeyHash),
		Share:   c.Share,
		Deadlines: lo.Map(c.Deadlines, func(d Deadline, _ int) cicadapitch.CustomerDeadline {
			return cicadapitch.CustomerDeadline{Pipeline: d.Pipeline, Deadline: d.DeadlineMillis}
		}),
	}
}

// keyHash returns the hash of key, or hash if key is empty.
func keyHash(key, hash string) string {
	if key != "" {
		return cicadapitch.HashKey(key)
	}
	return hash
}
