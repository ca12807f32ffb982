package main

import (
	"context"
	"fmt"
	"io"
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

func newCosts() command {
	by := "stage"
	c := newQuery("costs", "shows cost by stage over all hosts since their start",
		func(ctx context.Context, client *administration.Client, conn *connection, w io.Writer) error {
			key, ok := costKeys[by]
			if !ok {
				return usage("--by is none of stage, pipeline, zone")
			}
			f, err := askFleet(ctx, client, "costs", func(p report.CostPage) []report.StageCost { return p.Entries })
			if err != nil {
				return err
			}
			f.Entries = report.MergeCosts(f.Entries, key)
			return conn.print(w, f, func(w io.Writer) { printCosts(w, f) })
		})
	c.sub.String(&by, "", "by", "stage, pipeline or zone")
	return c
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
	by := "pipeline"
	c := newQuery("attainment", "shows how requests ended over all hosts since their start",
		func(ctx context.Context, client *administration.Client, conn *connection, w io.Writer) error {
			key, ok := attainmentKeys[by]
			if !ok {
				return usage("--by is none of pipeline, customer, zone, all")
			}
			f, err := askFleet(ctx, client, "attainment",
				func(p report.AttainmentPage) []report.Attainment { return p.Entries })
			if err != nil {
				return err
			}
			f.Entries = report.MergeAttainment(f.Entries, key)
			return conn.print(w, f, func(w io.Writer) { printAttainment(w, f) })
		})
	c.sub.String(&by, "", "by", "pipeline, customer, zone or all")
	return c
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
			a.Answered, a.Met, a.Share(), a.Quantile(0.5), a.Quantile(0.99), strings.Join(refusals, " "))
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
