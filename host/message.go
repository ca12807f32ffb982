package host

import (
	"context"

	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

// Ref names one incarnation of one host in 48 bits.
type Ref uint64

const refBits = 48

func refOf(m cicadapitch.Member) Ref {
	return Ref(xxh3.HashStringSeed(string(m.Host), uint64(m.Incarnation)) >> (64 - refBits))
}

// Status is the part of a record that changes often. It is meaningless to a
// receiver without the record of the same Shape.
type Status struct {
	_       struct{} `cbor:",toarray"`
	Ref     Ref
	Version uint64
	// Shape is the Version at which anything outside of Status and Loads
	// last changed.
	Shape    uint64
	State    cicadapitch.HostState
	Health   Health
	Revision cicadapitch.Revision
	StoreUp  bool
}

// Loads are the loads of the sender. They are not passed on to others.
type Loads struct {
	_       struct{} `cbor:",toarray"`
	Version uint64
	Running int
	// Shards follow the order of the sender's claims.
	Shards []Load
}

// Load is cicadapitch.ShardLoad on the wire.
type Load struct {
	_       struct{} `cbor:",toarray"`
	Free    cicadapitch.Slots
	Total   cicadapitch.Slots
	Queued  int
	Service cicadapitch.Millis
}

// Claim is cicadapitch.Claim without its load.
type Claim struct {
	_       struct{} `cbor:",toarray"`
	Shard   cicadapitch.ShardID
	Fencing cicadapitch.FencingNumber
}

// Record is a whole record of a host.
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

// Ping is what one host sends another.
type Ping struct {
	_      struct{} `cbor:",toarray"`
	Self   Status
	Loads  Loads
	Digest uint64
	// Count is how many hosts the sender knows.
	Count   int
	News    []Status
	Records []Record
	// Want asks for records.
	Want []Ref
	// Buckets asks for what differs, where it is set.
	Buckets []uint32
	// Target asks the receiver to ping that address in its turn, where
	// TargetRef is expected.
	Target    string
	TargetRef Ref
}

// Ack answers a Ping.
type Ack struct {
	_       struct{} `cbor:",toarray"`
	Self    Status
	Loads   Loads
	Digest  uint64
	Count   int
	News    []Status
	Records []Record
	Want    []Ref
	// Buckets are the indexes of those that News holds wholly.
	Buckets []int
	// Reached is true where TargetRef has answered at Target.
	Reached bool
}

// TargetAnswered reports whether the answer of the target of p is from the host that
// was expected. Another one may have taken over its address.
func (p Ping) TargetAnswered(answer Ack) bool { return answer.Self.Ref == p.TargetRef }

// Transport sends pings to other hosts.
type Transport interface {
	// Ping sends p to the host at address, which is ip:port, and returns its
	// answer. Group.Handle is the other end.
	Ping(ctx context.Context, address string, p Ping) (Ack, error)
}

// noTransport reaches nobody.
type noTransport struct{}

// Ping implements Transport.
func (noTransport) Ping(context.Context, string, Ping) (Ack, error) {
	return Ack{}, cicadapitch.NewNotRun("no transport", cicadapitch.Second)
}
