package peer

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cicadapitch.example/cicadapitch"
)

// frame is a protocol message. A WebSocket message carries one or more frames
// as a CBOR sequence. The constants of frameKind describe the fields that each
// kind uses.
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

// frameOverheadBytes bounds the encoded size of a frame apart from its body and
// name.
const frameOverheadBytes cicadapitch.Bytes = 64

var (
	cborEncoder = must(cbor.EncOptions{}.EncMode())
	cborDecoder = must(cbor.DecOptions{MaxNestedLevels: 32, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func encodeFrame(f frame) ([]byte, error) {
	b, err := cborEncoder.Marshal(f)
	return b, cicadapitch.Wrap(err)
}

// decodeFrames returns the frames of a WebSocket message. If one of them is
// malformed, it returns an error and no frames.
func decodeFrames(message []byte) ([]frame, error) {
	var frames []frame
	for len(message) > 0 {
		var f frame
		rest, err := cborDecoder.UnmarshalFirst(message, &f)
		if err != nil {
			return nil, malformedError(err.Error())
		}
		if !f.Kind.IsAframeKind() {
			return nil, malformedError(fmt.Sprintf("unknown frame kind %d", f.Kind))
		}
		frames = append(frames, f)
		message = rest
	}
	return frames, nil
}

// malformedError returns the error of a message that does not follow the
// protocol.
func malformedError(reason string) error {
	return cicadapitch.NewError(cicadapitch.Invalid,
		"malformed peer message: "+reason, "run the same version on every host")
}

// checkSize returns an Invalid error if a frame with this name and body may take
// more than limit bytes.
func checkSize(name string, body cbor.RawMessage, limit cicadapitch.Bytes) error {
	size := cicadapitch.Bytes(len(body)+len(name)) + frameOverheadBytes
	if size <= limit {
		return nil
	}
	return cicadapitch.NewError(cicadapitch.Invalid,
		fmt.Sprintf("message of %d bytes is larger than %d", size, limit),
		"send less at once or raise the bound on every host")
}
