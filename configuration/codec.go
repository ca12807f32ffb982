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

// Checksum is a hash of a configuration in its encoded form.
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

// Encode returns cfg in CBOR. The same configuration always gives the same
// bytes. It refuses a configuration that the store could not hold.
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

// Decode returns the configuration that b holds in CBOR.
func Decode(b []byte) (*cicadapitch.Configuration, error) {
	var cfg cicadapitch.Configuration
	if err := unmarshal(b, &cfg); err != nil {
		return nil, err
	}
	return &cfg, nil
}

func unmarshal(b []byte, v any) error {
	return unmarshalUpTo(cicadapitch.MaxValueBytes, b, v)
}

func unmarshalUpTo(limit cicadapitch.Bytes, b []byte, v any) error {
	if cicadapitch.Bytes(len(b)) > limit {
		return cicadapitch.NewError(cicadapitch.Invalid, "more CBOR than the limit allows", "check who wrote it")
	}
	if err := decMode.Unmarshal(b, v); err != nil {
		return cicadapitch.NewError(cicadapitch.Invalid, "broken CBOR: "+err.Error(), "check who wrote it")
	}
	return nil
}

func clone(cfg *cicadapitch.Configuration) (*cicadapitch.Configuration, error) {
	b, err := Encode(cfg)
	if err != nil {
		return nil, err
	}
	return Decode(b)
}

func checksum(encoded []byte) Checksum { return Checksum(xxh3.Hash(encoded)) }
