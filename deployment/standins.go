package deployment

import (
	"net"
	"net/http"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/standin"
)

// Service times of the stand-ins.
const (
	tokenTime   cicadapitch.Millis = 10
	serviceTime cicadapitch.Millis = 10
	bookingTime cicadapitch.Millis = 20
)

// warmAfter counts the completions until a cold engine is warm.
const warmAfter = 4

// serveHTTP serves h on a free loopback port and returns its base URL.
func (l *Local) serveHTTP(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", cicadapitch.Wrap(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: serviceTimeout.Duration()}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// startEndpoints starts a stand-in for each endpoint of the answers and puts
// its address there.
func (l *Local) startEndpoints(a *questionnaire.Answers) error {
	for i := range a.Pools {
		p := &a.Pools[i]
		books := l.neverRepeats(a, p.Name)
		for j := range p.Endpoints {
			url, err := l.startEndpoint(p, p.Endpoints[j].Name, books)
			if err != nil {
				return err
			}
			p.Endpoints[j].Address = url
		}
	}
	return nil
}

func (l *Local) startEndpoint(p *questionnaire.Pool, id cicadapitch.EndpointID, books bool) (string, error) {
	if p.Kind != nil && *p.Kind == cicadapitch.Engine {
		e := l.newEngine(p)
		l.Engines[id] = e
		return l.serveHTTP(e)
	}
	opts := []standin.ServiceOption{standin.WithName(string(p.Name)), standin.WithServiceTime(serviceTime)}
	if books {
		opts = append(opts, standin.WithBookings(), standin.WithServiceTime(bookingTime))
	}
	s := standin.NewService(l.clock, opts...)
	l.Services[id] = s
	return l.serveHTTP(s)
}

func (l *Local) newEngine(p *questionnaire.Pool) *standin.Engine {
	opts := []standin.EngineOption{
		standin.WithTokenTime(tokenTime, 0),
		standin.WithSlots(p.WarmSlots),
		standin.WithEngineColdStart(p.ColdSlots, warmAfter),
	}
	if p.ChecksFencing {
		opts = append(opts, standin.WithFencingCheck())
	}
	return standin.NewEngine(l.clock, opts...)
}

// neverRepeats reports whether a stage of the pool may not be repeated.
func (l *Local) neverRepeats(a *questionnaire.Answers, pool cicadapitch.PoolID) bool {
	for _, app := range a.Applications {
		for _, p := range app.Pipelines {
			for _, s := range p.Stages {
				if s.Pool == pool && s.NeverRepeat != nil && *s.NeverRepeat {
					return true
				}
			}
		}
	}
	return false
}

// Bookings returns all bookings of the services whose name begins with prefix.
func (l *Local) Bookings(prefix string) []standin.Booking {
	var all []standin.Booking
	for id, s := range l.Services {
		if strings.HasPrefix(string(id), prefix) {
			all = append(all, s.Bookings()...)
		}
	}
	return all
}
