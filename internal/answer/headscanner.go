package answer

import "net/http"

// HeadScanner checks the heads of answers byte by byte, before anything is decided by them. It accepts a part of what
// net/http does: a head that a client could read in two ways is invalid (RFC 9112, 2.3, 5.1, 5.2, 6.1 and 6.3). The zero
// value expects nothing and passes all bytes.
type HeadScanner struct {
	fields fields
	// open is true from Begin to the end of the final head.
	open bool
	// upgrade is true if the answer may switch protocols.
	upgrade bool
	// column counts the bytes of the status line so far. minor is the minor version, status the code.
	column, minor, status int
}

// Begin makes the scanner expect the head of an answer, and before it those of informational ones. upgrade is true if
// the request asked for another protocol.
func (s *HeadScanner) Begin(upgrade bool) { *s = HeadScanner{open: true, upgrade: upgrade} }

// Scan checks the next bytes up to the end of the final head. It returns a HeadError before that end if the head is
// invalid; a client that has got only the bytes before b has decided nothing yet.
func (s *HeadScanner) Scan(b []byte) error {
	for _, c := range b {
		if !s.open {
			return nil
		}
		if err := s.step(c); err != nil {
			return err
		}
	}
	return nil
}

// EndsWithConnection reports whether the final head has come and states neither a length nor a coding of the body, nor
// another protocol.
func (s *HeadScanner) EndsWithConnection() bool {
	return !s.open && s.status >= http.StatusOK && !s.fields.hasLength && !s.fields.hasEncoding
}

// step reads one byte.
func (s *HeadScanner) step(c byte) error {
	if s.fields.at == inFirstLine && c != '\r' && c != '\n' {
		if err := s.stepStatus(c); err != nil {
			return err
		}
	}
	if s.fields.at == inFirstLine && c == '\n' {
		if err := s.checkStatus(); err != nil {
			return err
		}
	}
	if err := s.fields.step(c); err != nil {
		return err
	}
	if s.fields.at == afterHead {
		return s.endHead()
	}
	return nil
}

// statusLine is the form of a status line up to the code: N stands for the minor version, D for a digit.
const statusLine = "HTTP/1.N DDD"

// stepStatus reads one byte of the status line.
func (s *HeadScanner) stepStatus(c byte) error {
	column := s.column
	s.column++
	switch {
	case column > len(statusLine):
		return nil // of the reason phrase
	case column == len(statusLine) && c == ' ':
		return nil
	case column == len(statusLine):
	case statusLine[column] == 'N' && (c == '0' || c == '1'):
		s.minor = int(c - '0')
		return nil
	case statusLine[column] == 'D' && '0' <= c && c <= '9':
		s.status = 10*s.status + int(c-'0')
		return nil
	case statusLine[column] == c && c != 'N' && c != 'D':
		return nil
	}
	return invalid("the status line is not one of HTTP/1.0 or HTTP/1.1")
}

// checkStatus checks the status at the end of its line.
func (s *HeadScanner) checkStatus() error {
	switch {
	case s.column < len(statusLine):
		return invalid("the status line is not one of HTTP/1.0 or HTTP/1.1")
	case s.status < http.StatusContinue || s.status > 599:
		return invalid("there is no status %03d", s.status)
	case s.status == http.StatusSwitchingProtocols && !s.upgrade:
		return invalid("status 101 answers no request for another protocol")
	}
	return nil
}

// endHead checks a whole head. An informational one is followed by another head.
func (s *HeadScanner) endHead() error {
	switch {
	case s.fields.hasEncoding && s.fields.hasLength:
		return invalid("it states both a length and a transfer coding")
	case s.fields.hasEncoding && s.minor == 0:
		return invalid("HTTP/1.0 has no transfer codings")
	case s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols:
		s.Begin(s.upgrade)
		return nil
	}
	s.open = false
	return nil
}
