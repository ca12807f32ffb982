package report_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/configuration"
	"cicadapitch.example/cicadapitch/report"
)

type staticDeployment struct{ cfg *cicadapitch.Configuration }

func (d staticDeployment) Current() *cicadapitch.Configuration { return d.cfg }
func (d staticDeployment) Self() cicadapitch.Member            { return cicadapitch.Member{Host: "entry-a1"} }

func (d staticDeployment) Members() []cicadapitch.Member { return []cicadapitch.Member{d.Self()} }

var deployment = staticDeployment{&cicadapitch.Configuration{
	Revision:  7,
	Customers: []cicadapitch.Customer{{ID: "clubs"}, {ID: "schools"}},
	Pipelines: []cicadapitch.Pipeline{{ID: "draft"}, {ID: "book"}},
}}

// TestConcurrentRecordingLosesNoCounts guards against counts that are lost when
// several goroutines record at once. It checks the sums in the statistics and in the
// Prometheus text.
func TestConcurrentRecordingLosesNoCounts(t *testing.T) {
	reporter := report.NewPrometheusReporter()
	scope, closer := report.NewScope(reporter)
	r := report.NewRecorder("a", deployment, scope)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() { recordMany(r, i) })
	}
	wg.Wait()
	require.NoError(t, closer.Close())

	byPipeline := report.MergeAttainment(r.Attainment(), func(a report.Attainment) string { return string(a.Pipeline) })
	require.Len(t, byPipeline, 2)
	require.Equal(t, int64(800), byPipeline[1].Answered)
	require.Equal(t, int64(400), byPipeline[1].Met)
	require.Equal(t, []report.Refusal{{Kind: cicadapitch.NotRun, Count: 800}}, byPipeline[0].Refusals)
	require.Empty(t, byPipeline[1].Customer)
	require.InEpsilon(t, 1400, int64(byPipeline[1].Quantile(0.99)), 0.07)
	costs := r.Costs()
	require.Len(t, costs, 1)
	require.InDelta(t, 400, float64(costs[0].Cost), 1e-6)
	require.Equal(t, int64(800), costs[0].Count)

	w := httptest.NewRecorder()
	reporter.ServeHTTP(w, nil)
	for _, line := range []string{
		`cicadapitch_answered_total{customer="clubs",met="true",pipeline="draft",zone="a"} 200`,
		`cicadapitch_refused_total{customer="schools",kind="NotRun",pipeline="book",zone="a"} 400`,
		`cicadapitch_took_seconds_bucket{pipeline="draft",zone="a",le="1.4"} 800`,
		`cicadapitch_took_seconds_bucket{pipeline="draft",zone="a",le="+Inf"} 800`,
		`cicadapitch_stage_cost_millionths_total{endpoint_zone="b",pipeline="draft",stage="generate",zone="a"} 4e+08`,
		"# TYPE cicadapitch_took_seconds histogram",
	} {
		require.Contains(t, w.Body.String(), line+"\n")
	}
}

func recordMany(r *report.Recorder, i int) {
	customer := []cicadapitch.CustomerID{"clubs", "schools"}[i%2]
	for n := range 100 {
		r.Answered(customer, "draft", 1400, n%2 == 0)
		r.Refused(customer, "book", cicadapitch.NotRun)
		r.Stage(customer, "draft", cicadapitch.StageReport{Stage: "generate", Zone: "b", Attempts: 1, Cost: 0.5})
	}
}

// TestUnknownNamesShareOneEntry guards against unbounded memory through requests
// with unknown pipeline names.
func TestUnknownNamesShareOneEntry(t *testing.T) {
	r := report.NewRecorder("a", deployment, tally.NoopScope)
	for i := range 1000 {
		r.Refused("clubs", cicadapitch.PipelineID(fmt.Sprint(i)), cicadapitch.NotFound)
	}
	list := r.Attainment()
	require.Len(t, list, 1)
	require.Equal(t, cicadapitch.PipelineID(report.Other), list[0].Pipeline)
	require.Equal(t, int64(1000), list[0].Refusals[0].Count)
}

// TestQueriesRequireOperatorKey guards against queries that answer without an
// operator's key, and against wrong pages of the audit trail.
func TestQueriesRequireOperatorKey(t *testing.T) {
	mux := http.NewServeMux()
	sources := report.Sources{
		Configurations: deployment, Members: deployment, Statistics: report.NoStatistics{}, Audit: auditOf(9),
	}
	report.Register(humago.New(mux, huma.DefaultConfig("test", "1")), sources, func(authorization string) error {
		if authorization == "Bearer right" {
			return nil
		}
		return cicadapitch.NewError(cicadapitch.Denied, "no operator", "use a key")
	})
	for _, name := range []string{"configuration", "status", "costs", "attainment", "audit"} {
		require.Equal(t, http.StatusUnauthorized, get(mux, name, "wrong").Code, name)
		require.Equal(t, http.StatusOK, get(mux, name, "right").Code, name)
	}
	var page report.AuditPage
	require.NoError(t, json.Unmarshal(get(mux, "audit?Limit=3", "right").Body.Bytes(), &page))
	require.Equal(t, cicadapitch.Revision(7), page.Records[0].Revision)
	require.Equal(t, cicadapitch.Revision(4), page.Next)
	require.Equal(t, http.StatusUnprocessableEntity, get(mux, "audit?Limit=100000", "right").Code)
}

func auditOf(newest cicadapitch.Revision) report.Audit {
	return func(_ context.Context, from cicadapitch.Revision, n int) ([]configuration.AuditRecord, error) {
		var list []configuration.AuditRecord
		for r := min(from, newest); r > 0 && len(list) < n; r-- {
			list = append(list, configuration.AuditRecord{Revision: r})
		}
		return list, nil
	}
}

func get(h http.Handler, name, key string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodGet, report.Path+name, nil)
	r.Header.Set("Authorization", "Bearer "+key)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}
