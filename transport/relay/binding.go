// This file describes, for logs and metrics, by which knowledge a stream that its caller resumes was bound to a software
// version. resume.go binds it.

package relay

import (
	"context"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
)

// OriginSource is the knowledge by which a resumed stream was bound to a software version.
type OriginSource string

// The sources. A stream that is not resumed by its caller has none.
const (
	OriginOnlyVersion OriginSource = "only_version" // the service is known to have only one
	OriginOwnRecord   OriginSource = "own_record"   // this daemon holds the stream's origin
	OriginHolder      OriginSource = "holder"       // another daemon does
	OriginUnknown     OriginSource = "unknown"      // none is known to: the stream is refused
)

// UnknownAge is the age of documents that there are not, or that were never known to be current.
const UnknownAge time.Duration = -time.Millisecond

// NoEvent stands for the id of an event that there is not.
const NoEvent int64 = -1

// Binding describes how a stream that its caller resumes was bound to a software version. It is the zero value for other
// requests.
type Binding struct {
	By      OriginSource
	Version routing.VersionKey // 0: not bound
	Holder  routing.PeerID     // that replied, if the source is OriginHolder
	Ages    DocumentAges       // when the stream was bound
}

// DocumentAges says how old the documents are from which a daemon knows software versions.
type DocumentAges struct {
	Confirmed time.Duration // since they were last known to be current
	Read      time.Duration // since a read of the store, by any daemon, last showed that
	Changed   time.Duration // since they last changed at this daemon
}

// OriginRecord is a record of the version at which a stream began.
type OriginRecord struct {
	Version routing.VersionKey
	Holder  routing.PeerID // the daemon that holds it; empty: this one
	// Denied says of a stream of which no record was found that some holder replied. One that was killed does not, and would
	// cost the callers of unrecorded streams theirs.
	Denied bool
}

// source returns the source of a stream's version that the record names.
func (r *OriginRecord) source() OriginSource {
	if r.Holder == "" {
		return OriginOwnRecord
	}
	return OriginHolder
}

// findRecord looks for the record of where the call's stream began.
func (s *activeCall) findRecord(ctx context.Context) (OriginRecord, bool) {
	key := s.call.stream()
	if key == 0 {
		return OriginRecord{Denied: true}, false
	}
	return s.Origins.Find(ctx, key)
}

// recordBinding records in the summary how the call's stream was bound.
func (s *activeCall) recordBinding(b Binding) {
	b.Ages = s.Origins.DocumentAges()
	s.summary.Binding = b
}
