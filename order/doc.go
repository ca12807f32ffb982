// Package order implements the orders of the administration API. An order is an
// operator's command that makes one change of the configuration. The sender
// chooses its change id, which makes it safe to repeat. An order returns once the
// change is in force on all hosts, or after MaxWait.
package order
