package etcd

// Paths of the calls, relative to the base URL.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Codes of errors, as gRPC numbers them.
const (
	CodeInvalidArgument   = 3
	CodeNotFound          = 5
	CodeResourceExhausted = 8
	CodeUnavailable       = 14
)

// MessageNoLeader is the message of a service that refuses a call before it
// has any effect.
const MessageNoLeader = "etcdserver: no leader"

// Header comes with every answer.
type Header struct {
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one key with its value.
type KeyValue struct {
	Key         []byte `json:"key,omitempty"`
	Value       []byte `json:"value,omitempty"`
	ModRevision int64  `json:"mod_revision,string,omitempty"`
	Lease       int64  `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to RangeEnd, or one key.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction on the revision of a key.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Values of Compare.Target and Compare.Result.
const (
	TargetMod   = "MOD"
	ResultEqual = "EQUAL"
)

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest deletes a key.
type DeleteRangeRequest struct {
	Key []byte `json:"key"`
}

// RequestOp is one write of a transaction. One field is set.
type RequestOp struct {
	RequestPut         *PutRequest         `json:"request_put,omitempty"`
	RequestDeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest makes the writes of Success if all conditions hold.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseGrantRequest makes a lease of TTL seconds.
type LeaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// LeaseGrantResponse answers a LeaseGrantRequest.
type LeaseGrantResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// LeaseRequest names a lease to renew or to revoke.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// LeaseKeepAliveResponse answers a renewal. TTL is 0 for a lapsed lease.
type LeaseKeepAliveResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,string,omitempty"`
	TTL    int64  `json:"TTL,string,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	CreateRequest *WatchCreateRequest `json:"create_request"`
}

// WatchCreateRequest names the keys to watch and the first revision to send.
type WatchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// EventDelete is the Type of an event that deletes a key. A write has no Type.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// Streamed wraps each message of a streaming call.
type Streamed[T any] struct {
	Result *T     `json:"result,omitempty"`
	Error  *Error `json:"error,omitempty"`
}

// Error is the answer to a failed call.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// PrefixEnd returns the first key after all keys that begin with prefix. An
// empty prefix, or one of only 0xff bytes, has the end "\x00", which stands for
// all keys from the first.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
