package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// frame is one message of a connection. A WebSocket message carries one or
// more of them as a CBOR sequence.
type frame struct {
	_      struct{} `cbor:",toarray"`
	Kind   frameKind
	Stream uint64
	Number uint64
	Credit uint64
	Name   string
	Body   cbor.RawMessage
	Error  *cicadapitch.Error
}

// frameOverheadBytes bounds what a frame adds to its body and name.
const frameOverheadBytes cicadapitch.Bytes = 64

var (
	encoding = must(cbor.EncOptions{}.EncMode())
	decoding = must(cbor.DecOptions{MaxNestedLevels: 32, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func encodeFrame(f frame) ([]byte, error) {
	b, err := encoding.Marshal(f)
	return b, cicadapitch.Wrap(err)
}

// decodeFrames returns the frames of a message. It refuses the whole message
// if one of them is malformed.
func decodeFrames(message []byte) ([]frame, error) {
	var frames []frame
	for len(message) > 0 {
		var f frame
		rest, err := decoding.UnmarshalFirst(message, &f)
		if err != nil {
			return nil, malformed(err.Error())
		}
		if !f.Kind.IsAframeKind() {
			return nil, malformed(fmt.Sprintf("unknown frame kind %d", f.Kind))
		}
		frames = append(frames, f)
		message = rest
	}
	return frames, nil
}

func malformed(reason string) error {
	return cicadapitch.NewError(cicadapitch.Invalid,
		"malformed peer message: "+reason, "run the same version on every host")
}

// checkSize refuses a message that the other side would refuse.
func checkSize(name string, body cbor.RawMessage, limit cicadapitch.Bytes) error {
	size := cicadapitch.Bytes(len(body)+len(name)) + frameOverheadBytes
	if size <= limit {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid,
		fmt.Sprintf("message of %d bytes is larger than %d", size, limit),
		"send less at once or raise the bound on every host")
}
