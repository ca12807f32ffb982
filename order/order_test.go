package order_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/order"
	"cicadapitch.example/cicadapitch/questionnaire"
)

const (
	operatorKey = "sample-key-of-fleet-desk"
	secondKey   = "sample-key-of-night-duty"
	customerKey = "sample-key-of-universities"
)

type fixture struct {
	*fakeApplier
	service *order.Service
	mux     *http.ServeMux
}

// exampleConfiguration returns the configuration of the example questionnaire
// answers: three zones and six hosts.
func exampleConfiguration(t testing.TB) *cicadapitch.Configuration {
	t.Helper()
	f, err := os.Open("../examples/questionnaires/windkanal-verbund.yaml")
	require.NoError(t, err)
	defer f.Close()
	a, err := questionnaire.Read(f, "answers.yaml")
	require.NoError(t, err)
	cfg, err := a.Configuration()
	require.NoError(t, err)
	return cfg
}

func newFixture(t testing.TB, propagation order.Propagation, opts ...order.Option) *fixture {
	t.Helper()
	cfg := exampleConfiguration(t)
	cfg.Revision = 1
	a := &fakeApplier{cfg: cfg, applied: make(map[cicadapitch.ChangeID]cicadapitch.Revision)}
	s := order.NewService(a, a, propagation, steppingClock{cicadapitch.NewManualClock(0)}, opts...)
	mux := http.NewServeMux()
	order.Register(humago.New(mux, huma.DefaultConfig("test", "1")), s)
	return &fixture{a, s, mux}
}

func (f *fixture) post(name, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, order.Path+name, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("Content-Type", "application/json")
	w := httptest.NewRecorder()
	f.mux.ServeHTTP(w, r)
	return w
}

// execute authenticates with key and executes an order.
func (f *fixture) execute(t *testing.T, key string, o order.Order) (order.Result, error) {
	t.Helper()
	principal, err := f.service.Authenticate("Bearer " + key)
	require.NoError(t, err)
	return f.service.Execute(context.Background(), principal, o)
}

func TestOrderReturnsOnceInForce(t *testing.T) {
	f := newFixture(t, fakePropagation{6, 6})
	w := f.post("zone", operatorKey, `{"Change":"change-1","Zone":"a","Out":true}`)
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	var r order.Result
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &r))
	require.Equal(t, "zone a out of service: accepted as revision 2, in force on 6 of 6 hosts", r.String())
	z, _ := f.Current().Zone("a")
	require.True(t, z.Out)
}

func TestOrderWaitsAtMostSixSeconds(t *testing.T) {
	clock := steppingClock{cicadapitch.NewManualClock(0)}
	f := newFixture(t, fakePropagation{5, 6})
	s := order.NewService(f, f, fakePropagation{5, 6}, clock)
	principal, err := s.Authenticate("Bearer " + operatorKey)
	require.NoError(t, err)
	r, err := s.Execute(context.Background(), principal, order.Order{Change: "change-1", Mutate: order.SetZoneOut("a", true, false)})
	require.NoError(t, err)
	require.Equal(t, 5, r.InForce)
	require.Equal(t, cicadapitch.Instant(6000), clock.Now())
}

// TestResultListsMissingHosts sends the order to a host that knows one host of six.
func TestResultListsMissingHosts(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	r, err := f.execute(t, operatorKey, order.Order{Change: "change-1", Summary: "x", Mutate: order.SetZoneOut("a", true, false)})
	require.NoError(t, err)
	require.Len(t, r.Missing, 5)
	require.Contains(t, r.String(), "in force on 1 of 1 hosts; not known to be up: [entry-a2")
}

func TestSameChangeIDIsAppliedOnce(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	f.err, f.answerLost = cicadapitch.NewOutcomeUnknown("the answer was lost"), true
	o := order.Order{Change: "change-1", Mutate: order.SetZoneOut("a", true, false)}
	_, err := f.execute(t, operatorKey, o)
	require.Equal(t, cicadapitch.OutcomeUnknown, cicadapitch.KindOf(err))
	require.Contains(t, cicadapitch.AsError(err).Remedy, "same change id")
	f.err = nil
	r, err := f.execute(t, operatorKey, o)
	require.NoError(t, err)
	require.True(t, r.Repeated)
	require.Equal(t, cicadapitch.Revision(2), f.Current().Revision)
}

func TestStoreOutageIsReportedAsNotAccepted(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	f.err = cicadapitch.NewError(cicadapitch.Unavailable, "no answer", "")
	w := f.post("zone", operatorKey, `{"Change":"change-1","Zone":"a","Out":true}`)
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Contains(t, w.Body.String(), "not accepted, the store is down")
}

