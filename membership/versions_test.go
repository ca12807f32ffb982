package membership_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/membership"
	"cicadapitch.example/cicadapitch/origin"
	"cicadapitch.example/cicadapitch/platform/platformtest"
)

// versionOrigins is the Origins of a host that begins no streams but knows versions.
type versionOrigins struct{ history *origin.History }

func (versionOrigins) AddRecords(cicadapitch.Instant, cicadapitch.StoreEra, []origin.Record) {}
func (o versionOrigins) ApplyVersions(now cicadapitch.Instant, s catalog.ServiceID, stored []origin.StoredVersion) {
	o.history.ApplyStored(now, s, stored)
}

func (o versionOrigins) Versions(now cicadapitch.Instant) map[catalog.ServiceID][]origin.StoredVersion {
	return o.history.StoredVersions(now)
}
func (versionOrigins) TakeRecords(cicadapitch.Instant, int) []origin.Record { return nil }
func (versionOrigins) ReturnRecords(cicadapitch.Instant, []origin.Record)   {}
func (versionOrigins) RenewRecords(cicadapitch.Instant, cicadapitch.StoreEra, func(cicadapitch.RequestID) bool) int {
	return 0
}

// newVersionHost returns a host that has endpoints of the versions in its view, and hears of nothing.
func newVersionHost(s *platformtest.Store, present ...cicadapitch.SoftwareVersion) (*membership.Membership, *origin.History) {
	h := origin.NewHistory()
	h.Observe(cicadapitch.NewSystemClock().Now(), map[catalog.ServiceID][]cicadapitch.SoftwareVersion{"s": present})
	m := membership.New(newPeerSettings(s.Address()))
	m.SetOrigins(versionOrigins{h})
	return m, h
}

