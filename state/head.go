// This file defines how contents of one published document are ordered. All
// daemons use the same order, so they end at the same content.

package state

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
)

// Head names one content of a published document: its version and the digest
// of its text. The operators' file and the member list both have one.
type Head struct {
	Version uint64
	Digest  [sha256.Size]byte
}

// HeadOf returns the head of a document's text.
func HeadOf(version uint64, text []byte) Head {
	return Head{Version: version, Digest: sha256.Sum256(text)}
}

// Compare orders heads by version and then by digest. The result is negative
// when h is older than o, zero when both name the same content.
func (h Head) Compare(o Head) int {
	switch {
	case h.Version < o.Version:
		return -1
	case h.Version > o.Version:
		return 1
	}
	return bytes.Compare(h.Digest[:], o.Digest[:])
}

// IsZero reports whether the head names no content.
func (h Head) IsZero() bool { return h == Head{} }

// String formats the head as "version@digest", the digest cut to 8 digits.
func (h Head) String() string {
	return strconv.FormatUint(h.Version, 10) + "@" + hex.EncodeToString(h.Digest[:4])
}
