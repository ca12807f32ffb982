package cicadapitch

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
)

// HashKey returns the SHA-256 of a customer's or operator's key in
// hexadecimal, as KeyHash fields hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// KeyMatches tells in constant time whether key has the hash.
func KeyMatches(hash, key string) bool {
	return subtle.ConstantTimeCompare([]byte(hash), []byte(HashKey(key))) == 1
}
