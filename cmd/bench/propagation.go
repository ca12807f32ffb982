package main

import (
	"os"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/bench/propagation"
)

// printLeaving prints how long the hosts send requests to endpoints that leave, by size of
// fleet and load.
func printLeaving() error {
	var results []propagation.LeavingResult
	for _, hosts := range []int{8, 68, 88} {
		for _, c := range []propagation.LeavingCase{
			{Case: propagation.Case{Routes: 40}},
			{Case: propagation.Case{Routes: 40, Traffic: 0.9}, ConnectDelay: 800},
			{Case: propagation.Case{Routes: 40, Added: 1400, Changes: 2, Traffic: 0.3}, ConnectDelay: 800},
			{Case: propagation.Case{Routes: 40, Added: 1400, Changes: 2, Traffic: 0.9}, ConnectDelay: 800},
		} {
			c.Hosts, c.LinkMbps, c.Gap = hosts, 10, 1150
			c.Endpoints, c.Leaving, c.LeaveGap, c.Requests = 20, 10, 500, 3
			r, err := propagation.RunLeaving(c)
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	}
	return propagation.WriteLeavingTable(os.Stdout, results)
}

// printPropagation prints how long changes of the configuration take to be in force on all
// hosts, and what they cost, by size of fleet and configuration. traffic is the share of each
// host's link that other calls use.
func printPropagation(traffic float64) error {
	var results []propagation.Result
	for _, hosts := range []int{8, 68, 88} {
		for _, c := range []propagation.Case{
			{Routes: 40, Added: 1}, {Routes: 1400, Added: 1}, {Routes: 40, Added: 1400}, {Routes: 2800, Added: 1},
		} {
			c.Hosts, c.Changes, c.Gap, c.LinkMbps, c.Traffic = hosts, 3, cicadapitch.Second, 10, traffic
			if c.Added > 1 {
				c.Changes = 2
			}
			r, err := propagation.Run(c)
			if err != nil {
				return err
			}
			results = append(results, r)
		}
	}
	return propagation.WriteTable(os.Stdout, results)
}
