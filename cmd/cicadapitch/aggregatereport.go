package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/samber/lo"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/administration"
	"cicadapitch.example/cicadapitch/report"
)

// maxParallelQueries is the maximum number of hosts queried at the same time.
const maxParallelQueries = 16

// aggregatedEntries holds the report entries of all hosts that answered a query,
// and which hosts did not.
type aggregatedEntries[E any] struct {
	Entries []E
	// Asked is the number of hosts queried, Answered the number that answered.
	// Missing lists the others.
	Asked    int
	Answered int
	Missing  []cicadapitch.HostID
}

// queryHosts runs the report query called name on every member that the first
// reachable host lists, and collects the entries.
func queryHosts[P, E any](
	ctx context.Context, client *administration.Client, name string, entries func(P) []E,
) (aggregatedEntries[E], error) {
	var h aggregatedEntries[E]
	s, err := fetchStatus(ctx, client)
	if err != nil {
		return h, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for _, m := range s.Members {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			var page P
			err := client.GetFrom(ctx, m.CallerURL, report.Path+name, &page)
			mu.Lock()
			defer mu.Unlock()
			h.Asked++
			if err != nil {
				h.Missing = append(h.Missing, m.Host)
				return
			}
			h.Answered++
			h.Entries = append(h.Entries, entries(page)...)
		})
	}
	wg.Wait()
	return h, nil
}

// printCoverage prints how many hosts answered and which did not.
func (h aggregatedEntries[E]) printCoverage(w io.Writer) {
	fmt.Fprintf(w, "%d of %d hosts answered", h.Answered, h.Asked)
	if len(h.Missing) > 0 {
		fmt.Fprintf(w, "; the figures lack %v", h.Missing)
	}
	fmt.Fprintln(w)
}

// aggregateReport describes a report whose entries are queried from all hosts,
// merged into groups and printed as a table.
type aggregateReport[P, E any] struct {
	name        string
	description string
	// entries returns the entries of one host's answer.
	entries func(P) []E
	// merge adds up the entries of each group.
	merge func([]E, func(E) string) []E
	// groupKeys maps each value of --by to the function that returns the group
	// of an entry.
	groupKeys map[string]func(E) string
	// defaultGroupBy is the default of --by.
	defaultGroupBy string
	print          func(io.Writer, aggregatedEntries[E])
}

// newAggregateReport returns the command of an aggregate report.
func newAggregateReport[P, E any](r aggregateReport[P, E]) command {
	choices := strings.Join(slices.Sorted(maps.Keys(r.groupKeys)), ", ")
	groupBy := r.defaultGroupBy
	c := newQuery(r.name, r.description+" over all hosts since their start",
		func(ctx context.Context, client *administration.Client, conn *connectionFlags, w io.Writer) error {
			groupKey, ok := r.groupKeys[groupBy]
			if !ok {
				return usageError("--by must be one of " + choices)
			}
			h, err := queryHosts(ctx, client, r.name, r.entries)
			if err != nil {
				return err
			}
			h.Entries = r.merge(h.Entries, groupKey)
			return conn.print(w, h, func(w io.Writer) { r.print(w, h) })
		})
	c.sub.String(&groupBy, "", "by", "group entries by one of "+choices)
	return c
}

func newCosts() command {
	return newAggregateReport(aggregateReport[report.CostPage, report.StageCost]{
		name:           "costs",
		description:    "shows the cost of each stage",
		entries:        func(p report.CostPage) []report.StageCost { return p.Entries },
		merge:          report.MergeCosts,
		groupKeys:      costGroupKeys,
		defaultGroupBy: "stage",
		print:          printCosts,
	})
}

var costGroupKeys = map[string]func(report.StageCost) string{
	"stage":    func(c report.StageCost) string { return string(c.Pipeline) + "/" + string(c.Stage) },
	"pipeline": func(c report.StageCost) string { return string(c.Pipeline) },
	"zone":     func(c report.StageCost) string { return string(c.Zone) },
}

func printCosts(w io.Writer, h aggregatedEntries[report.StageCost]) {
	t := newTable(w, "PIPELINE\tSTAGE\tZONE\tCOUNT\tATTEMPTS\tQUEUED MS\tSERVED MS\tTOKENS\tCOST\tCOST EACH")
	for _, c := range h.Entries {
		n := max(c.Count, 1)
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.4f\n", nameOrDash(c.Pipeline), nameOrDash(c.Stage), nameOrDash(c.Zone),
			c.Count, c.Attempts, int64(c.Queued)/n, int64(c.Served)/n, c.Tokens, float64(c.Cost), float64(c.Cost)/float64(n))
	}
	t.Flush()
	h.printCoverage(w)
}

func newAttainment() command {
	return newAggregateReport(aggregateReport[report.AttainmentPage, report.Attainment]{
		name:           "attainment",
		description:    "shows how requests ended",
		entries:        func(p report.AttainmentPage) []report.Attainment { return p.Entries },
		merge:          report.MergeAttainment,
		groupKeys:      attainmentGroupKeys,
		defaultGroupBy: "pipeline",
		print:          printAttainment,
	})
}

var attainmentGroupKeys = map[string]func(report.Attainment) string{
	"pipeline": func(a report.Attainment) string { return string(a.Pipeline) },
	"customer": func(a report.Attainment) string { return string(a.Customer) },
	"zone":     func(a report.Attainment) string { return string(a.Zone) },
	"all": func(a report.Attainment) string {
		return strings.Join([]string{string(a.Customer), string(a.Pipeline), string(a.Zone)}, "/")
	},
}

func printAttainment(w io.Writer, h aggregatedEntries[report.Attainment]) {
	t := newTable(w, "CUSTOMER\tPIPELINE\tZONE\tANSWERED\tMET\tATTAINMENT\tP50 MS\tP99 MS\tREFUSALS")
	for _, a := range h.Entries {
		refusals := lo.Map(a.Refusals, func(r report.Refusal, _ int) string { return fmt.Sprintf("%s:%d", r.Kind, r.Count) })
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%s\n", nameOrDash(a.Customer), nameOrDash(a.Pipeline), nameOrDash(a.Zone),
			a.Answered, a.Met, a.MetPercent(), a.Quantile(0.5), a.Quantile(0.99), strings.Join(refusals, " "))
	}
	t.Flush()
	h.printCoverage(w)
}

// nameOrDash returns the name, or a dash for a column that the entries are not
// grouped by.
func nameOrDash[T ~string](name T) string {
	if name == "" {
		return "-"
	}
	return string(name)
}
