package standin

import (
	"encoding/json"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

// handleCall serves POST /call.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	var q ServiceCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(driver.HeaderAttempt)
	if out, ok := s.previousAnswer(attempt); ok {
		writeJSON(w, ServiceAnswer{Output: out})
		return
	}
	if !s.acquire() {
		w.Header().Set(driver.HeaderNotRun, "true")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "no free slot", http.StatusServiceUnavailable)
		return
	}
	customer := cicadapitch.CustomerID(r.Header.Get(driver.HeaderCustomer))
	run := s.recorder.start(attempt, customer, false)
	out, lost := s.execute(attempt, customer, q)
	err := s.clock.Sleep(r.Context(), s.callTime())
	s.recorder.end(run, err == nil && !lost)
	s.release()
	if lost {
		panic(http.ErrAbortHandler)
	}
	if s.silence.wait(r.Context(), s.clock) != nil {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, ServiceAnswer{Output: out})
}

// callTime returns the duration of a call.
func (s *Service) callTime() cicadapitch.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTime + s.delay
}

// previousAnswer returns the output of an attempt that has already run, if the
// service deduplicates attempts.
func (s *Service) previousAnswer(attempt string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, ok := s.answers[attempt]
	return out, ok && s.deduplicates
}

// execute creates the booking, if the service has bookings, and returns the
// output. It runs before the service time passes, so that a call that is cut
// off has already created its booking. lost is true if the response must be
// lost.
func (s *Service) execute(attempt string, customer cicadapitch.CustomerID, q ServiceCall) (out string, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.createsBookings {
		s.bookings = append(s.bookings, Booking{Attempt: attempt, Customer: customer, Input: q.Input, At: s.clock.Now()})
	}
	out = ServiceOutput(s.name, q.Input)
	if s.deduplicates {
		s.answers[attempt] = out
	}
	if s.responsesToLose > 0 {
		s.responsesToLose--
		return out, true
	}
	return out, false
}

// acquire takes a slot, or returns false if none is free.
func (s *Service) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots > 0 && s.running >= s.slots {
		return false
	}
	s.running++
	s.recordLoad()
	return true
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.recordLoad()
}
