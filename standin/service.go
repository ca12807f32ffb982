package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"cicadapitch.example/cicadapitch"
)

// ServiceCall is the body of POST /call.
type ServiceCall struct {
	Input  string
	Prefix string
}

// ServiceAnswer is the answer to POST /call.
type ServiceAnswer struct {
	Output string
}

// Service is a plain service with one answer a call.
type Service struct {
	clock       cicadapitch.Clock
	name        string
	serviceTime cicadapitch.Millis
	slots       cicadapitch.Slots
	books       bool
	recognises  bool
	reports     lagged
	record      record
	mux         *http.ServeMux

	mu       sync.Mutex
	running  cicadapitch.Slots
	leaving  bool
	lose     int
	bookings []Booking
	answers  map[string]string
}

// Booking is one effect of a booking service.
type Booking struct {
	Attempt  string
	Customer cicadapitch.CustomerID
	Input    string
	At       cicadapitch.Instant
}

// ServiceOption sets an option of a Service.
type ServiceOption func(*Service)

// WithName sets the name that the answers begin with.
func WithName(name string) ServiceOption { return func(s *Service) { s.name = name } }

// WithServiceTime sets the time of a call.
func WithServiceTime(m cicadapitch.Millis) ServiceOption {
	return func(s *Service) { s.serviceTime = m }
}

// WithServiceSlots lets the service refuse calls above n at once, with a
// statement that they did not run.
func WithServiceSlots(n cicadapitch.Slots) ServiceOption {
	return func(s *Service) { s.slots = n }
}

// WithBookings lets every call book.
func WithBookings() ServiceOption { return func(s *Service) { s.books = true } }

// WithDeduplication lets the service run one attempt id at most once.
func WithDeduplication() ServiceOption { return func(s *Service) { s.recognises = true } }

// WithServiceReportLag lets GET /load show the load of the given span ago.
func WithServiceReportLag(m cicadapitch.Millis) ServiceOption {
	return func(s *Service) { s.reports.lag = m }
}

// NewService returns a service whose calls are idempotent unless WithBookings
// is given.
func NewService(clock cicadapitch.Clock, opts ...ServiceOption) *Service {
	s := &Service{clock: clock, name: "service", answers: make(map[string]string)}
	s.reports.clock = clock
	s.record.clock = clock
	for _, opt := range opts {
		opt(s)
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /call", s.call)
	s.mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.reports.current()) })
	s.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record()) })
	s.mux.HandleFunc("POST /faults", s.faults)
	s.report()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns all work that was started.
func (s *Service) Runs() []Run { return s.record.Runs() }

// Bookings returns all bookings in their order.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking{}, s.bookings...)
}

// ServiceRecord is the body of GET /record.
type ServiceRecord struct {
	Runs     []Run
	Bookings []Booking
}

// Record returns all that the service did.
func (s *Service) Record() ServiceRecord {
	return ServiceRecord{Runs: s.Runs(), Bookings: s.Bookings()}
}

// ServiceFaults is the body of POST /faults.
type ServiceFaults struct {
	// LoseAnswers lets the next calls run but cuts their connections.
	LoseAnswers int
	// Leaving sets what the load report says.
	Leaving bool
}

func (s *Service) faults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineRequest)).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	writeJSON(w, f)
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose, s.leaving = f.LoseAnswers, f.Leaving
	s.report()
}

// report records the present load. The caller holds the lock.
func (s *Service) report() {
	s.reports.add(cicadapitch.LoadReport{Running: s.running, Leaving: s.leaving})
}
