package idempotency_test

import (
	"testing"

	"cicadapitch.example/cicadapitch"
	"cicadapitch.example/cicadapitch/idempotency"
	"github.com/stretchr/testify/require"
)

func newMinter(opts ...idempotency.MinterOption) *idempotency.Minter {
	return idempotency.NewMinter("h1", 7, "http://127.0.0.1:1", []byte("key"), opts...)
}

func TestTokenNamesTheIssuingIncarnation(t *testing.T) {
	m := newMinter(idempotency.WithMinterClock(cicadapitch.NewManualClock(42)))
	token := m.Mint("club")
	r, err := m.Verify("club", token)
	require.NoError(t, err)
	require.True(t, m.Minted(r))
	require.Equal(t, "http://127.0.0.1:1", r.Address)
	require.Equal(t, cicadapitch.Instant(42), r.MintedAt)
	require.NotEqual(t, token, m.Mint("club"))
	require.Len(t, m.MintN("club", 2*idempotency.MaxMintTokens), idempotency.MaxMintTokens)
}

func TestTokenIsBoundToItsCustomerAndKey(t *testing.T) {
	m := newMinter()
	token := m.Mint("club")
	_, err := m.Verify("clu", token)
	require.Equal(t, cicadapitch.Denied, cicadapitch.KindOf(err))
	other := idempotency.NewMinter("h1", 7, "http://127.0.0.1:1", []byte("other key"))
	_, err = other.Verify("club", token)
	require.Equal(t, cicadapitch.Denied, cicadapitch.KindOf(err))
	for i := range token {
		changed := []byte(token)
		changed[i] ^= 1
		_, err := m.Verify("club", cicadapitch.Token(changed))
		require.Error(t, err, "byte %d", i)
	}
}

func FuzzVerify(f *testing.F) {
	m := newMinter()
	f.Add("")
	f.Add("AAAA")
	f.Add(string(m.Mint("club")))
	f.Add("_____________________________________w")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := m.Verify("other", cicadapitch.Token(text))
		if err == nil {
			t.Fatal("a token with a wrong signature was accepted")
		}
		if k := cicadapitch.KindOf(err); k != cicadapitch.Invalid && k != cicadapitch.Denied {
			t.Fatalf("kind %v", k)
		}
		_, _ = idempotency.ParseUnverified(cicadapitch.Token(text))
	})
}
