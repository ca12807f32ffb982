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

// maxParallelQueries bounds the hosts that are asked at the same time.
const maxParallelQueries = 16

// fleet is what all hosts of a deployment answered.
type fleet[E any] struct {
	Entries []E
	// Asked and Answered count hosts. Missing names those without an answer.
	Asked    int
	Answered int
	Missing  []cicadapitch.HostID
}

// askFleet makes a query on every host that the first one knows.
func askFleet[P, E any](
	ctx context.Context, client *administration.Client, name string, entries func(P) []E,
) (fleet[E], error) {
	var f fleet[E]
	s, err := status(ctx, client)
	if err != nil {
		return f, err
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
			f.Asked++
			if err != nil {
				f.Missing = append(f.Missing, m.Host)
				return
			}
			f.Answered++
			f.Entries = append(f.Entries, entries(page)...)
		})
	}
	wg.Wait()
	return f, nil
}

func (f fleet[E]) printMissing(w io.Writer) {
	fmt.Fprintf(w, "%d of %d hosts answered", f.Answered, f.Asked)
	if len(f.Missing) > 0 {
		fmt.Fprintf(w, "; the figures lack %v", f.Missing)
	}
	fmt.Fprintln(w)
}

// view says how one kind of figures is asked for, added up and printed.
type view[P, E any] struct {
	name        string
	description string
	entries     func(P) []E
	merge       func([]E, func(E) string) []E
	keys        map[string]func(E) string
	by          string
	print       func(io.Writer, fleet[E])
}

func newFigures[P, E any](v view[P, E]) command {
	choices := strings.Join(slices.Sorted(maps.Keys(v.keys)), ", ")
	by := v.by
	c := newQuery(v.name, v.description+" over all hosts since their start",
		func(ctx context.Context, client *administration.Client, conn *connection, w io.Writer) error {
			key, ok := v.keys[by]
			if !ok {
				return usage("--by is none of " + choices)
			}
			f, err := askFleet(ctx, client, v.name, v.entries)
			if err != nil {
				return err
			}
			f.Entries = v.merge(f.Entries, key)
			return conn.print(w, f, func(w io.Writer) { v.print(w, f) })
		})
	c.sub.String(&by, "", "by", "one of "+choices)
	return c
}

func newCosts() command {
	return newFigures(view[report.CostPage, report.StageCost]{
		name:        "costs",
		description: "shows cost by stage",
		entries:     func(p report.CostPage) []report.StageCost { return p.Entries },
		merge:       report.MergeCosts,
		keys:        costKeys,
		by:          "stage",
		print:       printCosts,
	})
}

var costKeys = map[string]func(report.StageCost) string{
	"stage":    func(c report.StageCost) string { return string(c.Pipeline) + "/" + string(c.Stage) },
	"pipeline": func(c report.StageCost) string { return string(c.Pipeline) },
	"zone":     func(c report.StageCost) string { return string(c.Zone) },
}

func printCosts(w io.Writer, f fleet[report.StageCost]) {
	t := newTable(w, "PIPELINE\tSTAGE\tZONE\tCOUNT\tATTEMPTS\tQUEUED MS\tSERVED MS\tTOKENS\tCOST\tCOST EACH")
	for _, c := range f.Entries {
		n := max(c.Count, 1)
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.4f\n", orAll(c.Pipeline), orAll(c.Stage), orAll(c.Zone),
			c.Count, c.Attempts, int64(c.Queued)/n, int64(c.Served)/n, c.Tokens, float64(c.Cost), float64(c.Cost)/float64(n))
	}
	t.Flush()
	f.printMissing(w)
}

func newAttainment() command {
	return newFigures(view[report.AttainmentPage, report.Attainment]{
		name:        "attainment",
		description: "shows how requests ended",
		entries:     func(p report.AttainmentPage) []report.Attainment { return p.Entries },
		merge:       report.MergeAttainment,
		keys:        attainmentKeys,
		by:          "pipeline",
		print:       printAttainment,
	})
}

var attainmentKeys = map[string]func(report.Attainment) string{
	"pipeline": func(a report.Attainment) string { return string(a.Pipeline) },
	"customer": func(a report.Attainment) string { return string(a.Customer) },
	"zone":     func(a report.Attainment) string { return string(a.Zone) },
	"all": func(a report.Attainment) string {
		return strings.Join([]string{string(a.Customer), string(a.Pipeline), string(a.Zone)}, "/")
	},
}

func printAttainment(w io.Writer, f fleet[report.Attainment]) {
	t := newTable(w, "CUSTOMER\tPIPELINE\tZONE\tANSWERED\tMET\tATTAINMENT\tP50 MS\tP99 MS\tREFUSALS")
	for _, a := range f.Entries {
		refusals := lo.Map(a.Refusals, func(r report.Refusal, _ int) string { return fmt.Sprintf("%s:%d", r.Kind, r.Count) })
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%s\n", orAll(a.Customer), orAll(a.Pipeline), orAll(a.Zone),
			a.Answered, a.Met, a.MetPercent(), a.Quantile(0.5), a.Quantile(0.99), strings.Join(refusals, " "))
	}
	t.Flush()
	f.printMissing(w)
}

// orAll names a column over which the entries were added up.
func orAll[T ~string](name T) string {
	if name == "" {
		return "-"
	}
	return string(name)
}
