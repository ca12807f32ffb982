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

// Service is a fake of a plain service, which gives one answer per call.
type Service struct {
	clock           cicadapitch.Clock
	name            string
	serviceTime     cicadapitch.Millis
	slots           cicadapitch.Slots
	createsBookings bool
	deduplicates    bool
	reports         delayedReports
	recorder        runRecorder
	silence         silence
	mux             *http.ServeMux

	mu      sync.Mutex
	running cicadapitch.Slots
	leaving bool
	// responsesToLose is the number of next calls that run but get no response:
	// their connection is aborted.
	responsesToLose int
	// delay is added to the duration of each call.
	delay    cicadapitch.Millis
	bookings []Booking
	// answers holds the output by attempt id, for deduplication.
	answers map[string]string
}

// Booking is the side effect of one call to a service with bookings.
type Booking struct {
	Attempt  string
	Customer cicadapitch.CustomerID
	Input    string
	At       cicadapitch.Instant
}

// ServiceOption sets an option of a Service.
type ServiceOption func(*Service)

// WithName sets the service name, with which each output begins.
func WithName(name string) ServiceOption { return func(s *Service) { s.name = name } }

// WithServiceTime sets the duration of a call.
func WithServiceTime(m cicadapitch.Millis) ServiceOption {
	return func(s *Service) { s.serviceTime = m }
}

// WithServiceSlots sets the number of calls that run concurrently, 0 for no
// limit. The service refuses further calls and marks them as not run.
func WithServiceSlots(n cicadapitch.Slots) ServiceOption {
	return func(s *Service) { s.slots = n }
}

// WithBookings makes every call create a booking.
func WithBookings() ServiceOption { return func(s *Service) { s.createsBookings = true } }

// WithDeduplication makes the service store the output of each attempt id and
// answer later calls with that id from it, without running them.
func WithDeduplication() ServiceOption { return func(s *Service) { s.deduplicates = true } }

// WithServiceReportLag sets the age of the load that GET /load shows.
func WithServiceReportLag(m cicadapitch.Millis) ServiceOption {
	return func(s *Service) { s.reports.lag = m }
}

// NewService returns a service whose calls are idempotent unless WithBookings
// is given.
func NewService(clock cicadapitch.Clock, opts ...ServiceOption) *Service {
	s := &Service{clock: clock, name: "service", answers: make(map[string]string)}
	s.reports.clock = clock
	s.recorder.clock = clock
	for _, opt := range opts {
		opt(s)
	}
	s.mux = http.NewServeMux()
	s.mux.HandleFunc("POST /call", s.handleCall)
	s.mux.HandleFunc("GET /load", func(w http.ResponseWriter, r *http.Request) {
		if s.silence.wait(r.Context(), s.clock) == nil {
			writeJSON(w, s.reports.current())
		}
	})
	s.mux.HandleFunc("GET /record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record()) })
	s.mux.HandleFunc("POST /faults", s.handleFaults)
	s.recordLoad()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns all runs that the service has started, in start order.
func (s *Service) Runs() []Run { return s.recorder.Runs() }

// Bookings returns all bookings in the order of their creation.
func (s *Service) Bookings() []Booking {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Booking{}, s.bookings...)
}

// ServiceRecord is the body of GET /record of a Service.
type ServiceRecord struct {
	Runs     []Run
	Bookings []Booking
}

// Record returns everything that the service has recorded.
func (s *Service) Record() ServiceRecord {
	return ServiceRecord{Runs: s.Runs(), Bookings: s.Bookings()}
}

// ServiceFaults is the body of POST /faults of a Service.
type ServiceFaults struct {
	// LoseAnswers is the number of next calls that run but get no response:
	// their connection is aborted.
	LoseAnswers int
	// Leaving is the Leaving flag of the load report.
	Leaving bool
	// SilentMillis is how long the service sends nothing from now on.
	SilentMillis cicadapitch.Millis
	// DelayMillis is added to the duration of each call.
	DelayMillis cicadapitch.Millis
}

// handleFaults serves POST /faults.
func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&f); err != nil {
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
	s.responsesToLose, s.leaving, s.delay = f.LoseAnswers, f.Leaving, f.DelayMillis
	s.FallSilent(f.SilentMillis)
	s.recordLoad()
}

// recordLoad adds the current load to the delayed reports. The caller must hold
// s.mu.
func (s *Service) recordLoad() {
	s.reports.add(cicadapitch.LoadReport{Running: s.running, Leaving: s.leaving})
}
