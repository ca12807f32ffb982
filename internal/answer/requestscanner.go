package answer

// requestScanner finds the ends of the requests that a client writes one after the other. The zero value is before the
// first one.
type requestScanner struct {
	fields fields
	// begun is true after the first byte of a request.
	begun bool
	// left is the number of bytes of the body that are still to come.
	left int64
	// untracked is true once the end of a request cannot be found: its body is chunked, what follows is of another
	// protocol, or it is not HTTP/1, such as TLS.
	untracked bool
}

// scan reads the next bytes, and calls onHead after the head of a request with whether it asks for another protocol.
func (s *requestScanner) scan(b []byte, onHead func(upgrade bool)) {
	for len(b) > 0 && !s.untracked {
		if s.left > 0 {
			n := min(s.left, int64(len(b)))
			s.left -= n
			b = b[n:]
			continue
		}
		if s.whole() {
			s.fields, s.begun = fields{}, true
		}
		if s.fields.step(b[0]) != nil {
			s.untracked = true
			return
		}
		b = b[1:]
		if s.fields.at == afterHead {
			s.left = s.fields.length
			s.untracked = s.fields.hasEncoding || s.fields.hasUpgrade
			onHead(s.fields.hasUpgrade)
		}
	}
}

// whole reports whether the bytes so far end with a whole request, as far as that can be told.
func (s *requestScanner) whole() bool {
	return s.untracked || !s.begun || s.fields.at == afterHead && s.left == 0
}
