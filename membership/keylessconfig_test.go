package membership_test

import (
	"bytes"
	"compress/flate"
	"context"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/platform"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// keylessConfig returns a configuration whose customer has no API key.
func keylessConfig(version int) []byte {
	return bytes.Replace(platformtest.Config(version, "", 14), []byte(`["key-1"]`), []byte(`[]`), 1)
}

// needsKey reports whether a host rejects requests without a key.
func needsKey(m *membership.Membership) bool {
	c := m.View().Catalog
	_, ok := c.Authenticate(c.Match("h.example", "/look/x"), "")
	return !ok
}

// TestHostsThatTheStoreRefusesNeedKeysOnceTheLastIsGone guards against a host that learns from another one
// that the last key was taken away, and asks for none from then on.
func TestHostsThatTheStoreRefusesNeedKeysOnceTheLastIsGone(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	relay := platformtest.NewGate(s.Address())
	defer relay.Close()
	refused, other := startPeerHost(t, relay.Address()), startPeerHost(t, s.Address())
	eventually(t, 5000, func() bool { return len(refused.Hosts()) == 2 && len(other.Hosts()) == 2 })
	relay.Shut()
	s.Set(platformtest.ConfigKey, keylessConfig(4))
	eventually(t, 3000, func() bool { return version(refused.Membership) == 4 })
	require.True(t, needsKey(refused.Membership))
	require.True(t, needsKey(other.Membership))
}

// TestHostReadsTheStoreWhenAnotherDoesNotSayWhetherKeysAreNeeded guards against a host that asks one of an
// earlier build for the same configuration without end, or takes it for one without customers.
func TestHostReadsTheStoreWhenAnotherDoesNotSayWhetherKeysAreNeeded(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set(platformtest.ConfigKey, platformtest.Config(1, "", 14))
	relay := platformtest.NewGate(s.Address())
	defer relay.Close()
	h := startPeerHost(t, relay.Address())
	eventually(t, 3000, h.Ready)
	secret, err := h.Secret(context.Background())
	require.NoError(t, err)
	f := startFakePeer(t, s, secret)
	f.reply.Store(&membership.CatalogReply{Head: membership.CatalogHead{Version: 6}, Change: changeOfEarlierBuild(t, keylessConfig(6))})
	eventually(t, 3000, func() bool { return len(h.Hosts()) == 2 })
	relay.Shut()
	s.Set(platformtest.ConfigKey, keylessConfig(6))
	f.version.Store(6)
	eventually(t, 3000, func() bool { return f.asked.Load() > 0 })
	asked := f.asked.Load()
	time.Sleep(2 * time.Second)
	require.EqualValues(t, 1, version(h.Membership))
	require.Less(t, f.asked.Load()-asked, int32(16), "calls in two seconds")
	relay.Open()
	eventually(t, 3000, func() bool { return version(h.Membership) == 6 })
	require.True(t, needsKey(h.Membership))
}

// changeOfEarlierBuild returns the whole of a configuration as a host of the build before encodes it.
func changeOfEarlierBuild(t *testing.T, config []byte) []byte {
	c, err := platform.DecodeCatalog(config)
	require.NoError(t, err)
	change := catalog.Diff(nil, c)
	change.KeysRequired = nil
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	require.NoError(t, err)
	require.NoError(t, cbor.NewEncoder(w).Encode(change))
	require.NoError(t, w.Close())
	return b.Bytes()
}
