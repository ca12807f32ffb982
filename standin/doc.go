// Package standin provides in-memory fakes of the services that the system
// depends on: the key-value store, model engines, plain services and the host
// list. Each fake records the calls it receives, so that tests can check calls
// on the receiving side.
package standin
