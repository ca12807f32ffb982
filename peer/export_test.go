package peer

import (
	"context"

	"github.com/coder/websocket"

	"cicadapitch.example/cicadapitch"
)

// DecodeFrames decodes a message and returns how many frames it holds.
func DecodeFrames(message []byte) (int, error) {
	frames, err := decodeFrames(message)
	return len(frames), err
}

// ClientHandshake performs the client's side of the handshake.
func ClientHandshake(ctx context.Context, ws *websocket.Conn, key []byte) error {
	return clientHandshake(ctx, ws, "raw", key)
}

// RequestFrame encodes a request frame with an integer as its body.
func RequestFrame(stream uint64, name string, body int) []byte {
	raw := must(cborEncoder.Marshal(body))
	return must(encodeFrame(frame{Kind: requestFrame, Stream: stream, Name: name, Body: raw}))
}

// UnknownVersionProof encodes a proof with an unknown protocol version.
func UnknownVersionProof() []byte {
	return must(cborEncoder.Marshal(proof{Version: 99, Nonce: newNonce()}))
}

// DecodeWelcomeError returns the error in an encoded welcome, or nil.
func DecodeWelcomeError(message []byte) *cicadapitch.Error {
	var w welcome
	if err := cborDecoder.Unmarshal(message, &w); err != nil {
		return nil
	}
	return w.Error
}

// Challenge encodes a challenge, the server's first message.
func Challenge() []byte {
	return must(cborEncoder.Marshal(challenge{Version: ProtocolVersion, Nonce: newNonce()}))
}

// ForgedWelcome encodes the welcome of a server that does not have the key.
func ForgedWelcome() []byte {
	return must(cborEncoder.Marshal(welcome{MAC: newNonce()}))
}
