// Package batch plans the calls of a stage service: which pieces of which jobs
// share a call, which endpoint runs it and which jobs are refused. One host owns
// a service, or a shard of it, and batches the pieces of all hosts, since an
// endpoint runs few calls at a time and a call costs much however few pieces it
// carries.
//
// The planner performs no I/O and reads no clock: its methods take the current
// time and an event, and Plan returns the commands to carry out.
package batch
