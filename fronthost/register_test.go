package fronthost_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHostsThatStartTogetherFindEachOther guards against hosts that take callers and own all
// shards for a second, since they register in the store long after they are ready.
func TestHostsThatStartTogetherFindEachOther(t *testing.T) {
	d := newDeployment(t, 1)
	const hosts = 3
	for i := 1; i <= hosts; i++ {
		d.startHost(fmt.Sprintf("%s%d", d.hostSettings[0].IP, i), i)
	}
	for i := range d.hostSettings {
		require.Eventually(t, func() bool { return d.ready(i) }, 5*time.Second, 5*time.Millisecond)
	}
	require.Eventually(t, func() bool { return len(d.store.Keys("hosts/")) == hosts+1 }, 600*time.Millisecond, 5*time.Millisecond)
}
