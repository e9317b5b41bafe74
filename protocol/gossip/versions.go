// This file encodes the history of software versions that a daemon sends along with documents. A daemon of an
// earlier build neither sends nor reads it.

package gossip

import (
	"time"

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
	LeftFor uint32 // in milliseconds
}

// EncodeVersions encodes a history of versions.
func EncodeVersions(r *routing.VersionReport) ([]byte, error) {
	return encode(&versionReportMessage{
		Position: positionMessage{Era: r.At.Era, Revision: r.At.Revision}, Complete: milliseconds(r.Complete),
		Versions: convert(r.Versions, func(u routing.UsedVersion) usedVersionMessage {
			return usedVersionMessage{Service: u.Service, Version: u.Version, LeftFor: milliseconds(u.LeftFor)}
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
		return routing.UsedVersion{Service: u.Service, Version: u.Version, LeftFor: time.Duration(u.LeftFor) * time.Millisecond}
	})
	return r, nil
}
