// Package etcd holds the messages of the published HTTP/JSON form of the
// etcd v3 API, as far as the platform client and its stand-in use them. Field
// names follow that API. 64-bit integers are strings and bytes are base64.
package etcd
