// Package configuration stores the configuration of a deployment in the
// platform's key-value store and distributes it to all hosts.
//
// An Applier writes changes together with an audit record. A few hosts, the
// watchers, read the store; the others fetch updates from their peers. A Syncer
// does this on each host and installs the configuration in a Follower, which
// accepts only higher revisions.
package configuration
