package membership_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// TestOddEntriesLeaveTheRestOfTheListingInUse writes odd entries among sound ones, before and after
// the host starts. The sound ones stay in use, nothing ends, and later changes are followed.
func TestOddEntriesLeaveTheRestOfTheListingInUse(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	odd := []any{
		[]byte(`{"service":"s","address":"10.1.0.9:99999","zone":"z","slots":4,"state":"ready","cold_remaining_ms":0,"sequence":1}`),
		[]byte(`{"service":"s","address":"10.1.0.9:80","zone":"z","slots":1e300,"state":"ready","cold_remaining_ms":1e300,"sequence":1}`),
		[]byte(strings.Repeat("[", 100_000)), []byte("\x00\xff"), []byte(""), []byte("null"), []byte("7"),
		json.RawMessage(strings.Repeat("[", 9000) + strings.Repeat("]", 9000)),
	}
	keys := []string{"hosts/odd", "quarantine/odd", "origins/odd", "versions/odd"}
	write := func(round int) {
		for i, value := range odd {
			s.Set(platformtest.EndpointKey(fmt.Sprintf("odd-%d-%d", round, i)), value)
			s.Set(fmt.Sprintf("%s-%d-%d", keys[i%len(keys)], round, i), value)
		}
	}
	setEndpoint(s, "a", 1, "ready")
	write(0)
	m := startMembership(t, s)
	eventually(t, 3000, func() bool { return endpointCount(m) == 1 })
	write(1)
	setEndpoint(s, "b", 2, "ready")
	eventually(t, 2000, func() bool { return endpointCount(m) == 2 })
	setEndpoint(s, "a", 1, "draining")
	eventually(t, 2000, func() bool { return endpointCount(m) == 1 })
	time.Sleep(100 * time.Millisecond)
	require.Len(t, m.View().Hosts, 0)
}
