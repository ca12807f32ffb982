package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/administration"
	"cicadapitch.example/cicadapitch/report"
)

func newReport() command {
	return newGroup("report", "shows hosts, configuration changes, costs and attainment",
		newStatus(), newAudit(), newCosts(), newAttainment())
}

// newQuery returns a command that queries a deployment with the function query.
func newQuery(
	name, description string, query func(ctx context.Context, client *administration.Client, conn *connectionFlags, w io.Writer) error,
) command {
	var conn connectionFlags
	c := newSubcommand(name, description, func(ctx context.Context, w io.Writer) error {
		client, err := conn.client()
		if err != nil {
			return err
		}
		return query(ctx, client, &conn, w)
	})
	conn.addFlags(c.sub)
	return c
}

func newStatus() command {
	return newQuery("status", "shows all hosts",
		func(ctx context.Context, client *administration.Client, conn *connectionFlags, w io.Writer) error {
			s, err := fetchStatus(ctx, client)
			if err != nil {
				return err
			}
			return conn.print(w, s, func(w io.Writer) { printStatus(w, s) })
		})
}

// fetchStatus returns the members that the first reachable host lists.
func fetchStatus(ctx context.Context, client *administration.Client) (report.Status, error) {
	var s report.Status
	err := client.Get(ctx, report.Path+"status", &s)
	return s, err
}

// printStatus prints one line for each member. Its load columns are summed over
// the shards that it owns.
func printStatus(w io.Writer, s report.Status) {
	t := newTable(w, "HOST\tZONE\tSTATE\tREVISION\tRUNNING\tSHARDS\tFREE\tSLOTS\tQUEUED\tURL")
	defer t.Flush()
	for _, m := range s.Members {
		var load cicadapitch.ShardLoad
		for _, c := range m.Claims {
			load.Free += c.Load.Free
			load.Total += c.Load.Total
			load.Queued += c.Load.Queued
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\n", m.Host, m.Zone, m.State, m.Revision,
			m.Running, len(m.Claims), load.Free, load.Total, load.Queued, m.CallerURL)
	}
}

func newAudit() command {
	from, limit := int64(0), 20
	c := newQuery("audit", "shows the latest configuration changes",
		func(ctx context.Context, client *administration.Client, conn *connectionFlags, w io.Writer) error {
			var page report.AuditPage
			path := fmt.Sprintf("%saudit?From=%d&Limit=%d", report.Path, from, limit)
			if err := client.Get(ctx, path, &page); err != nil {
				return err
			}
			return conn.print(w, page, func(w io.Writer) { printAudit(w, page) })
		})
	c.sub.Int64(&from, "", "from", "revision to begin with; the newest by default")
	c.sub.Int(&limit, "", "limit", "maximum number of changes")
	return c
}

// printAudit prints each change with its changed fields, and the --from of the
// next page if there is one.
func printAudit(w io.Writer, page report.AuditPage) {
	for _, r := range page.Records {
		at := time.UnixMilli(int64(r.At)).UTC().Format(time.RFC3339)
		fmt.Fprintf(w, "revision %d at %s by %s, change %s, %s: %s\n", r.Revision, at, r.Operator, r.Change, r.Result, r.Summary)
		for _, c := range r.Fields {
			printFieldChange(w, c)
		}
		if r.Omitted > 0 {
			fmt.Fprintf(w, "  and %d more fields\n", r.Omitted)
		}
	}
	if page.Next > 0 {
		fmt.Fprintf(w, "older ones: --from %d\n", page.Next)
	}
}

// newTable returns a table whose columns are separated by tabs. The caller flushes
// it.
func newTable(w io.Writer, header string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	return t
}
