// Package batch decides how the pieces of one stage service are put together
// into calls, which endpoint gets them and which are turned away. One host owns
// a service and batches the pieces of all hosts, since an endpoint takes one
// call at a time and a call costs much whatever it carries.
//
// The decisions are pure: they take the time and a message and return commands.
package batch
