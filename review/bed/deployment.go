package bed

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// startTime is how long hosts have before traffic begins.
const startTime = 8 * time.Second

// Zones are the availability zones of a deployment.
var Zones = []string{"obb-a", "obb-b", "obb-c"}

// Deployment is a small deployment with one service, whose replicas and hosts are in turn in the zones.
type Deployment struct {
	Store    *Store
	Replicas []*Replica
	Hosts    []*Host

	bed     *Bed
	service string
	prepare func(*Replica)
}

// Size is the number of hosts and of replicas.
type Size struct{ Hosts, Replicas int }

// Deploy starts a deployment with a configuration, and returns once traffic may begin. prepare sets up each replica.
func (b *Bed) Deploy(size Size, service string, config []byte, prepare func(*Replica)) (*Deployment, error) {
	store, err := b.NewStore()
	if err != nil {
		return nil, err
	}
	return b.DeployBefore(store, size, service, config, prepare)
}

// DeployBefore is Deploy before a store that was started already.
func (b *Bed) DeployBefore(store *Store, size Size, service string, config []byte, prepare func(*Replica)) (*Deployment, error) {
	var err error
	d := &Deployment{Store: store, bed: b, service: service, prepare: prepare}
	store.Set("op/config", config)
	for range size.Replicas {
		r, err := d.AddReplica()
		if err != nil {
			return nil, err
		}
		store.Set(r.Key(), r.Entry("ready"))
	}
	if d.Hosts, err = b.StartHosts(size.Hosts, Zones, store.Address); err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	return d, nil
}

// AddReplica starts a further replica, which has yet to write its entry.
func (d *Deployment) AddReplica() (*Replica, error) {
	i := len(d.Replicas)
	r, err := d.bed.NewReplica(i+1, d.service, Zones[i%len(Zones)], "v1")
	if err != nil {
		return nil, err
	}
	d.prepare(r)
	d.Replicas = append(d.Replicas, r)
	return r, nil
}

// Load sends requests to hosts at random.
type Load struct {
	factor  atomic.Value
	stopped atomic.Bool
	wg      sync.WaitGroup
}

// StartLoad calls send perSecond times a second, each time in a goroutine of its own.
func (d *Deployment) StartLoad(perSecond float64, send func(h *Host)) *Load {
	l := &Load{}
	l.factor.Store(1.0)
	l.wg.Go(func() {
		for !l.stopped.Load() {
			time.Sleep(time.Duration(float64(time.Second) / (perSecond * l.factor.Load().(float64))))
			h := d.Hosts[rand.IntN(len(d.Hosts))]
			l.wg.Go(func() { send(h) })
		}
	})
	return l
}

// Burst makes requests x times as many for a time.
func (l *Load) Burst(x float64, d time.Duration) {
	l.factor.Store(x)
	time.AfterFunc(d, func() { l.factor.Store(1.0) })
}

// Stop ends the load and waits for the answers.
func (l *Load) Stop() {
	l.stopped.Store(true)
	l.wg.Wait()
}
