package answer_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/internal/answer"
)

// invalidHeads are heads that no client may read an answer from, each but for the end of its last line.
var invalidHeads = map[string]string{
	"status 000":                  "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n",
	"status 099":                  "HTTP/1.1 099 Trouble\r\n",
	"status 101 without a wish":   "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n",
	"status 600":                  "HTTP/1.1 600 Trouble\r\nContent-Length: 4\r\n",
	"status 999":                  "HTTP/1.1 999 Trouble\r\nContent-Length: 4\r\n",
	"status of two digits":        "HTTP/1.1 20 OK\r\n",
	"status of four digits":       "HTTP/1.1 2000 OK\r\n",
	"status with a sign":          "HTTP/1.1 +20 OK\r\n",
	"no status":                   "HTTP/1.1\r\n",
	"two blanks":                  "HTTP/1.1  200 OK\r\n",
	"HTTP/3.7":                    "HTTP/3.7 200 OK\r\n",
	"HTTP/1.2":                    "HTTP/1.2 200 OK\r\n",
	"HTTP/0.9":                    "hello\r\n",
	"empty line first":            "\r\nHTTP/1.1 200 OK\r\n",
	"control byte in the reason":  "HTTP/1.1 200 O\x00K\r\n",
	"blank in a name":             "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
	"blank after a name":          "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
	"blank after Content-Length":  "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
	"blank after the coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n",
	"tab in a name":               "HTTP/1.1 200 OK\r\nX\tOdd: 1\r\n",
	"control byte in a name":      "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n",
	"NUL in a name":               "HTTP/1.1 200 OK\r\nX\x00Odd: 1\r\n",
	"DEL in a name":               "HTTP/1.1 200 OK\r\nX\x7fOdd: 1\r\n",
	"byte over 127 in a name":     "HTTP/1.1 200 OK\r\nX\xe4Odd: 1\r\n",
	"no name":                     "HTTP/1.1 200 OK\r\n: 1\r\n",
	"no colon":                    "HTTP/1.1 200 OK\r\nX-Odd\r\n",
	"folded line":                 "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n Content-Length: 4\r\n",
	"folded line with a tab":      "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n\t2\r\n",
	"folded line first":           "HTTP/1.1 200 OK\r\n X-Odd: 1\r\n",
	"control byte in a value":     "HTTP/1.1 200 OK\r\nX-Odd: 1\x002\r\n",
	"CR in a value":               "HTTP/1.1 200 OK\r\nX-Odd: 1\rX-Odder: 2\r\n",
	"HTTP/1.0 with chunks":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
	"length beside chunks":        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n",
	"chunks beside a length":      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nCONTENT-LENGTH: 4\r\n",
	"invalid informational head":  "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n",
	"invalid after informational": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\n",
}

// validHeads are heads of answers, with whether the body ends with the connection.
var validHeads = map[string]bool{
	"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n":                                                     false,
	"HTTP/1.1 200 OK\nContent-Length: 4\n\n":                                                           false,
	"HTTP/1.1 200\r\ntransfer-encoding: chunked\r\n\r\n":                                               false,
	"HTTP/1.0 200 OK\r\n\r\n":                                                                          true,
	"HTTP/1.1 599 own words \xe4\r\n!#$%&'*+-.^_`|~09: \tvalue\t\xff:;\"\r\nEmpty:\r\n\r\n":            true,
	"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 \r\n\r\n": true,
	"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nX-Content-Length: 1\r\n\r\n":                       false,
}

// scan checks text in parts of size bytes, and returns the parts that were valid.
func scan(s *answer.HeadScanner, text string, size int) (string, error) {
	valid := 0
	for part := range partsOf(text, size) {
		if err := s.Scan([]byte(part)); err != nil {
			return text[:valid], err
		}
		valid += len(part)
	}
	return text, nil
}

// partsOf yields the parts of text of size bytes, of which the last may be shorter.
func partsOf(text string, size int) func(func(string) bool) {
	return func(yield func(string) bool) {
		for ; len(text) > 0; text = text[min(size, len(text)):] {
			if !yield(text[:min(size, len(text))]) {
				return
			}
		}
	}
}

// TestInvalidHeadsAreRefused also checks that what passed before the error holds no whole final head, so that a
// client has decided nothing yet.
func TestInvalidHeadsAreRefused(t *testing.T) {
	for name, head := range invalidHeads {
		t.Run(name, func(t *testing.T) {
			text := head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
			for _, size := range []int{1, 2, 7, len(text)} {
				var s answer.HeadScanner
				s.Begin(false)
				passed, err := scan(&s, text, size)
				var invalid *answer.HeadError
				require.ErrorAs(t, err, &invalid)
				require.NotEmpty(t, invalid.Reason)
				require.False(t, s.EndsWithConnection())
				if _, rest, found := strings.Cut(passed, "\r\n\r\n"); found {
					passed = rest // after an informational head
				}
				_, err = http.ReadResponse(bufio.NewReader(strings.NewReader(passed)), nil)
				require.Error(t, err, "%q", passed)
			}
		})
	}
}

func TestValidHeadsPass(t *testing.T) {
	for head, endsWithConnection := range validHeads {
		text := head + "body\x00 of any\rbytes\r\n\r\nX Odd: 1"
		for _, size := range []int{1, 2, 7, len(text)} {
			var s answer.HeadScanner
			s.Begin(false)
			_, err := scan(&s, text, size)
			require.NoError(t, err, "%q", head)
			require.Equal(t, endsWithConnection, s.EndsWithConnection(), "%q", head)
		}
	}
}

func TestAnswerMaySwitchProtocolsIfAsked(t *testing.T) {
	var s answer.HeadScanner
	s.Begin(true)
	_, err := scan(&s, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n\x00frame", 5)
	require.NoError(t, err)
	require.False(t, s.EndsWithConnection())
}

// FuzzHeadScanner checks that the result does not depend on how the bytes are split.
func FuzzHeadScanner(f *testing.F) {
	for _, head := range invalidHeads {
		f.Add(head+"\r\n", 3)
	}
	for head := range validHeads {
		f.Add(head, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		if size < 1 {
			return
		}
		var whole, split answer.HeadScanner
		whole.Begin(false)
		split.Begin(false)
		_, err := scan(&whole, text, len(text)+1)
		_, splitErr := scan(&split, text, size)
		require.Equal(t, err, splitErr)
		require.Equal(t, whole.EndsWithConnection(), split.EndsWithConnection())
	})
}
