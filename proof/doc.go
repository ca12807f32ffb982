// Package proof holds the tests that bring about failures of whole processes:
// kills, freezes, cut and silent connections, outages of the platform and races
// of operators. docs/PROOFS.md names them by invariant.
package proof
