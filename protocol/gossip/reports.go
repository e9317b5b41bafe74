// This file has the encoding that all report datagrams share. Reports are separate from
// heartbeats, whose fields are fixed: a daemon of an earlier build drops kinds of datagrams
// that it does not know.

package gossip

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// reportKind identifies the kind of reports in a datagram.
type reportKind uint8

const (
	kindSilences         reportKind = 1
	kindOverloads        reportKind = 2
	kindCrashes          reportKind = 3
	kindDepartures       reportKind = 4
	kindLiveness         reportKind = 5
	kindTransferRequests reportKind = 6
	kindTransferGrants   reportKind = 7
	kindPermitRequests   reportKind = 8
	kindPermitReplies    reportKind = 9
	kindSaturations      reportKind = 10
	kindOrigins          reportKind = 11
	kindOriginRequests   reportKind = 12
	kindOriginReplies    reportKind = 13
	kindPartCrashes      reportKind = 14
	kindBrittle          reportKind = 15
)

// kindNames are the names of the kinds as shown to operators.
var kindNames = map[reportKind]string{
	kindSilences: "silences", kindOverloads: "crowds", kindCrashes: "crashes", kindDepartures: "leavings", kindLiveness: "lives",
	kindTransferRequests: "loan_asks", kindTransferGrants: "loans",
	kindPermitRequests: "permit_requests", kindPermitReplies: "permit_replies", kindSaturations: "saturations",
	kindOrigins: "origins", kindOriginRequests: "origin_requests", kindOriginReplies: "origin_replies",
	kindPartCrashes: "part_crashes", kindBrittle: "brittle_services",
}

// Kinds returns the names of the kinds of reports that this build reads, ordered by their numbers.
func Kinds() []string {
	var out []string
	for _, kind := range slices.Sorted(maps.Keys(kindNames)) {
		out = append(out, kindNames[kind])
	}
	return out
}

// arrayOfTwo is the first byte of an encoded reportsMessage; the second byte is the kind, a
// small number. A heartbeat is a longer array and starts with another byte.
const arrayOfTwo = 0x82

type reportsMessage[M any] struct {
	_       struct{} `cbor:",toarray"`
	Kind    reportKind
	Reports []M
}

// encodeReports encodes reports of a kind, at most limit of them.
func encodeReports[R, M any](kind reportKind, limit int, reports []R, f func(R) M) ([]byte, error) {
	if len(reports) > limit {
		return nil, eris.Errorf("%d reports do not fit a datagram; send at most %d", len(reports), limit)
	}
	return encode(&reportsMessage[M]{Kind: kind, Reports: convert(reports, f)})
}

// isReports reports whether a datagram carries reports of a kind.
func isReports(payload []byte, kind reportKind) bool {
	return len(payload) > 1 && payload[0] == arrayOfTwo && payload[1] == byte(kind)
}

// decodeReports decodes a datagram of reports of a kind.
func decodeReports[R, M any](payload []byte, kind reportKind, f func(M) R) ([]R, error) {
	var m reportsMessage[M]
	if err := decode(payload, &m); err != nil {
		return nil, err
	}
	if m.Kind != kind {
		return nil, eris.Errorf("message of kind %d, want %d", m.Kind, kind)
	}
	return convert(m.Reports, f), nil
}

// milliseconds converts a duration to the 32-bit milliseconds of reports. It clamps at 0 and at
// the maximum, 49 days.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}
