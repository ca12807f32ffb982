package driver_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
)

// TestAnswerWithAnInvalidHeadIsNoAnswer covers calls, orders and load reports, and refusals that are not to be believed.
func TestAnswerWithAnInvalidHeadIsNoAnswer(t *testing.T) {
	for name, first := range map[string]string{
		"status 000, then 200":    "HTTP/1.1 000 Trouble\r\n\r\nHTTP/1.1 200 OK\r\n",
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Odd: 1\r\n",
		"blank after a name":      "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n",
		"refusal, a folded line":  "HTTP/1.1 503 Service Unavailable\r\nNot-Run: true\r\n true\r\n",
		"status 101, then 200":    "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n",
		"status 999 with no body": "HTTP/1.1 999 Trouble\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			const body = `{"Output":"x","Tokens":1}`
			s := newCutServer(t)
			s.answer = fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", first, len(body), body)
			s.n = len(s.answer)
			e := cicadapitch.Endpoint{ID: "e1", Address: s.address}
			_, err := serviceDriver.Call(t.Context(), cicadapitch.Call{Endpoint: e}, nil)
			require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
			require.ErrorContains(t, err, "the head of the answer is invalid")
			err = engineDriver.Order(t.Context(), e, cicadapitch.EndpointOrder{})
			require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
			_, err = engineDriver.Load(t.Context(), e)
			require.Equal(t, cicadapitch.Unavailable, cicadapitch.KindOf(err))
			require.ErrorContains(t, err, "the head of the answer is invalid")
		})
	}
}
