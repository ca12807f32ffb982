package configuration

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"cicadapitch.example/cicadapitch"
)

const (
	maxNestedLevels  = 16
	maxArrayElements = 1 << 16
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

// Checksum is the XXH3 hash of an encoded configuration.
type Checksum uint64

func mustEncMode() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  maxNestedLevels,
		MaxArrayElements: maxArrayElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// Encode returns cfg in deterministic CBOR: equal configurations give equal
// bytes. It returns an Invalid error if the result does not fit into one value of
// the store.
func Encode(cfg *cicadapitch.Configuration) ([]byte, error) {
	b, err := encMode.Marshal(cfg)
	if err != nil {
		return nil, cicadapitch.Wrap(err)
	}
	if cicadapitch.Bytes(len(b)) >= cicadapitch.MaxValueBytes {
		reason := fmt.Sprintf("the configuration takes %d bytes of at most %d", len(b), cicadapitch.MaxValueBytes-1)
		return nil, cicadapitch.NewError(cicadapitch.Invalid, reason, "shorten names or split the deployment")
	}
	return b, nil
}

// Decode decodes a configuration from CBOR. It returns an Invalid error if b is
// malformed or larger than cicadapitch.MaxValueBytes. It does not call Check.
func Decode(b []byte) (*cicadapitch.Configuration, error) {
	var cfg cicadapitch.Configuration
	if err := unmarshal(b, &cfg); err != nil {
		return nil, err
	}
	return &cfg, nil
}

// unmarshal decodes CBOR of at most cicadapitch.MaxValueBytes bytes into v. It
// returns an Invalid error if b is malformed or larger.
func unmarshal(b []byte, v any) error {
	return unmarshalLimited(cicadapitch.MaxValueBytes, b, v)
}

// unmarshalLimited decodes CBOR of at most limit bytes into v. It returns an Invalid
// error if b is malformed or larger.
func unmarshalLimited(limit cicadapitch.Bytes, b []byte, v any) error {
	if cicadapitch.Bytes(len(b)) > limit {
		return cicadapitch.NewError(cicadapitch.Invalid, "more CBOR than the limit allows", "check who wrote it")
	}
	if err := decMode.Unmarshal(b, v); err != nil {
		return cicadapitch.NewError(cicadapitch.Invalid, "broken CBOR: "+err.Error(), "check who wrote it")
	}
	return nil
}

// clone returns a deep copy of cfg.
func clone(cfg *cicadapitch.Configuration) (*cicadapitch.Configuration, error) {
	b, err := Encode(cfg)
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

func checksum(encoded []byte) Checksum { return Checksum(xxh3.Hash(encoded)) }
