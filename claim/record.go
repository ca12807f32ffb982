package claim

import (
	"net/url"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// Record is the value of the two keys of a shard. The claim key is bound to the
// owner's lease. The key of the fencing number has no lease and outlives it, so
// that the number never decreases.
type Record struct {
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	Fencing     cicadapitch.FencingNumber
}

// ownedBy reports whether the process that sends c wrote the record.
func (r Record) ownedBy(c AcquireShards) bool {
	return r.Host == c.Host && r.Incarnation == c.Incarnation
}

// shardsPrefix is the common prefix of the keys of all shards.
const shardsPrefix = "shards/"

// shardPrefix returns the common prefix of the keys of one shard.
func shardPrefix(shard cicadapitch.ShardID) string {
	return shardsPrefix + url.PathEscape(string(shard)) + "/"
}

func claimKey(shard cicadapitch.ShardID) string   { return shardPrefix(shard) + "claim" }
func fencingKey(shard cicadapitch.ShardID) string { return shardPrefix(shard) + "number" }

// DecodeRecord decodes a record from CBOR. The error for malformed data has the
// kind Invalid.
func DecodeRecord(b []byte) (Record, error) {
	var r Record
	if err := cbor.Unmarshal(b, &r); err != nil {
		return r, cicadapitch.NewError(cicadapitch.Invalid, "broken claim: "+err.Error(), "delete the keys of the shard while no host runs")
	}
	return r, nil
}

// EncodeRecord encodes a record as CBOR.
func EncodeRecord(r Record) ([]byte, error) {
	b, err := cbor.Marshal(r)
	return b, cicadapitch.Wrap(err)
}
