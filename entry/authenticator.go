package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"cicadapitch.example/cicadapitch"
)

// noConfigurationRetryAfter is the time after which callers should retry at a host
// that has no configuration yet.
const noConfigurationRetryAfter cicadapitch.Millis = 500

// keyTable holds the key hashes of the customers of one configuration.
type keyTable struct {
	revision cicadapitch.Revision
	hashes   [][sha256.Size]byte
	ids      []cicadapitch.CustomerID
}

// authenticator finds the customer of a key.
type authenticator struct {
	configurations cicadapitch.ConfigurationSource
	table          atomic.Pointer[keyTable]
}

// authenticate returns the customer whose key is in an Authorization header. It
// compares the key with the key hash of every customer in constant time. Its errors
// are Denied, and Unavailable while the host has no configuration.
func (a *authenticator) authenticate(authorization string) (cicadapitch.CustomerID, error) {
	key, ok := strings.CutPrefix(authorization, "Bearer ")
	t := a.current()
	if t == nil {
		return "", noConfigurationError()
	}
	if !ok || key == "" {
		return "", deniedError()
	}
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range t.hashes {
		equal := subtle.ConstantTimeCompare(sum[:], t.hashes[i][:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 {
		return "", deniedError()
	}
	return t.ids[found], nil
}

// current returns the key table of the configuration in force, or nil if the host
// has no configuration.
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

// newKeyTable returns the key hashes of the customers that are in service. It skips
// malformed hashes.
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

// noConfigurationError returns the error of a host without a configuration. Its
// kind is not NotRun, because an earlier send of the request to another host may
// have run.
func noConfigurationError() error {
	return cicadapitch.NewError(cicadapitch.Unavailable,
		"the host has no configuration yet", "send the request to another host").WithRetryAfter(noConfigurationRetryAfter)
}

func deniedError() error {
	return cicadapitch.NewError(cicadapitch.Denied,
		"the key is missing or wrong", "send the customer's key as Authorization: Bearer <key>")
}
