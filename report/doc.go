// Package report is the queries of the administration API: the configuration,
// the audit trail, the status of the hosts, cost by stage and attainment. It
// also counts what these queries and the metrics tell.
package report
