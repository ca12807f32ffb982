package booking

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

// Rights is what a token says about itself. Only Minter.Verify proves it.
type Rights struct {
	Host        cicadapitch.HostID
	Incarnation cicadapitch.Incarnation
	// Address is the base URL for callers of the minting host.
	Address  string
	MintedAt cicadapitch.Instant
	Nonce    []byte
}

// ParseUnverified reads a token without proving it. Callers use it to find the host
// that minted the token. A malformed token gives an Invalid error.
func ParseUnverified(token cicadapitch.Token) (Rights, error) {
	payload, _, err := split(token)
	if err != nil {
		return Rights{}, err
	}
	var r Rights
	if err := cbor.Unmarshal(payload, &r); err != nil {
		return Rights{}, malformed()
	}
	if len(r.Nonce) != nonceBytes {
		return Rights{}, malformed()
	}
	return r, nil
}

func split(token cicadapitch.Token) (payload, mac []byte, err error) {
	if len(token) > maxTokenBytes {
		return nil, nil, malformed()
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(token))
	if err != nil || len(raw) <= macBytes {
		return nil, nil, malformed()
	}
	cut := len(raw) - macBytes
	return raw[:cut], raw[cut:], nil
}

func seal(key []byte, r Rights, customer cicadapitch.CustomerID) cicadapitch.Token {
	// Marshal never fails for a struct of numbers, strings and bytes.
	payload, _ := cbor.Marshal(r)
	raw := append(payload, sign(key, payload, customer)...)
	return cicadapitch.Token(base64.RawURLEncoding.EncodeToString(raw))
}

// sign binds the payload to the customer. The length of the payload goes first,
// so that no bytes can move between the two.
func sign(key, payload []byte, customer cicadapitch.CustomerID) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(payload))))
	h.Write(payload)
	h.Write([]byte(customer))
	return h.Sum(nil)[:macBytes]
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	// Read never fails: the runtime ends the process where no entropy is left.
	_, _ = rand.Read(nonce)
	return nonce
}

func malformed() error {
	return cicadapitch.NewError(cicadapitch.Invalid, "the token is malformed", "ask the directory for a new token")
}
