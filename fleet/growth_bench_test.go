package fleet_test

import (
	"fmt"
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/fleet"
)

func newLargeState(hosts, endpoints int) *fleet.State {
	s := fleet.NewState()
	for i := range hosts {
		s.SetHost(fmt.Sprint("hosts/", i), fleet.Host{ID: cicadapitch.HostID(fmt.Sprint("h", i)), Incarnation: fmt.Sprintf("%016x", i*7919), Peers: fmt.Sprintf("10.0.%d.%d:7740", i/250, i%250)})
	}
	for i := range endpoints {
		s.SetEndpoint(0, largeEndpoint(i))
	}
	return s
}

func largeEndpoint(i int) catalog.Endpoint {
	return catalog.Endpoint{
		ID: cicadapitch.EndpointID(fmt.Sprintf("endpoint-%05d", i)), Service: catalog.ServiceID(fmt.Sprint("service-", i%4)),
		Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), Zone: cicadapitch.ZoneID(fmt.Sprint("z", i%5)), Version: "v1",
	}
}

// BenchmarkViewAfterAChange measures a view after one endpoint has changed.
func BenchmarkViewAfterAChange(b *testing.B) {
	for _, hosts := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("%d hosts, %d endpoints", hosts, 10*hosts), func(b *testing.B) {
			s := newLargeState(hosts, 10*hosts)
			s.View()
			for b.Loop() {
				s.SetEndpoint(1, largeEndpoint(0))
				s.View()
			}
		})
	}
}

// BenchmarkRank measures the order of the endpoints of a service for a session.
func BenchmarkRank(b *testing.B) {
	for _, n := range []int{78, 750} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newLargeState(1, 4*n)
			list := s.View().Endpoints("service-1")
			for b.Loop() {
				fleet.Rank("session", list, func(e fleet.Endpoint) string { return string(e.ID) })
			}
		})
	}
}
