package cicadapitch

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hexadecimal SHA-256 of a customer's or operator's key, the
// value of the KeyHash fields.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
