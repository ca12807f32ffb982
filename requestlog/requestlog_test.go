package requestlog_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/requestlog"
)

// sampleLog has two hosts' lines about several requests. Request r1 used the endpoint e1
// and the stage call 7, but not e2 and the call 8.
const sampleLog = `host-b {"Id":"r1","Endpoint":"e1","At":900,"Message":"sent"}
host-a {"Service":"s","Call":7,"Endpoint":"m1","Ids":["r0","r1"],"At":300,"Message":"stage call"}
not a line
host-a {"Service":"s","Call":7,"Endpoint":"m1","TookMs":400,"At":700,"Message":"stage call ended"}
host-a {"Service":"s","Call":8,"Endpoint":"m1","At":800,"Message":"stage call ended"}
host-b {"Endpoint":"e1","Revision":4,"At":100,"Message":"endpoint"}
host-b {"Endpoint":"e2","Revision":5,"At":100,"Message":"endpoint"}
host-b {"Id":"r2","At":950,"Message":"ended"}
host-b {"Id":"r1","At":990,"Message":"ended"}
`

func TestFilterSelectsLinesOfOneRequestInTimeOrder(t *testing.T) {
	lines, err := requestlog.Filter(strings.NewReader(sampleLog), "r1")
	require.NoError(t, err)
	var at []int64
	for _, l := range lines {
		at = append(at, int64(l.At))
	}
	require.Equal(t, []int64{100, 300, 700, 900, 990}, at)
	require.True(t, strings.HasPrefix(lines[0].Text, "host-b"))
}

func TestUnknownRequestIsAnError(t *testing.T) {
	_, err := requestlog.Filter(strings.NewReader(sampleLog), "r9")
	require.ErrorContains(t, err, "r9")
}
