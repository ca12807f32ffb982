package quarantine

import (
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"
)

// maxKeyBytes bounds the key of a part, since callers choose the ids of parts.
const maxKeyBytes = 64

// requestKeyPrefix begins the keys of whole requests.
const requestKeyPrefix = "request:"

// Key returns the key under which a part is kept: its id, or the hash of a long one or of one
// that looks like the key of a whole request.
func Key(id string) string {
	if len(id) <= maxKeyBytes && !IsRequestKey(id) {
		return id
	}
	h := xxh3.HashString128(id)
	return fmt.Sprintf("hash:%016x%016x", h.Hi, h.Lo)
}

// RequestKey returns the key under which a whole request is kept: a hash of what repeats of
// the request share, such as its path and its caller, and of its body.
func RequestKey(body []byte, shared ...string) string {
	var h xxh3.Hasher
	var length [8]byte
	for _, s := range shared {
		// The lengths tell ("ab", "c") from ("a", "bc").
		binary.LittleEndian.PutUint64(length[:], uint64(len(s)))
		_, _ = h.Write(length[:]) // never fails
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(body)
	sum := h.Sum128()
	return fmt.Sprintf("%s%016x%016x", requestKeyPrefix, sum.Hi, sum.Lo)
}

// IsRequestKey reports whether a key is that of a whole request.
func IsRequestKey(key string) bool { return strings.HasPrefix(key, requestKeyPrefix) }