// storeOrigins runs StoreOrigins of a host that reaches the store.
func storeOrigins(t *testing.T, m *membership.Membership) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { m.FollowStore(ctx) })
	wg.Go(func() { m.StoreOrigins(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// storedVersions returns the versions in use that the store lists.
func storedVersions(t *testing.T, s *platformtest.Store) []cicadapitch.SoftwareVersion {
	kv, err := s.Get(t.Context(), "versions/s")
	if cicadapitch.KindOf(err) == cicadapitch.NotFound {
		return nil
	}
	require.NoError(t, err)
	var stored []origin.StoredVersion
	require.NoError(t, json.Unmarshal(kv.Value, &stored))
	var inUse []cicadapitch.SoftwareVersion
	for _, v := range stored {
		if v.GoneAt == 0 {
			inUse = append(inUse, v.Version)
		}
	}
	return inUse
}

// storeEra returns the store's era, in which a list is complete.
func storeEra(s *platformtest.Store) cicadapitch.StoreEra { return cicadapitch.StoreEra(s.Era()) }

// TestHostWithAnOlderViewRemovesNoVersion guards against a list that loses a version because a host
// that has not heard of it writes: each host adds its own to what the store lists.
func TestHostWithAnOlderViewRemovesNoVersion(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	ahead, _ := newVersionHost(s, "v1", "v2")
	behind, h := newVersionHost(s, "v1", "v0")
	storeOrigins(t, ahead)
	storeOrigins(t, behind)
	eventually(t, 3000, func() bool { return len(storedVersions(t, s)) == 3 })
	eventually(t, 1000, func() bool { return len(h.Listed("s")) == 3 })
	time.Sleep(time.Second)
	require.Len(t, storedVersions(t, s), 3)
}

// TestVersionsAreConfirmedOnlyByTheStore covers a service without a list, an outage, and a list that
// cannot be decoded, which is written anew.
func TestVersionsAreConfirmedOnlyByTheStore(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	m, h := newVersionHost(s, "v1")
	require.Equal(t, cicadapitch.NotFound, cicadapitch.KindOf(m.ConfirmVersions(t.Context(), "s")))
	s.Set("versions/s", []origin.StoredVersion{{Version: "v1", Era: storeEra(s)}, {Version: "v2", Era: storeEra(s)}})
	require.NoError(t, m.ConfirmVersions(t.Context(), "s"))
	require.ElementsMatch(t, []cicadapitch.SoftwareVersion{"v1", "v2"}, h.Listed("s"))
	s.SetDown(true)
	start := time.Now()
	require.Error(t, m.ConfirmVersions(t.Context(), "s"))
	require.Less(t, time.Since(start), time.Second)
	s.SetDown(false)
	s.Set("versions/s", []byte("["))
	require.Equal(t, cicadapitch.Invalid, cicadapitch.KindOf(m.ConfirmVersions(t.Context(), "s")))
	storeOrigins(t, m)
	eventually(t, 3000, func() bool { return m.ConfirmVersions(t.Context(), "s") == nil })
}

// TestConfirmationsShareReads guards against a read of the store for each stream that is taken up.
func TestConfirmationsShareReads(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	m, _ := newVersionHost(s, "v1")
	s.Set("versions/s", []origin.StoredVersion{{Version: "v1", Era: storeEra(s)}})
	before := s.Calls().Get
	var wg sync.WaitGroup
	for range 200 {
		wg.Go(func() {
			if err := m.ConfirmVersions(t.Context(), "s"); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	require.LessOrEqual(t, s.Calls().Get-before, int64(10))
}

// TestConfirmationReadsWhatWasListedBefore guards against a confirmation by a read that began before
// the version was listed.
func TestConfirmationReadsWhatWasListedBefore(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	m, h := newVersionHost(s)
	s.SetDelay(20)
	var versions []origin.StoredVersion
	for _, v := range []cicadapitch.SoftwareVersion{"v1", "v2", "v3", "v4", "v5"} {
		for range 3 {
			go func() { _ = m.ConfirmVersions(t.Context(), "s") }()
			time.Sleep(5 * time.Millisecond)
		}
		versions = append(versions, origin.StoredVersion{Version: v, Era: storeEra(s)})
		s.Set("versions/s", versions)
		require.NoError(t, m.ConfirmVersions(t.Context(), "s"))
		require.Contains(t, h.Listed("s"), v)
	}
}

// TestListOfAnOlderCopyConfirmsNothing guards against a list that lacks a version which joined after the copy
// from which the store came back, and is taken for all versions of the service. Hosts that have started since
// know no other; they confirm the list once endpoints have had time to register again.
func TestListOfAnOlderCopyConfirmsNothing(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	m, h := newVersionHost(s, "v1")
	storeOrigins(t, m)
	eventually(t, 4000, func() bool { return m.ConfirmVersions(t.Context(), "s") == nil })
	older := s.Copy()
	h.Observe(cicadapitch.NewSystemClock().Now(), map[catalog.ServiceID][]cicadapitch.SoftwareVersion{"s": {"v1", "v2"}})
	eventually(t, 1000, func() bool { return len(storedVersions(t, s)) == 2 })
	require.NoError(t, m.ConfirmVersions(t.Context(), "s"))
	restore(s, func() { s.Restore(older) })
	started, _ := newVersionHost(s, "v1")
	start := time.Now()
	storeOrigins(t, started)
	for time.Since(start) < 1900*time.Millisecond {
		err := started.ConfirmVersions(t.Context(), "s")
		require.Equal(t, cicadapitch.NotRun, cicadapitch.KindOf(err), "%v", err)
		require.LessOrEqual(t, cicadapitch.AsError(err).RetryAfter, 3*cicadapitch.Second)
		time.Sleep(50 * time.Millisecond)
	}
	eventually(t, 3000, func() bool { return started.ConfirmVersions(t.Context(), "s") == nil })
	require.Len(t, storedVersions(t, s), 2, "the host that knows the later version has listed it again")
}

// TestListOfAnEarlierBuildIsCompleted covers a list that names no era, as hosts of earlier builds write it.
func TestListOfAnEarlierBuildIsCompleted(t *testing.T) {
	s := platformtest.NewStore()
	defer s.Close()
	s.Set("versions/s", []origin.StoredVersion{{Version: "v1"}, {Version: "v2", GoneAt: 1}})
	m, _ := newVersionHost(s, "v1")
	storeOrigins(t, m)
	require.Error(t, m.ConfirmVersions(t.Context(), "s"))
	eventually(t, 4000, func() bool { return m.ConfirmVersions(t.Context(), "s") == nil })
}
