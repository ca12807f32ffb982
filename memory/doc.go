// Package memory divides the memory of a host among its requests. A Budget knows how much each request holds
// and how fast the other side takes it, refuses what does not fit, and says which request is to be shed when
// memory runs short. It has no locks and no I/O.
package memory
