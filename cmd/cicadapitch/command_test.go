package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/report"
	"cicadapitch.example/cicadapitch/standin"
)

const (
	bootstrapKey = "deployment-key-of-the-test"
	operatorKey  = "sample-key-of-fleet-desk"
	answersFile  = "../../examples/questionnaires/windkanal-verbund.yaml"
)

// testHost serves the administration API of one host, with an in-memory store.
type testHost struct {
	*httptest.Server
	store    *standin.MemoryStore
	follower *configuration.Follower
	recorder *report.Recorder
	// otherMembers are further members that the host lists; no process serves
	// them.
	otherMembers []cicadapitch.Member
}

func (h *testHost) Self() cicadapitch.Member {
	m := cicadapitch.Member{Host: "entry-a1", Zone: "a", State: cicadapitch.Ready, CallerURL: h.URL}
	if cfg := h.follower.Current(); cfg != nil {
		m.Revision = cfg.Revision
	}
	return m
}

func (h *testHost) Members() []cicadapitch.Member {
	return append([]cicadapitch.Member{h.Self()}, h.otherMembers...)
}

func newTestHost(t *testing.T) *testHost {
	t.Helper()
	clock := cicadapitch.NewSystemClock()
	h := &testHost{store: standin.NewMemoryStore(clock), follower: configuration.NewFollower(clock)}
	h.recorder = report.NewRecorder("a", h.follower, tally.NoopScope)
	applier := configuration.NewApplier(h.store, clock, configuration.WithFollower(h.follower))
	orders := order.NewService(h.follower, applier, order.NewMemberPropagation(h), clock,
		order.WithBootstrapKey(bootstrapKey), order.WithMaxWait(100))
	mux := http.NewServeMux()
	api := humago.New(mux, huma.DefaultConfig("test", "1"))
	order.Register(api, orders)
	report.Register(api, report.Sources{
		Configurations: h.follower, Members: h, Statistics: h.recorder,
		Audit: func(ctx context.Context, from cicadapitch.Revision, n int) ([]configuration.AuditRecord, error) {
			return configuration.ReadAudit(ctx, h.store, from, n)
		},
	}, func(authorization string) error {
		_, err := orders.Authenticate(authorization)
		return err
	})
	h.Server = httptest.NewServer(mux)
	t.Cleanup(h.Close)
	return h
}

// run runs a command line against the host, with key as operator's key, and
// returns its output.
func (h *testHost) run(t *testing.T, key string, args ...string) (string, error) {
	t.Helper()
	return runAs(t, key, append(args, "--host", h.URL)...)
}

// mustRun runs a command line with an operator's key. It must succeed.
func (h *testHost) mustRun(t *testing.T, args ...string) string {
	t.Helper()
	out, err := h.run(t, operatorKey, args...)
	require.NoError(t, err, args)
	return out
}

// TestOrdersAndReports checks that each order raises the revision and that the
// changes show in the configuration, its diff, the audit trail and the status.
func TestOrdersAndReports(t *testing.T) {
	h := newTestHost(t)
	_, err := h.run(t, operatorKey, "order", "zone-out", "a")
	require.Equal(t, exitDenied, exitCode(err))
	out, err := h.run(t, bootstrapKey, "configuration", "apply", answersFile)
	require.NoError(t, err)
	require.Contains(t, out, "accepted as revision 1, in force on 1 of 1 hosts")

	require.Contains(t, h.mustRun(t, "order", "zone-out", "a"), "zone a out of service: accepted as revision 2")
	require.Contains(t, h.mustRun(t, "order", "deadline", "technicians", "book-slot", "7000"), "revision 3")
	require.Contains(t, h.mustRun(t, "order", "model", "drafts", "campaign-writer", "--model-version", "2"), "revision 4")
	require.Contains(t, h.mustRun(t, "order", "customer", "new-club", "--share", "2", "--customer-key", "a-key-drawn-at-random"), "revision 5")
	out = h.mustRun(t, "configuration", "diff", answersFile)
	require.Contains(t, out, "3 changes to revision 5")
	require.Contains(t, out, `~ Pools[drafts].Version: "2" -> "1"`)
	require.NotContains(t, out, "Zones[a].Out")

	out = h.mustRun(t, "report", "audit", "--limit", "2")
	require.Contains(t, out, "by fleet-desk")
	require.Contains(t, out, "older ones: --from 3")
	require.Contains(t, h.mustRun(t, "report", "status"), "entry-a1")
	require.Contains(t, h.mustRun(t, "configuration", "show"), `"ID": "new-club"`)
}

