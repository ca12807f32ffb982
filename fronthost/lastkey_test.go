package fronthost_test

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/platform/platformtest"
)

func withoutKey(r *http.Request) { r.Header.Del("Authorization") }

// TestNoRequestRunsOnceTheLastKeyIsTakenAway guards against hosts that ask for no key when the customers of
// the configuration have none left, including a host that starts afterwards.
func TestNoRequestRunsOnceTheLastKeyIsTakenAway(t *testing.T) {
	withoutKeys := false
	d := newDeployment(t, 2, func(d *deployment) {
		d.editConfiguration = func(c []byte) []byte {
			if withoutKeys {
				return bytes.Replace(c, []byte(`"api_keys":["key-1"]`), []byte(`"api_keys":[]`), 1)
			}
			return c
		}
	})
	status := func(i int, id string, changes ...func(*http.Request)) int {
		r := d.send(d.newRequest(i, "POST", "/book/a", id), changes...)
		r.Body.Close()
		return r.StatusCode
	}
	require.Equal(t, http.StatusOK, status(0, newID()))
	withoutKeys = true
	d.setConfiguration("")
	time.Sleep(2 * time.Second)
	d.startHost(platformtest.LoopbackAddress(int(nextSubnet.Add(1)), 1), 2)
	d.waitReady()
	for i := range d.hostSettings {
		for name, change := range map[string]func(*http.Request){
			"the key that was taken away": func(*http.Request) {}, "an unknown key": withWrongKey, "no key": withoutKey,
		} {
			id := newID()
			require.Equal(t, http.StatusUnauthorized, status(i, id, change), "host %d, %s", i, name)
			require.Zero(t, d.runCount(id), "host %d, %s", i, name)
		}
	}
	withoutKeys = false
	d.setConfiguration("")
	require.Eventually(t, func() bool { return status(2, newID()) == http.StatusOK }, 2*time.Second, 50*time.Millisecond)
}
