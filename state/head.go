// This file defines the order of the versions of a published document. All
// daemons use the same order, so they converge on the same content.

package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Head identifies the content of a published document, such as the
// configuration file or the member list, by its version and the digest of its
// text.
type Head struct {
	Version uint64
	Digest  [sha256.Size]byte
}

// HeadOf returns the head of a document with the given version and text.
func HeadOf(version uint64, text []byte) Head {
	return Head{Version: version, Digest: sha256.Sum256(text)}
}

// Compare orders heads by version and then by digest. The result is negative if
// h is older than o, zero if both identify the same content, and positive
// otherwise.
func (h Head) Compare(o Head) int {
	switch {
	case h.Version < o.Version:
		return -1
	case h.Version > o.Version:
		return 1
	}
	return bytes.Compare(h.Digest[:], o.Digest[:])
}

// IsZero reports whether the head identifies no content.
func (h Head) IsZero() bool { return h == Head{} }

// String formats the head as "version@digest", with the digest truncated to 8
// hex digits.
func (h Head) String() string {
	return strconv.FormatUint(h.Version, 10) + "@" + hex.EncodeToString(h.Digest[:4])
}
