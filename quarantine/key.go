package quarantine

import (
	"fmt"

	"github.com/zeebo/xxh3"
)

// maxKeyBytes bounds the key of a part, since callers choose the ids of parts.
const maxKeyBytes = 64

// Key returns the key under which a part is kept: its id, or the hash of a long one.
func Key(id string) string {
	if len(id) <= maxKeyBytes {
		return id
	}
	h := xxh3.HashString128(id)
	return fmt.Sprintf("hash:%016x%016x", h.Hi, h.Lo)
}
