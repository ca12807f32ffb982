// Package configuration keeps the operators' configuration in the platform's
// key-value service, changes it with an audit record, and brings it to every
// host. A host takes only higher revisions.
package configuration
