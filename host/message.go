package host

import (
	"context"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// Ref identifies one incarnation of one host by a 48-bit hash.
type Ref uint64

const refBits = 48

func refOf(m cicadapitch.Member) Ref {
	return Ref(xxh3.HashStringSeed(string(m.Host), uint64(m.Incarnation)) >> (64 - refBits))
}

// Status is the part of a Record that changes often. A receiver can apply a Status
// only if it has a Record of the same Shape.
type Status struct {
	_       struct{} `cbor:",toarray"`
	Ref     Ref
	Version uint64
	// Shape is the Version at which fields outside of Status and Loads last
	// changed.
	Shape    uint64
	State    cicadapitch.HostState
	Health   Health
	Revision cicadapitch.Revision
	StoreUp  bool
}

// Loads are the current loads of the sender of a message. They are not relayed to
// other hosts.
type Loads struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Running int
	// Shards are the loads of the sender's claims, in the order of the claims.
	Shards []Load
}

// Load is the wire form of cicadapitch.ShardLoad. Service is its ServiceMillis.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Free    cicadapitch.Slots
	Total   cicadapitch.Slots
	Queued  int
	Service cicadapitch.Millis
}

// Claim is the wire form of cicadapitch.Claim without its load.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Shard   cicadapitch.ShardID
	Fencing cicadapitch.FencingNumber
}

// Record is the wire form of cicadapitch.Member without its loads.
type Record struct {
	_           struct{} `cbor:",toarray"`
	Status      Status
	Host        cicadapitch.HostID
	Zone        cicadapitch.ZoneID
	Region      cicadapitch.RegionID
	Incarnation cicadapitch.Incarnation
	Started     cicadapitch.Instant
	PeerAddress string
	CallerURL   string
	Claims      []Claim
}

// Ping is the message of a probe or a push. It holds the status and loads of the
// sender and updates about other hosts.
type Ping struct {
	_     struct{} `cbor:",toarray"`
	Self  Status
	Loads Loads
	// Digest is a hash of the references and versions in the sender's table.
	Digest uint64
	// Count is the number of hosts that the sender knows and that are not
	// Gone.
	Count int
	// News are updates that do not need a whole Record.
	News    []Status
	Records []Record
	// Want requests the records of these hosts.
	Want []Ref
	// Buckets, if set, are the hashes of the sender's buckets. They request
	// the statuses in the buckets that differ at the receiver.
	Buckets []uint32
	// Target, if set, requests an indirect probe: the receiver pings this
	// address, at which the host TargetRef is expected.
	Target    string
	TargetRef Ref
}

// Ack is the answer to a Ping. Fields with the name of a field of Ping mean the
// same, except Buckets.
type Ack struct {
	_       struct{} `cbor:",toarray"`
	Self    Status
	Loads   Loads
	Digest  uint64
	Count   int
	News    []Status
	Records []Record
	Want    []Ref
	// Buckets are the indexes of the buckets whose statuses are all in News.
	Buckets []int
	// Reached reports whether TargetRef has answered at Target.
	Reached bool
}

// TargetAnswered reports whether answer, which came from the Target of p, is from
// the host TargetRef. Another host may have taken over the address.
func (p Ping) TargetAnswered(answer Ack) bool { return answer.Self.Ref == p.TargetRef }

// Transport sends pings to other hosts.
type Transport interface {
	// Ping sends p to the host at address, which is ip:port, and returns its
	// answer. The receiver answers with Group.Handle.
	Ping(ctx context.Context, address string, p Ping) (Ack, error)
}

// noTransport is a Transport that fails each ping.
type noTransport struct{}

// Ping implements Transport.
func (noTransport) Ping(context.Context, string, Ping) (Ack, error) {
	return Ack{}, cicadapitch.NewNotRun("no transport", cicadapitch.Second)
}
