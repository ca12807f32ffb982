package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// startingRetryAfter is when callers come back to a host that has just started.
const startingRetryAfter cicadapitch.Millis = 500

// keyTable holds the key hashes of the customers of one configuration.
type keyTable struct {
	revision cicadapitch.Revision
	hashes   [][sha256.Size]byte
	ids      []cicadapitch.CustomerID
}

// authenticator finds the customer of a key.
type authenticator struct {
	configurations cicadapitch.Configurations
	table          atomic.Pointer[keyTable]
}

// customer returns the customer whose key an Authorization header brings. It
// compares the key with that of every customer in constant time.
func (a *authenticator) customer(authorization string) (cicadapitch.CustomerID, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	t := a.current()
	if t == nil {
		return "", unavailable()
	}
	if !ok || key == "" {
		return "", denied()
	}
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range t.hashes {
		equal := subtle.ConstantTimeCompare(sum[:], t.hashes[i][:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", denied()
	}
	return t.ids[found], nil
}

func (a *authenticator) current() *keyTable {
	cfg := a.configurations.Current()
	if cfg == nil {
		return nil
	}
	t := a.table.Load()
	if t == nil || t.revision != cfg.Revision {
		t = newKeyTable(cfg)
		a.table.Store(t)
	}
	return t
}

func newKeyTable(cfg *cicadapitch.Configuration) *keyTable {
	t := &keyTable{revision: cfg.Revision}
	for _, c := range cfg.Customers {
		raw, err := hex.DecodeString(c.KeyHash)
		if err != nil || len(raw) != sha256.Size || c.Out {
			continue
		}
		t.hashes = append(t.hashes, [sha256.Size]byte(raw))
		t.ids = append(t.ids, c.ID)
	}
	return t
}

// unavailable is not NotRun, because an earlier sending to another host may have
// run.
func unavailable() error {
	return cicadapitch.NewError(cicadapitch.Unavailable,
		"the host has no configuration yet", "send the request to another host").WithRetryAfter(startingRetryAfter)
}

func denied() error {
	return cicadapitch.NewError(cicadapitch.Denied,
		"the key is missing or wrong", "send the customer's key as Authorization: Bearer <key>")
}
