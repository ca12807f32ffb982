package standin

import (
	"encoding/json"
	"net/http"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/driver"
)

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	var q ServiceCall
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEngineRequest)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	attempt := r.Header.Get(driver.HeaderAttempt)
	if out, ok := s.earlier(attempt); ok {
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
	run := s.record.start(attempt, customer, false)
	out, lost := s.serve(attempt, customer, q)
	err := s.clock.Sleep(r.Context(), s.serviceTime)
	s.record.end(run, err == nil && !lost)
	s.release()
	if lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, ServiceAnswer{Output: out})
}

func (s *Service) earlier(attempt string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out, ok := s.answers[attempt]
	return out, ok && s.recognises
}

// serve books where the service books, before the time of the call passes, so
// that a call that is cut short has booked.
func (s *Service) serve(attempt string, customer cicadapitch.CustomerID, q ServiceCall) (out string, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.books {
		s.bookings = append(s.bookings, Booking{Attempt: attempt, Customer: customer, Input: q.Input, At: s.clock.Now()})
	}
	out = ServiceOutput(s.name, q.Input)
	if s.recognises {
		s.answers[attempt] = out
	}
	if s.lose > 0 {
		s.lose--
		return out, true
	}
	return out, false
}

func (s *Service) acquire() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.slots > 0 && s.running >= s.slots {
		return false
	}
	s.running++
	s.report()
	return true
}

func (s *Service) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.report()
}
