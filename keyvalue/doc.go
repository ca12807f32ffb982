// Package keyvalue holds the clients of the platform's services: the key-value
// service, by the published HTTP/JSON form of the etcd v3 API, and the lagging
// list of hosts.
package keyvalue
