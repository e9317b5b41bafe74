// This file encodes the history of software versions that a daemon sends along with documents. A daemon of an
// earlier build neither sends nor reads it.
//
// How long a version has been known is a CBOR tag around LeftFor (tagged.go). The previous build does not tell it.

package gossip

import (
	"time"

	"github.com/rotisserie/eris"

	"hingewinch.org/hingewinch/coordination/routing"
)

type versionReportMessage struct {
	_        struct{} `cbor:",toarray"`
	Position positionMessage
	Complete uint32 // in milliseconds
	Versions []usedVersionMessage
}

type usedVersionMessage struct {
	_       struct{} `cbor:",toarray"`
	Service routing.ServiceName
	Version routing.VersionKey
	LeftFor leftForMessage
}

// maxKnownFor is the longest time that is told. Longer ones are cut to it: a version counts as established much sooner.
const maxKnownFor = 65_535 * time.Millisecond

// leftForMessage is the wire form of the time since a version left, and of that for which it has been known, in milliseconds.
type leftForMessage struct {
	LeftFor  uint32
	KnownFor uint32 // 0: not told
}

func newLeftForMessage(u *routing.UsedVersion) leftForMessage {
	m := leftForMessage{LeftFor: milliseconds(u.LeftFor)}
	if u.KnownFor > 0 {
		m.KnownFor = max(1, milliseconds(min(u.KnownFor, maxKnownFor)))
	}
	return m
}

// MarshalCBOR encodes the times.
func (m leftForMessage) MarshalCBOR() ([]byte, error) {
	return marshalTagged(m.LeftFor, knownTag, uint64(m.KnownFor))
}

// UnmarshalCBOR decodes the times. Tags of other meanings are ignored.
func (m *leftForMessage) UnmarshalCBOR(payload []byte) error {
	*m = leftForMessage{}
	known, err := unmarshalTagged(payload, &m.LeftFor, knownTag, uint64(maxKnownFor.Milliseconds()))
	m.KnownFor = uint32(known)
	return eris.Wrap(err, "decode time since a version left")
}

// EncodeVersions encodes a history of versions.
func EncodeVersions(r *routing.VersionReport) ([]byte, error) {
	return encode(&versionReportMessage{
		Position: positionMessage{Era: r.At.Era, Revision: r.At.Revision}, Complete: milliseconds(r.Complete),
		Versions: convert(r.Versions, func(u routing.UsedVersion) usedVersionMessage {
			return usedVersionMessage{Service: u.Service, Version: u.Version, LeftFor: newLeftForMessage(&u)}
		}),
	})
}

// DecodeVersions decodes a history of versions.
func DecodeVersions(payload []byte) (*routing.VersionReport, error) {
	var m versionReportMessage
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	r := &routing.VersionReport{Complete: time.Duration(m.Complete) * time.Millisecond}
	r.At.Era, r.At.Revision = m.Position.Era, m.Position.Revision
	r.Versions = convert(m.Versions, func(u usedVersionMessage) routing.UsedVersion {
		return routing.UsedVersion{
			Service: u.Service, Version: u.Version,
			LeftFor: time.Duration(u.LeftFor.LeftFor) * time.Millisecond, KnownFor: time.Duration(u.LeftFor.KnownFor) * time.Millisecond,
		}
	})
	return r, nil
}
