// Package proof contains fault-injection tests against daemons that run as
// separate processes: killed and frozen hosts, refused and silent connections,
// outages of the store and concurrent orders. docs/PROOFS.md lists the tests by
// the invariant that they check.
package proof
