package requestlog_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/requestlog"
)

func TestLossesAreCountedByRouteAndCause(t *testing.T) {
	log := `
b {"At":20,"Message":"ended","Id":"r2","Route":"answer","Loss":"Stage","TookMs":300}
a {"At":10,"Message":"ended","Id":"r1","Route":"answer","Loss":"Stage","TookMs":5}
a {"At":11,"Message":"ended","Id":"r3","Route":"answer","Loss":"Nothing","TookMs":50}
a {"At":12,"Message":"refused","Id":"r4","Loss":"Configuration"}
a {"At":13,"Message":"stage","Id":"r1"}
not a log line
b {"At":30,"Message":"ended","Id":"r5","Route":"book","Loss":"Break","TookMs":90}
b {"At":31,"Message":"ended","Id":"r6","Route":"answer","Loss":"Stage","TookMs":7}
`
	losses, attempts, err := requestlog.Losses(strings.NewReader(log))
	require.NoError(t, err)
	require.Equal(t, 6, attempts)
	require.Equal(t, []requestlog.Loss{
		{Route: "answer", Cause: "Stage", Count: 3, Took: 7, Longest: 300, First: "r1"},
		{Cause: "Configuration", Count: 1, First: "r4"},
		{Route: "book", Cause: "Break", Count: 1, Took: 90, Longest: 90, First: "r5"},
	}, losses)
}