// TestRepeatedAndRefusedOrders repeats an order with its change id, which must not
// be applied again, and checks the exit code of each kind of refusal.
func TestRepeatedAndRefusedOrders(t *testing.T) {
	h := newTestHost(t)
	_, err := h.run(t, bootstrapKey, "configuration", "apply", answersFile)
	require.NoError(t, err)
	h.mustRun(t, "order", "zone-out", "a", "--change", "change-0001")
	require.Contains(t, h.mustRun(t, "order", "zone-out", "a", "--change", "change-0001"), "had been accepted before")
	for want, args := range map[int][]string{
		exitInvalid:  {"order", "zone-out", "nowhere"},
		exitConflict: {"configuration", "apply", answersFile, "--base", "1"},
	} {
		_, err := h.run(t, operatorKey, args...)
		require.Equal(t, want, exitCode(err), err)
	}
	h.store.SetDown(true)
	_, err = h.run(t, operatorKey, "order", "zone-in", "a")
	require.Equal(t, exitNotAccepted, exitCode(err))
	require.ErrorContains(t, err, "not accepted, the store is down")
	require.Contains(t, h.mustRun(t, "report", "status"), "entry-a1")
}

func TestOrderListsOutdatedHosts(t *testing.T) {
	h := newTestHost(t)
	h.otherMembers = []cicadapitch.Member{{Host: "entry-b1", Zone: "b", State: cicadapitch.Suspect}}
	out, err := h.run(t, bootstrapKey, "configuration", "apply", answersFile)
	require.NoError(t, err)
	require.Contains(t, out, "in force on 1 of 2 hosts; not known to be up: [entry-a2 entry-b2 entry-c1 entry-c2]\n")
	out = h.mustRun(t, "order", "zone-out", "a")
	require.Contains(t, out, "not yet on entry-b1 in zone b, which is Suspect at revision 0")
	require.Contains(t, h.mustRun(t, "report", "costs"), "1 of 2 hosts answered; the figures lack [entry-b1]")
}

func TestAggregateReportsGroupEntriesAndRejectUnknownGroup(t *testing.T) {
	h := newTestHost(t)
	_, err := h.run(t, bootstrapKey, "configuration", "apply", answersFile)
	require.NoError(t, err)
	h.recorder.Answered("universities", "book-slot", 3000, true)
	h.recorder.Refused("technicians", "book-slot", cicadapitch.NotRun)
	h.recorder.Stage("universities", "book-slot", cicadapitch.StageReport{Stage: "book", Zone: "a", Attempts: 1, Cost: 2})
	out := h.mustRun(t, "report", "attainment")
	require.Contains(t, out, "50.00%")
	require.Contains(t, out, "NotRun:1")
	require.Contains(t, out, "1 of 1 hosts answered")
	require.Contains(t, h.mustRun(t, "report", "costs", "--by", "zone"), "2.0000")
	_, err = h.run(t, operatorKey, "report", "costs", "--by", "colour")
	require.Equal(t, exitInvalid, exitCode(err))
}

func TestInvalidAnswersAreNotApplied(t *testing.T) {
	h := newTestHost(t)
	file := filepath.Join(t.TempDir(), "answers.yaml")
	require.NoError(t, os.WriteFile(file, []byte("Weight: 3\n"), 0o600))
	_, err := h.run(t, bootstrapKey, "configuration", "apply", file)
	require.Equal(t, exitInvalid, exitCode(err))
	require.ErrorContains(t, err, "answers.yaml:1: Weight: ")
	require.Nil(t, h.follower.Current())
	_, err = h.run(t, bootstrapKey, "configuration", "show")
	require.Equal(t, exitInvalid, exitCode(err))
}
