package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/coder/websocket"

	"cicadapitch.example/cicadapitch"
)

const (
	nonceBytes        = 32
	maxHandshakeBytes = 1 << 10
	maxHostIDBytes    = 255
	// The labels make the proofs of client and server differ, so that a proof
	// cannot be sent back to the side that made it.
	clientLabel        = "cicadapitch peer client"
	serverLabel        = "cicadapitch peer server"
	wrongKeyRemedy     = "give both hosts the same deployment key"
	wrongVersionRemedy = "run the same version on both hosts"
)

// challenge is the server's first message of the handshake.
type challenge struct {
	Version int
	Nonce   []byte
}

// proof is the client's only message of the handshake. MAC proves that the
// client has the key.
type proof struct {
	Version int
	Host    cicadapitch.HostID
	Nonce   []byte
	MAC     []byte
}

// welcome is the server's second message: the MAC that proves that the server
// has the key, or the error with which it rejects the client.
type welcome struct {
	MAC   []byte
	Error *cicadapitch.Error
}

// transcript holds the values of a handshake that both MACs are computed over.
type transcript struct {
	version     int
	host        cicadapitch.HostID
	serverNonce []byte
	clientNonce []byte
}

// mac returns the HMAC-SHA-256 of the label and the transcript.
func (t transcript) mac(key []byte, label string) []byte {
	h := hmac.New(sha256.New, key)
	for _, part := range [][]byte{
		[]byte(label),
		binary.BigEndian.AppendUint64(nil, uint64(t.version)),
		[]byte(t.host),
		t.serverNonce,
		t.clientNonce,
	} {
		// The length prefix prevents shifting bytes between adjacent parts.
		h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		h.Write(part)
	}
	return h.Sum(nil)
}

// serverHandshake authenticates a client and proves the key to it. It returns
// the host id that the client presents.
func serverHandshake(ctx context.Context, ws *websocket.Conn, key []byte) (cicadapitch.HostID, error) {
	nonce := newNonce()
	if err := writeMessage(ctx, ws, challenge{Version: ProtocolVersion, Nonce: nonce}); err != nil {
		return "", err
	}
	var p proof
	if err := readMessage(ctx, ws, &p); err != nil {
		return "", err
	}
	t := transcript{version: p.Version, host: p.Host, serverNonce: nonce, clientNonce: p.Nonce}
	if refusal := checkProof(p, t, key); refusal != nil {
		_ = writeMessage(ctx, ws, welcome{Error: refusal})
		return "", refusal
	}
	return p.Host, writeMessage(ctx, ws, welcome{MAC: t.mac(key, serverLabel)})
}

// checkProof returns the error with which the server rejects a client, or nil.
func checkProof(p proof, t transcript, key []byte) *cicadapitch.Error {
	switch {
	case p.Version != ProtocolVersion:
		return versionError(p.Version)
	case len(p.Nonce) != nonceBytes || len(p.Host) > maxHostIDBytes:
		return cicadapitch.NewError(cicadapitch.Invalid, "malformed handshake", wrongVersionRemedy)
	case !hmac.Equal(p.MAC, t.mac(key, clientLabel)):
		return cicadapitch.NewError(cicadapitch.Denied, "the peer does not prove the deployment key", wrongKeyRemedy)
	}
	return nil
}

// clientHandshake proves the key to a server and authenticates the server.
func clientHandshake(ctx context.Context, ws *websocket.Conn, self cicadapitch.HostID, key []byte) error {
	var c challenge
	if err := readMessage(ctx, ws, &c); err != nil {
		return err
	}
	if c.Version != ProtocolVersion {
		return versionError(c.Version)
	}
	if len(c.Nonce) != nonceBytes {
		return cicadapitch.NewError(cicadapitch.Invalid, "malformed handshake", wrongVersionRemedy)
	}
	nonce := newNonce()
	t := transcript{version: ProtocolVersion, host: self, serverNonce: c.Nonce, clientNonce: nonce}
	p := proof{Version: ProtocolVersion, Host: self, Nonce: nonce, MAC: t.mac(key, clientLabel)}
	if err := writeMessage(ctx, ws, p); err != nil {
		return err
	}
	var w welcome
	if err := readMessage(ctx, ws, &w); err != nil {
		return err
	}
	return checkWelcome(w, t, key)
}

// checkWelcome returns the server's error, or an error if the server does not
// prove the key.
func checkWelcome(w welcome, t transcript, key []byte) error {
	if w.Error != nil {
		return w.Error
	}
	if !hmac.Equal(w.MAC, t.mac(key, serverLabel)) {
		return cicadapitch.NewError(cicadapitch.Denied, "the server does not prove the deployment key", wrongKeyRemedy)
	}
	return nil
}

func versionError(version int) *cicadapitch.Error {
	return cicadapitch.NewError(cicadapitch.Invalid,
		fmt.Sprintf("unknown protocol version %d, this host speaks %d", version, ProtocolVersion),
		wrongVersionRemedy)
}

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b) // rand.Read never returns an error.
	return b
}

func writeMessage(ctx context.Context, ws *websocket.Conn, v any) error {
	b, err := cborEncoder.Marshal(v)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	return cicadapitch.Wrap(ws.Write(ctx, websocket.MessageBinary, b))
}

func readMessage(ctx context.Context, ws *websocket.Conn, v any) error {
	_, b, err := ws.Read(ctx)
	if err != nil {
		return cicadapitch.Wrap(err)
	}
	if err := cborDecoder.Unmarshal(b, v); err != nil {
		return malformedError(err.Error())
	}
	return nil
}