// TestConcurrentOrderIsNotOverwritten writes another operator's order between the
// read and the swap of an order. An order for one zone keeps both changes; an order
// for the whole configuration fails, since its base is no longer current.
func TestConcurrentOrderIsNotOverwritten(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	f.beforeSwap = func() {
		_, err := f.execute(t, secondKey, order.Order{Change: "change-2", Mutate: order.SetZoneOut("b", true, false)})
		require.NoError(t, err)
	}
	_, err := f.execute(t, operatorKey, order.Order{Change: "change-1", Mutate: order.SetZoneOut("a", true, false)})
	require.NoError(t, err)
	require.Equal(t, []bool{true, true, false}, zonesOut(f.Current()))
	f.beforeSwap = func() {
		_, err := f.execute(t, secondKey, order.Order{Change: "change-3", Mutate: order.SetZoneOut("a", false, false)})
		require.NoError(t, err)
	}
	_, err = f.execute(t, operatorKey, order.Order{Change: "change-4", Mutate: order.SetConfiguration(3, *exampleConfiguration(t))})
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
	require.Contains(t, cicadapitch.AsError(err).Remedy, "apply on the new base")
}

func TestParallelOrdersAreAllApplied(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	endpoints := f.Current().Endpoints
	var wg sync.WaitGroup
	for _, e := range endpoints {
		wg.Go(func() {
			principal, _ := f.service.Authenticate("Bearer " + operatorKey)
			_, err := f.service.Execute(context.Background(), principal, order.Order{
				Change: cicadapitch.ChangeID("out-" + string(e.ID)), Mutate: order.SetEndpointOut(e.ID, true, true),
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	for _, e := range f.Current().Endpoints {
		require.True(t, e.Out, e.ID)
	}
}

func zonesOut(cfg *cicadapitch.Configuration) []bool {
	var out []bool
	for _, z := range cfg.Zones {
		out = append(out, z.Out)
	}
	return out
}

func TestLastZoneStaysInServiceUnlessForced(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	for _, z := range []cicadapitch.ZoneID{"a", "b"} {
		_, err := f.execute(t, operatorKey, order.Order{Change: cicadapitch.ChangeID("change-" + z), Mutate: order.SetZoneOut(z, true, false)})
		require.NoError(t, err)
	}
	_, err := f.execute(t, operatorKey, order.Order{Change: "change-c", Mutate: order.SetZoneOut("c", true, false)})
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
	require.ErrorContains(t, err, "the zones")
	_, err = f.execute(t, operatorKey, order.Order{Change: "change-c", Mutate: order.SetZoneOut("c", true, true)})
	require.NoError(t, err)
}

// TestConfigurationOrderKeepsOutOfService guards against revised questionnaire
// answers that bring a zone back into service.
func TestConfigurationOrderKeepsOutOfService(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	_, err := f.execute(t, operatorKey, order.Order{Change: "change-1", Mutate: order.SetZoneOut("b", true, false)})
	require.NoError(t, err)
	body, err := json.Marshal(order.ConfigurationOrder{
		ChangeField: order.ChangeField{Change: "change-2"}, Base: 2, Configuration: *exampleConfiguration(t),
	})
	require.NoError(t, err)
	w := f.post("configuration", operatorKey, string(body))
	require.Equal(t, http.StatusOK, w.Code, w.Body)
	require.Equal(t, []bool{false, true, false}, zonesOut(f.Current()))
}

// TestOrderedModelsStayOrdered applies unchanged questionnaire answers, then answers
// with another model version twice. Ordered must be set by the changed version and
// stay set. SetModel must set it, too.
func TestOrderedModelsStayOrdered(t *testing.T) {
	cfg := exampleConfiguration(t)
	cfg.Revision = 1
	poolOrdered := func() bool {
		p, _ := cfg.Pool("drafts")
		return p.Ordered
	}
	require.NoError(t, order.SetConfiguration(1, *exampleConfiguration(t))(cfg))
	require.False(t, poolOrdered())
	revised := exampleConfiguration(t)
	revised.Pools[3].Version = "2"
	require.NoError(t, order.SetConfiguration(1, *revised)(cfg))
	require.True(t, poolOrdered())
	require.NoError(t, order.SetConfiguration(1, *revised)(cfg))
	require.True(t, poolOrdered())
	require.False(t, revised.Pools[3].Ordered)
	cfg = exampleConfiguration(t)
	require.NoError(t, order.SetModel(order.Model{Pool: "drafts", Model: "campaign-writer"})(cfg))
	require.True(t, poolOrdered())
}

func TestOnlyOperatorKeysAreAccepted(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	for _, key := range []string{"", "wrong", customerKey, f.Current().Operators[0].KeyHash} {
		w := f.post("zone", key, `{"Change":"change-1","Zone":"a","Out":true}`)
		require.Equal(t, http.StatusUnauthorized, w.Code)
		require.Contains(t, w.Body.String(), "Remedy")
	}
	require.Equal(t, cicadapitch.Revision(1), f.Current().Revision)
}

// TestRemovedOperatorIsDenied removes an operator after it was authenticated, as if
// the configuration of the host were older than the one in the store.
func TestRemovedOperatorIsDenied(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	principal, err := f.service.Authenticate("Bearer " + operatorKey)
	require.NoError(t, err)
	f.cfg.Operators = f.cfg.Operators[1:]
	_, err = f.service.Execute(context.Background(), principal, order.Order{Change: "change-1", Mutate: order.SetZoneOut("a", true, false)})
	require.Equal(t, cicadapitch.Denied, cicadapitch.KindOf(err))
}

func TestBootstrapKeyAppliesOnlyTheFirstConfiguration(t *testing.T) {
	const key = "deployment-key-in-hexadecimal"
	f := newFixture(t, fakePropagation{1, 1}, order.WithBootstrapKey(key))
	_, err := f.service.Authenticate("Bearer " + key)
	require.Equal(t, cicadapitch.Denied, cicadapitch.KindOf(err))
	f.cfg = nil
	principal, err := f.service.Authenticate("Bearer " + key)
	require.NoError(t, err)
	first := order.Order{Change: "change-1", Mutate: order.SetConfiguration(0, *exampleConfiguration(t))}
	_, err = f.service.Execute(context.Background(), principal, first)
	require.NoError(t, err)
	first.Change = "change-2"
	_, err = f.service.Execute(context.Background(), principal, first)
	require.Equal(t, cicadapitch.Conflict, cicadapitch.KindOf(err))
}

func TestInvalidBodiesAreRejected(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	for _, c := range []struct {
		name, body string
		status     int
	}{
		{"zone", `{"Change":"change-1","Zone":"a","Out":true,"Colour":"red"}`, http.StatusUnprocessableEntity},
		{"zone", `{"Change":"change-1","Zone":"a","Out":`, http.StatusBadRequest},
		{"zone", `{"Change":"short","Zone":"a","Out":true}`, http.StatusUnprocessableEntity},
		{"zone", `{"Change":"change-1","Zone":"nowhere","Out":true}`, http.StatusNotFound},
		{"zone", `{"Change":"change-1","Zone":"` + strings.Repeat("a", 70<<10) + `","Out":true}`, http.StatusRequestEntityTooLarge},
		{"zone", ``, http.StatusBadRequest},
		{"configuration", strings.Repeat("[", 2<<20), http.StatusRequestEntityTooLarge},
		{"model", `{"Change":"change-1","Pool":"booking","Model":"x"}`, http.StatusBadRequest},
		{"customer", `{"Change":"change-1","Action":"Replace","Customer":{"ID":"universities","Share":1,"KeyHash":"` + f.Current().Operators[0].KeyHash + `","Deadlines":null,"Out":false}}`, http.StatusBadRequest},
		{"pipeline-remove", `{"Change":"change-1","Pipeline":"nothing"}`, http.StatusNotFound},
		{"deadline", `{"Change":"change-1","Customer":"universities","Pipeline":"book-slot","Deadline":-1}`, http.StatusUnprocessableEntity},
	} {
		w := f.post(c.name, operatorKey, c.body)
		require.Equal(t, c.status, w.Code, "%s %.60s: %s", c.name, c.body, w.Body)
	}
	require.Equal(t, cicadapitch.Revision(1), f.Current().Revision)
}

func TestPipelineCustomerAndModelOrdersChangeTheConfiguration(t *testing.T) {
	f := newFixture(t, fakePropagation{1, 1})
	p := f.Current().Pipelines[0]
	p.ID = "copy"
	body, err := json.Marshal(order.PipelineOrder{ChangeField: order.ChangeField{Change: "change-1"}, Pipeline: p})
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, f.post("pipeline", operatorKey, string(body)).Code)
	require.Equal(t, http.StatusConflict, f.post("pipeline", operatorKey, string(bytes.Replace(body, []byte("change-1"), []byte("change-2"), 1))).Code)
	for name, body := range map[string]string{
		"deadline":        `{"Change":"change-3","Customer":"technicians","Pipeline":"copy","Deadline":500}`,
		"model":           `{"Change":"change-4","Pool":"drafts","Model":"campaign-writer","Version":"2","Role":"decode"}`,
		"customer-remove": `{"Change":"change-5","Customer":"cycling-clubs"}`,
	} {
		w := f.post(name, operatorKey, body)
		require.Equal(t, http.StatusOK, w.Code, w.Body)
	}
	cfg := f.Current()
	require.Equal(t, cicadapitch.Millis(500), cfg.DeadlineFor("technicians", p))
	pool, _ := cfg.Pool("drafts")
	require.Equal(t, cicadapitch.ModelVersion("2"), pool.Version)
	require.Equal(t, http.StatusOK, f.post("pipeline-remove", operatorKey, `{"Change":"change-6","Pipeline":"copy"}`).Code)
	cu, _ := f.Current().Customer("technicians")
	require.Empty(t, cu.Deadlines)
	require.NoError(t, configuration.Check(f.Current()))
}
