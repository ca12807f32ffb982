package claim

import (
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// Record is the value of a claim, which hangs on the owner's lease, and of the
// number, which stays when the lease has run out and never goes back.
type Record struct {
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	Fencing     cicadapitch.FencingNumber
}

func (r Record) ownedBy(c AcquireShards) bool {
	return r.Host == c.Host && r.Incarnation == c.Incarnation
}

const shardsPrefix = "shards/"

// keyPrefix returns what the keys of a shard begin with.
func shardPrefix(shard cicadapitch.ShardID) string {
	return shardsPrefix + url.PathEscape(string(shard)) + "/"
}

func claimKey(shard cicadapitch.ShardID) string   { return shardPrefix(shard) + "claim" }
func fencingKey(shard cicadapitch.ShardID) string { return shardPrefix(shard) + "number" }

// DecodeRecord returns the record that b holds in CBOR.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, cicadapitch.NewError(cicadapitch.Invalid, "broken claim: "+err.Error(), "delete the keys of the shard while no host runs")
	}
	return r, nil
}

// EncodeRecord returns r in CBOR.
func EncodeRecord(r Record) ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, cicadapitch.Wrap(err)
}
