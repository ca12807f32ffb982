// Package order is the commands of the administration API. Each order is one
// change of the configuration, carries a change id that its sender minted, and
// returns once the change is in force.
package order
