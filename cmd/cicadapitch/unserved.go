package main

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"cicadapitch.example/cicadapitch/requestlog"
)

func newUnserved() command {
	return newLogCommand("unserved", "counts the attempts of callers that were not served, by route and cause",
		func(logs io.Reader, w io.Writer) error {
			losses, attempts, err := requestlog.Losses(logs)
			if err != nil {
				return err
			}
			return printLosses(w, losses, attempts)
		})
}

// printLosses prints a table of losses, and the share of the attempts that was served, also in nines.
func printLosses(w io.Writer, losses []requestlog.Loss, attempts int) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTE\tCAUSE\tCOUNT\tMEDIAN MS\tLONGEST MS\tFIRST ID")
	lost := 0
	for _, l := range losses {
		lost += l.Count
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\n", l.Route, l.Cause, l.Count, l.Took, l.Longest, l.First)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if attempts == 0 {
		_, err := fmt.Fprintln(w, "no attempts")
		return err
	}
	nines := "no loss"
	if lost > 0 {
		nines = fmt.Sprintf("%.2f nines", -math.Log10(float64(lost)/float64(attempts)))
	}
	_, err := fmt.Fprintf(w, "%d of %d attempts served, %s\n", attempts-lost, attempts, nines)
	return err
}
