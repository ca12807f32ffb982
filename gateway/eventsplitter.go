package gateway

import (
	"bytes"
	"errors"
	"strconv"

	"cicadapitch.example/cicadapitch/platform"
)

// Errors of a stream that does not go on where it ended.
var (
	errEventWithoutID = errors.New("an event has no id")
	errEventOrder     = errors.New("its events do not follow the last one")
	errNoEvents       = errors.New("it has no events")
)

// eventSplitter splits a stream of server-sent events, which may come in several parts, into complete
// events. It checks that each of them has an id that follows that of the event before.
type eventSplitter struct {
	scanner platform.EventScanner
	// partial holds the bytes after the last complete event.
	partial []byte
	// lastID is the id of the last complete event that has one.
	lastID string
	// count is the number of events with an id in all parts.
	count int
	// continues is true if the part goes on after the event lastID, begun once it has an event.
	continues, begun bool
	// known is true once two ids of the first part were numbers, gaps if such numbers did not
	// follow each other.
	known, gaps bool
}

// startPart begins a new part of the stream. It drops the incomplete event of the part before.
// after is the id of the event after which the part goes on, or empty if it is the first one.
func (s *eventSplitter) startPart(after string) {
	s.scanner, s.partial = platform.EventScanner{}, nil
	s.continues, s.begun = after != "", false
	if after != "" {
		s.lastID = after
	}
}

// add appends bytes of the stream and returns the events that are now complete. If one does not go on
// with the stream, add returns those before it and an error; neither it nor what follows may be used.
func (s *eventSplitter) add(b []byte) (complete []byte, err error) {
	for err == nil {
		end := s.scanner.ScanEvent(b)
		if end == 0 {
			s.partial = append(s.partial, b...)
			return complete, nil
		}
		event := append(s.partial, b[:end]...)
		b, s.partial = b[end:], nil
		if err = s.addEvent(event); err == nil {
			complete = append(complete, event...)
		}
	}
	return complete, err
}

// addEvent records a complete event.
func (s *eventSplitter) addEvent(event []byte) error {
	id, hasField := "", false
	// Line ends may be LF, CR or CRLF.
	for line := range bytes.FieldsFuncSeq(event, isLineEnd) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		// A line that begins with a colon is a comment.
		hasField = hasField || line[0] != ':'
	}
	switch {
	case !hasField:
		return nil
	case id == "":
		return errEventWithoutID
	case !s.follows(id):
		return errEventOrder
	}
	s.lastID, s.begun = id, true
	s.count++
	return nil
}

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

// follows reports whether an event with an id may come next, and records whether ids leave gaps.
func (s *eventSplitter) follows(id string) bool {
	last, err := strconv.ParseUint(s.lastID, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	switch {
	case s.lastID == "":
		return true
	case err != nil && nextErr != nil:
		return id != s.lastID // ids of this stream are no numbers
	case err != nil || nextErr != nil || next <= last:
		return false
	case s.continues:
		return s.gaps || !s.known || next == last+1
	}
	s.known = true
	s.gaps = s.gaps || next != last+1
	return true
}

// end returns an error if a part that goes on with the stream ends without an event.
func (s *eventSplitter) end() error {
	if s.continues && !s.begun {
		return errNoEvents
	}
	return nil
}
