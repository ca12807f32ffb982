// Package report implements the queries of the administration API: the
// configuration, the audit trail, the status of the hosts, the cost by stage and
// the attainment, which is the share of requests answered within their deadline.
// It also records the statistics and metrics that requests produce on this host.
package report
