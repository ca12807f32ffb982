// Package bed runs cicadapitch-front processes on loopback addresses before stand-ins of the platform's store, of
// replicas and of requesters. The review's scripts use it; each command under review/cmd is one case.
package bed
