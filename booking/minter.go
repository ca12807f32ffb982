package booking

import (
	"crypto/subtle"

	"cicadapitch.example/cicadapitch"
)

// MaxMintTokens is the largest number of tokens that one call mints.
const MaxMintTokens = 256

// Minter makes and proves the tokens of one incarnation of a host.
type Minter struct {
	host        cicadapitch.HostID
	incarnation cicadapitch.Incarnation
	address     string
	key         []byte
	clock       cicadapitch.Clock
}

// MinterOption changes a Minter.
type MinterOption func(*Minter)

// WithMinterClock sets the clock of the mint times. It must be the clock of
// the Ledger of the same incarnation.
func WithMinterClock(clock cicadapitch.Clock) MinterOption {
	return func(m *Minter) { m.clock = clock }
}

// NewMinter returns a minter for an incarnation of a host. Address is the base
// URL of the host for callers and key is the deployment's key.
func NewMinter(host cicadapitch.HostID, incarnation cicadapitch.Incarnation, address string, key []byte, opts ...MinterOption) *Minter {
	m := &Minter{
		host:        host,
		incarnation: incarnation,
		address:     address,
		key:         append([]byte(nil), key...),
		clock:       cicadapitch.NewSystemClock(),
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Host returns the host that the minter mints for.
func (m *Minter) Host() cicadapitch.HostID { return m.host }

// Incarnation returns the incarnation that the minter mints for.
func (m *Minter) Incarnation() cicadapitch.Incarnation { return m.incarnation }

// Mint returns a new token for the customer.
func (m *Minter) Mint(customer cicadapitch.CustomerID) cicadapitch.Token {
	return seal(m.key, Rights{
		Host:        m.host,
		Incarnation: m.incarnation,
		Address:     m.address,
		MintedAt:    m.clock.Now(),
		Nonce:       newNonce(),
	}, customer)
}

// MintN returns n new tokens for the customer, at most MaxBatch.
func (m *Minter) MintN(customer cicadapitch.CustomerID, n int) []cicadapitch.Token {
	tokens := make([]cicadapitch.Token, 0, min(n, MaxMintTokens))
	for len(tokens) < min(n, MaxMintTokens) {
		tokens = append(tokens, m.Mint(customer))
	}
	return tokens
}

// Verify proves that a host of the deployment minted the token for the
// customer. A malformed token gives an Invalid error, a token of another
// customer or another key a Denied error.
func (m *Minter) Verify(customer cicadapitch.CustomerID, token cicadapitch.Token) (Rights, error) {
	payload, mac, err := split(token)
	if err != nil {
		return Rights{}, err
	}
	if subtle.ConstantTimeCompare(mac, sign(m.key, payload, customer)) != 1 {
		return Rights{}, cicadapitch.NewError(cicadapitch.Denied,
			"the token was not minted for this customer", "ask the directory for a token with the customer's own key")
	}
	return ParseUnverified(token)
}

// Minted reports whether this minter's incarnation minted the token.
func (m *Minter) Minted(r Rights) bool {
	return r.Host == m.host && r.Incarnation == m.incarnation
}
