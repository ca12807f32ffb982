package origin_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/origin"
)

const start cicadapitch.Instant = 1_000_000

func versions(v ...cicadapitch.SoftwareVersion) map[catalog.ServiceID][]cicadapitch.SoftwareVersion {
	return map[catalog.ServiceID][]cicadapitch.SoftwareVersion{"s": v}
}

func TestRegistryKeepsTheFirstRecordUntilItExpires(t *testing.T) {
	r := origin.NewRegistry()
	first := origin.Origin{Service: "s", Version: "v1"}
	r.Add(start, origin.Record{Request: "a", Origin: first, Lifetime: 100})
	r.Add(start.Add(50), origin.Record{Request: "a", Origin: origin.Origin{Service: "s", Version: "v2"}, Lifetime: 100})
	got, ok := r.Find(start.Add(99), "a")
	require.True(t, ok)
	require.Equal(t, first, got)
	_, ok = r.Find(start.Add(100), "a")
	require.False(t, ok)
}

func TestFullRegistryDropsTheOldestRecords(t *testing.T) {
	r := origin.NewRegistry()
	const n = 200_000
	for i := range n {
		r.Add(start, origin.Record{Request: cicadapitch.RequestID(fmt.Sprint(i)), Lifetime: cicadapitch.Minute})
	}
	held := 0
	for i := range n {
		if _, ok := r.Find(start, cicadapitch.RequestID(fmt.Sprint(i))); ok {
			held++
		}
	}
	require.Equal(t, 16*4096, held)
	_, ok := r.Find(start, cicadapitch.RequestID(fmt.Sprint(n-1)))
	require.True(t, ok)
}

func TestHistoryRemembersVersionsThatHaveVanished(t *testing.T) {
	h := origin.NewHistory()
	require.Empty(t, h.Seen(start, "s", 0))
	h.Observe(start, versions("v1"))
	h.Observe(start.Add(1000), versions("v1", "v2"))
	h.Observe(start.Add(2000), versions("v2"))
	require.ElementsMatch(t, []cicadapitch.SoftwareVersion{"v1", "v2"}, h.Seen(start.Add(3000), "s", 1000))
	require.Equal(t, []cicadapitch.SoftwareVersion{"v2"}, h.Seen(start.Add(3001), "s", 1000))
	require.Empty(t, h.Listed("s"), "the store has not been heard of")
}

// TestStreamsBeginOnlyAtListedVersions guards against streams at a version that a host out of step
// cannot hear of: the store must list it before.
func TestStreamsBeginOnlyAtListedVersions(t *testing.T) {
	h := origin.NewHistory()
	h.Observe(start, versions("v1"))
	require.Empty(t, h.Listed("s"))
	require.Equal(t, []origin.StoredVersion{{Version: "v1"}}, h.StoredVersions(start)["s"])
	h.ApplyStored(start, "s", []origin.StoredVersion{{Version: "v1"}, {Version: "v2", GoneAt: start.Add(-100)}})
	require.Equal(t, []cicadapitch.SoftwareVersion{"v1"}, h.Listed("s"))
	require.ElementsMatch(t, []cicadapitch.SoftwareVersion{"v1", "v2"}, h.Seen(start, "s", 100))
	// A version without endpoints stays listed for a while, so that endpoints can restart.
	h.Observe(start.Add(1000), versions())
	require.Contains(t, h.StoredVersions(start.Add(5999))["s"], origin.StoredVersion{Version: "v1"})
	require.Contains(t, h.StoredVersions(start.Add(6000))["s"], origin.StoredVersion{Version: "v1", GoneAt: start.Add(6000)})
	require.Equal(t, []cicadapitch.SoftwareVersion{"v1"}, h.Listed("s"))
	h.ApplyStored(start.Add(9000), "s", []origin.StoredVersion{{Version: "v1", GoneAt: start.Add(6000)}})
	require.Empty(t, h.Listed("s"))
	require.Equal(t, []cicadapitch.SoftwareVersion{"v1"}, h.Seen(start.Add(10_000), "s", 1000), "streams may have begun until this host learned of it")
}

// TestNothingIsProvenWithoutTheStore guards against a host that takes its own view and the silence
// of others for a proof.
func TestNothingIsProvenWithoutTheStore(t *testing.T) {
	seen := func(v ...cicadapitch.SoftwareVersion) origin.Claim { return origin.Claim{Seen: v} }
	confirmed := func(v ...cicadapitch.SoftwareVersion) origin.Claim {
		return origin.Claim{Seen: v, Confirmed: true}
	}
	for _, c := range []struct {
		claims []origin.Claim
		want   origin.Source
	}{
		{nil, origin.Unknown},
		{[]origin.Claim{seen("v1")}, origin.Unknown},
		{[]origin.Claim{seen("v1"), seen("v1"), seen("v1")}, origin.Unknown},
		{[]origin.Claim{confirmed()}, origin.Unknown},
		{[]origin.Claim{confirmed("v1")}, origin.SoleVersion},
		{[]origin.Claim{confirmed("v1"), seen()}, origin.SoleVersion},
		{[]origin.Claim{confirmed("v1"), seen("v2")}, origin.Unknown},
		{[]origin.Claim{confirmed("v1", "v2")}, origin.Unknown},
		{[]origin.Claim{seen("v1"), {Recorded: true, Origin: origin.Origin{Service: "s", Version: "v2"}}}, origin.Recorded},
	} {
		_, source := origin.Resolve("s", c.claims)
		require.Equal(t, c.want, source, fmt.Sprint(c.claims))
	}
}

// TestClaimOfAnEarlierBuildProvesNothing decodes the claim of a build that called its history
// complete on its own.
func TestClaimOfAnEarlierBuildProvesNothing(t *testing.T) {
	b, err := cbor.Marshal(struct {
		Seen     []cicadapitch.SoftwareVersion
		Complete bool
	}{[]cicadapitch.SoftwareVersion{"v1"}, true})
	require.NoError(t, err)
	var c origin.Claim
	require.NoError(t, cbor.Unmarshal(b, &c))
	require.Equal(t, origin.Claim{Seen: []cicadapitch.SoftwareVersion{"v1"}}, c)
}

// TestRecordsOfAnEarlierEraAreTakenOnce guards against records that are stored again and again, or never, after the
// store has come back from an older copy.
func TestRecordsOfAnEarlierEraAreTakenOnce(t *testing.T) {
	r := origin.NewRegistry()
	record := func(id cicadapitch.RequestID) origin.Record {
		return origin.Record{Request: id, Origin: origin.Origin{Service: "s", Version: "v1"}, Lifetime: 1000}
	}
	r.Add(start, record("begun"))
	r.AddStored(start, record("stored"), 1)
	r.AddStored(start, record("copied"), 2)
	r.AddStored(start, record("other"), 1)
	owned := func(id cicadapitch.RequestID) bool { return id != "other" }
	taken := r.TakeUnstored(start.Add(400), 2, owned)
	require.ElementsMatch(t, []cicadapitch.RequestID{"begun", "stored"}, []cicadapitch.RequestID{taken[0].Request, taken[1].Request})
	require.EqualValues(t, 600, taken[0].Lifetime)
	require.Empty(t, r.TakeUnstored(start.Add(400), 2, owned))
	require.Len(t, r.TakeUnstored(start.Add(400), 3, func(cicadapitch.RequestID) bool { return true }), 4)
	require.Empty(t, r.TakeUnstored(start.Add(1000), 4, owned), "they have expired")
}
