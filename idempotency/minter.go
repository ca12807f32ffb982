package idempotency

import (
	"crypto/subtle"

	"cicadapitch.example/cicadapitch"
)

// MaxMintTokens is the largest number of tokens that MintN returns.
const MaxMintTokens = 256

// Minter issues tokens for one incarnation of a host, and verifies the tokens
// of all hosts of the deployment. It is safe for concurrent use.
type Minter struct {
	host        cicadapitch.HostID
	incarnation cicadapitch.Incarnation
	address     string
	key         []byte
	clock       cicadapitch.Clock
}

// MinterOption configures a Minter.
type MinterOption func(*Minter)

// WithMinterClock sets the clock for Rights.MintedAt. It must be the clock of
// the Ledger of the same incarnation.
func WithMinterClock(clock cicadapitch.Clock) MinterOption {
	return func(m *Minter) { m.clock = clock }
}

// NewMinter returns a minter for an incarnation of a host. Address is the base
// URL at which callers reach the host. Key is the deployment's key, which signs
// the tokens.
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

// Host returns the host that the tokens name.
func (m *Minter) Host() cicadapitch.HostID { return m.host }

// Incarnation returns the incarnation that the tokens name.
func (m *Minter) Incarnation() cicadapitch.Incarnation { return m.incarnation }

// Mint returns a new token for the customer.
func (m *Minter) Mint(customer cicadapitch.CustomerID) cicadapitch.Token {
	return signedToken(m.key, Rights{
		Host:        m.host,
		Incarnation: m.incarnation,
		Address:     m.address,
		MintedAt:    m.clock.Now(),
		Nonce:       newNonce(),
	}, customer)
}

// MintN returns n new tokens for the customer, at most MaxMintTokens.
func (m *Minter) MintN(customer cicadapitch.CustomerID, n int) []cicadapitch.Token {
	tokens := make([]cicadapitch.Token, 0, min(n, MaxMintTokens))
	for len(tokens) < min(n, MaxMintTokens) {
		tokens = append(tokens, m.Mint(customer))
	}
	return tokens
}

// Verify checks that a host of the deployment issued the token to the customer,
// and returns the content of the token. A malformed token gives an Invalid
// error, a token of another customer or signed with another key a Denied error.
func (m *Minter) Verify(customer cicadapitch.CustomerID, token cicadapitch.Token) (Rights, error) {
	payload, mac, err := splitToken(token)
	if err != nil {
		return Rights{}, err
	}
	if subtle.ConstantTimeCompare(mac, sign(m.key, payload, customer)) != 1 {
		return Rights{}, cicadapitch.NewError(cicadapitch.Denied,
			"the token was not minted for this customer", "ask the directory for a token with the customer's own key")
	}
	return ParseUnverified(token)
}

// Minted reports whether this minter's incarnation issued the token.
func (m *Minter) Minted(r Rights) bool {
	return r.Host == m.host && r.Incarnation == m.incarnation
}
