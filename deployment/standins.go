package deployment

import (
	"net"
	"net/http"
	"strings"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/questionnaire"
	"cicadapitch.example/cicadapitch/standin"
)

// Service times of the stand-ins, in milliseconds: of an engine for each token, and
// of a service for each call.
const (
	tokenTime       cicadapitch.Millis = 10
	serviceCallTime cicadapitch.Millis = 10
	bookingCallTime cicadapitch.Millis = 20
)

// warmUpCompletions is the number of completions after which a cold engine is warm.
const warmUpCompletions = 4

// serveHTTP serves h on a free loopback port and returns its base URL.
func (l *Local) serveHTTP(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", cicadapitch.Wrap(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout.Duration()}
	l.servers = append(l.servers, server)
	go func() { _ = server.Serve(listener) }()
	return "http://" + listener.Addr().String(), nil
}

// startEndpoints starts a stand-in for each endpoint in the answers and writes the
// stand-in's address to the answers.
func (l *Local) startEndpoints(answers *questionnaire.Answers) error {
	for i := range answers.Pools {
		p := &answers.Pools[i]
		isBooking := l.isBookingPool(answers, p.Name)
		for j := range p.Endpoints {
			url, err := l.startEndpoint(p, p.Endpoints[j].Name, isBooking)
			if err != nil {
				return err
			}
			p.Endpoints[j].Address = url
		}
	}
	return nil
}

// startEndpoint starts a stand-in for one endpoint of pool p and returns its base
// URL.
func (l *Local) startEndpoint(p *questionnaire.Pool, id cicadapitch.EndpointID, isBooking bool) (string, error) {
	if p.Kind != nil && *p.Kind == cicadapitch.Engine {
		e := l.newEngine(p)
		l.Engines[id] = e
		return l.serveHTTP(e)
	}
	opts := []standin.ServiceOption{standin.WithName(string(p.Name)), standin.WithServiceTime(serviceCallTime)}
	if isBooking {
		opts = append(opts, standin.WithBookings(), standin.WithServiceTime(bookingCallTime))
	}
	s := standin.NewService(l.clock, opts...)
	l.Services[id] = s
	return l.serveHTTP(s)
}

func (l *Local) newEngine(p *questionnaire.Pool) *standin.Engine {
	opts := []standin.EngineOption{
		standin.WithTokenTime(tokenTime, 0),
		standin.WithSlots(p.WarmSlots),
		standin.WithEngineColdStart(p.ColdSlots, warmUpCompletions),
	}
	if p.ChecksFencing {
		opts = append(opts, standin.WithFencingCheck())
	}
	return standin.NewEngine(l.clock, opts...)
}

// isBookingPool reports whether a stage that may not be repeated runs on the pool.
// The stand-ins of such a pool make a booking with each call.
func (l *Local) isBookingPool(answers *questionnaire.Answers, pool cicadapitch.PoolID) bool {
	for _, app := range answers.Applications {
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

// Bookings returns all bookings that were made at service endpoints whose id begins
// with prefix.
func (l *Local) Bookings(prefix string) []standin.Booking {
	var all []standin.Booking
	for id, s := range l.Services {
		if strings.HasPrefix(string(id), prefix) {
			all = append(all, s.Bookings()...)
		}
	}
	return all
}
