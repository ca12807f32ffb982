// Package fleet keeps the state of the deployment as one host knows it: the
// configuration in force, the endpoints, the zones out of service and the other
// hosts. Changes arrive from the store and from other hosts in any order and are
// merged by the store's revisions, so an older change never replaces a newer one.
// The package performs no I/O.
package fleet
