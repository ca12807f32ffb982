package answer

import "fmt"

// Names of the fields that decide how a message is read, in lower case.
const (
	nameLength   = "content-length"
	nameEncoding = "transfer-encoding"
	nameUpgrade  = "upgrade"
	longestName  = len(nameEncoding)
)

// position is where in a line of a head the next byte is.
type position int

const (
	inFirstLine position = iota
	atLineStart
	inName
	inValue
	afterHead
)

// fields reads a head line by line. Of the first line, at whose start the zero value is, it checks only that it holds
// no control bytes.
type fields struct {
	at position
	// afterCR is true if the last byte was a CR.
	afterCR bool
	// name holds the first bytes of the current name, nameLen its length.
	name    [longestName]byte
	nameLen int
	// hasLength, hasEncoding and hasUpgrade are true after the fields of these names. length is the value of a single
	// valid Content-Length.
	hasLength, hasEncoding, hasUpgrade bool
	length                             int64
}

// step reads one byte. The error says why the head is invalid.
func (f *fields) step(c byte) error {
	if f.afterCR && c != '\n' {
		return invalid("a carriage return does not end a line")
	}
	f.afterCR = c == '\r'
	switch {
	case c == '\r':
		return nil
	case c == '\n':
		return f.endLine()
	}
	switch f.at {
	case atLineStart:
		f.nameLen = 0
		if c == ' ' || c == '\t' {
			return invalid("a line begins with a blank")
		}
		f.at = inName
		return f.stepName(c)
	case inName:
		return f.stepName(c)
	}
	if c < ' ' && c != '\t' || c == 0x7f {
		return invalid("a value holds %#02x", c)
	}
	if f.at == inValue && '0' <= c && c <= '9' && f.named(nameLength) {
		f.length = 10*f.length + int64(c-'0')
	}
	return nil
}

// stepName reads one byte of a name or the colon that ends it.
func (f *fields) stepName(c byte) error {
	switch {
	case c == ':' && f.nameLen == 0:
		return invalid("a field has no name")
	case c == ':':
		f.at = inValue
		f.hasLength = f.hasLength || f.named(nameLength)
		f.hasEncoding = f.hasEncoding || f.named(nameEncoding)
		f.hasUpgrade = f.hasUpgrade || f.named(nameUpgrade)
		return nil
	case !isTokenByte(c):
		return invalid("the name of a field holds %#02x", c)
	}
	if f.nameLen < longestName {
		f.name[f.nameLen] = c | 0x20
	}
	f.nameLen++
	return nil
}

// named reports whether the current field has a name in lower case.
func (f *fields) named(name string) bool {
	return f.nameLen == len(name) && string(f.name[:f.nameLen]) == name
}

// endLine reads the end of a line.
func (f *fields) endLine() error {
	switch f.at {
	case inName:
		return invalid("a line has no colon")
	case atLineStart:
		f.at = afterHead
	default:
		f.at = atLineStart
	}
	return nil
}

// isTokenByte reports whether c may be part of a name, by RFC 9110, 5.6.2.
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// isName reports whether s may be the name of a field.
func isName(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

// HeadError says why the head of an answer is invalid.
type HeadError struct{ Reason string }

// Error implements error.
func (e *HeadError) Error() string {
	return "the head of the answer is invalid: " + e.Reason + "; look at the server that sent it"
}

func invalid(format string, args ...any) error { return &HeadError{fmt.Sprintf(format, args...)} }
