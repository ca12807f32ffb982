package cicadapitch

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the SHA-256 of a customer's or operator's key in
// hexadecimal, as KeyHash fields hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
