package placement_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/catalog"
	"cicadapitch.example/cicadapitch/placement"
)

// BenchmarkChoiceByWork measures a choice among 90 engines with the reports of 85 hosts, whose sum
// membership keeps. It should take less than 20 µs and make no allocation per engine.
func BenchmarkChoiceByWork(b *testing.B) {
	c := chooser()
	list := endpoints(90)
	reports := placement.NewEngineReports()
	for range 84 {
		calls, work := map[cicadapitch.EndpointID]int{}, map[cicadapitch.EndpointID]placement.EngineWork{}
		for i, e := range list {
			calls[e.ID], work[e.ID] = i%3, placement.EngineWork{Prefill: 100, Output: 50, Held: 200}
		}
		reports.Add(calls, work, 300)
	}
	criteria := placement.Criteria{
		Service: engines, Session: "session", Hosts: 85, OtherLoads: reports.Calls, OtherWork: reports.Work, ReportAge: 300,
		Prompt: []catalog.PromptPart{{ID: "system", Tokens: 600}, {ID: "session", Tokens: 8000}, {ID: "own", Tokens: 300}},
	}
	now := start
	for i := range 2000 {
		criteria.Session = fmt.Sprint(i % 200)
		criteria.Prompt[1].ID = criteria.Session
		now = now.Add(100)
		e, p, ok := c.PredictEngine(now, list, criteria)
		require.True(b, ok)
		run := c.RecordRun(now, e, criteria, p)
		c.RecordFirstEvent(now, run, 30)
		c.EndRun(run)
	}
	now = now.Add(10_000) // all engines may get calls again
	b.ReportAllocs()
	for b.Loop() {
		if _, p, ok := c.PredictEngine(now, list, criteria); !ok || !p.Known {
			b.Fatal("no choice by work")
		}
	}
}
