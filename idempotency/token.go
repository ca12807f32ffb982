package idempotency

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"cicadapitch.example/cicadapitch"
	"github.com/fxamacker/cbor/v2"
)

const (
	macBytes      = 16
	nonceBytes    = 16
	maxTokenBytes = 1024
)

// Rights is the content of a token. It is only trustworthy if it comes from
// Minter.Verify.
type Rights struct {
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	// Address is the base URL at which callers reach the host.
	Address string
	// MintedAt is the time of issue by the clock of the host.
	MintedAt cicadapitch.Instant
	// Nonce is random and makes each token unique.
	Nonce []byte
}

// ParseUnverified decodes a token without checking its signature. Callers,
// which don't have the key, use it to find the host that issued the token. A
// malformed token gives an Invalid error.
func ParseUnverified(token cicadapitch.Token) (Rights, error) {
	payload, _, err := splitToken(token)
	if err != nil {
		return Rights{}, err
	}
	var r Rights
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return Rights{}, malformedToken()
	}
	if len(r.Nonce) != nonceBytes {
		return Rights{}, malformedToken()
	}
	return r, nil
}

// splitToken decodes a token into its CBOR payload and its message
// authentication code.
func splitToken(token cicadapitch.Token) (payload, mac []byte, err error) {
	if len(token) > maxTokenBytes {
		return nil, nil, malformedToken()
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(token))
	if err != nil || len(raw) <= macBytes {
		return nil, nil, malformedToken()
	}
	payloadLen := len(raw) - macBytes
	return raw[:payloadLen], raw[payloadLen:], nil
}

// signedToken returns the signed token with the given content.
func signedToken(key []byte, r Rights, customer cicadapitch.CustomerID) cicadapitch.Token {
	// Marshal never fails for a struct of numbers, strings and bytes.
	payload, _ := cbor.Marshal(r)
	raw := append(payload, sign(key, payload, customer)...)
	return cicadapitch.Token(base64.RawURLEncoding.EncodeToString(raw))
}

// sign returns a message authentication code for the payload and the customer.
// The payload is preceded by its length, so that bytes cannot be moved between
// the payload and the customer.
func sign(key, payload []byte, customer cicadapitch.CustomerID) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(payload))))
	h.Write(payload)
	h.Write([]byte(customer))
	return h.Sum(nil)[:macBytes]
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// Read never fails: the runtime ends the process if there is no entropy.
	_, _ = rand.Read(nonce)
	return nonce
}

func malformedToken() error {
	return cicadapitch.NewError(cicadapitch.Invalid, "the token is malformed", "ask the directory for a new token")
}
