// This file binds streams to the software version that began them, and records where they began, so that
// other daemons can resume them. coordination/routing has the rules (versions.go, origins.go).

package relay

import (
	"context"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// Origins records and finds the software versions at which streams began. It is safe for concurrent use.
type Origins interface {
	// OnlyVersion returns the only software version that the replicas of a service have had for as long as a
	// stream can last. It returns false if there were several, or if this daemon can't know.
	OnlyVersion(s routing.ServiceName) (routing.VersionKey, bool)
	// AwaitOnlyVersion is OnlyVersion, and waits for a short time if what this daemon knows of versions was not confirmed lately.
	AwaitOnlyVersion(ctx context.Context, s routing.ServiceName) (routing.VersionKey, bool)
	// AwaitDocuments waits for a short time for documents that other daemons are known to have and this one lacks: they
	// may name another version.
	AwaitDocuments(ctx context.Context)
	// Record records the origin of a stream at the daemons that hold it, also if the stream's caller is gone. It does not wait
	// for them.
	Record(o routing.StreamOrigin)
	// Completed says that a caller has the whole of a recorded stream: its record is of no use any more.
	Completed(s routing.StreamKey)
	// Find returns the record of where a stream began, or false if none is found.
	Find(ctx context.Context, s routing.StreamKey) (OriginRecord, bool)
	// DocumentAges returns the current ages of the daemon's documents.
	DocumentAges() DocumentAges
}

// stream returns the key of the call's stream: that of the request that brought its first event.
func (c *Call) stream() routing.StreamKey {
	if c.LastEventID != "" {
		return routing.NewStreamKey(c.Workspace, c.Resumes)
	}
	return routing.NewStreamKey(c.Workspace, c.ID)
}

// bindResumed binds a stream that its caller resumes to the software version that began it. It returns
// false, and sets the outcome, if that version is not known.
func (s *activeCall) bindResumed(ctx context.Context) bool {
	if s.Origins == nil || s.call.LastEventID == "" || s.call.Route.Kind != routing.Stream {
		return true
	}
	asked := clock.Now()
	s.Origins.AwaitDocuments(ctx)
	defer func() { s.summary.OriginWait = clock.Since(asked) }()
	if s.call.Former != "" {
		if r, ok := s.findRecord(ctx); ok || !r.Denied {
			return s.bindAfterChange(&r, ok)
		}
		s.call.Service = s.call.Former
	}
	if v, ok := s.Origins.OnlyVersion(s.call.Service); ok {
		s.bindToOnly(v)
		return true
	}
	if r, ok := s.findRecord(ctx); ok {
		s.bindToRecord(&r)
		return true
	}
	if v, ok := s.Origins.AwaitOnlyVersion(ctx, s.call.Service); ok {
		s.bindToOnly(v)
		return true
	}
	return s.refuseUnknown()
}

// refuseUnknown records that the version of a stream that its caller resumes is not known, and returns false.
func (s *activeCall) refuseUnknown() bool {
	s.recordBinding(Binding{By: OriginUnknown})
	s.attempts.RecordUnknownOrigin()
	return false
}

// bindAfterChange selects the service of a stream that its caller resumes after its route's split has changed, by its record if
// there is one (coordination/routing/split.go). It returns false if no holder of the record was heard: the
// stream may have begun after the change.
func (s *activeCall) bindAfterChange(r *OriginRecord, ok bool) bool {
	if !ok {
		return s.refuseUnknown()
	}
	s.call.Service = s.serviceOf(r.Version)
	s.bindToRecord(r)
	return true
}

// serviceOf returns the service whose replicas have the version of a record: that of the call, or another one of the route's
// split, which may have changed several times since the stream began. If none has it, it returns the former one.
func (s *activeCall) serviceOf(v routing.VersionKey) routing.ServiceName {
	if s.View().HasVersion(s.call.Service, v) {
		return s.call.Service
	}
	for _, share := range s.call.Route.Shares {
		if share.Weight > 0 && s.View().HasVersion(share.Service, v) {
			return share.Service
		}
	}
	return s.call.Former
}

// bindToRecord binds a stream that its caller resumes to the version of its record.
func (s *activeCall) bindToRecord(r *OriginRecord) {
	s.tried.Version = r.Version
	s.recordBinding(Binding{By: r.source(), Version: r.Version, Holder: r.Holder})
}

// bindToOnly binds a stream that its caller resumes to the only version of its service.
func (s *activeCall) bindToOnly(v routing.VersionKey) {
	s.tried.Version = v
	s.recordBinding(Binding{By: OriginOnlyVersion, Version: v})
}

// bind binds the stream to the software version of the replica that sent its first event, unless it is
// bound.
func (s *activeCall) bind(r *routing.Replica) {
	switch {
	case s.tried.Version != 0:
	case s.startedInDoubt != nil:
		s.tried.BindUncertain()
	default:
		s.tried.Version = s.Placer.VersionAt(r, clock.Now())
	}
}

// recordOrigin records where the stream began, once, unless its service is known to have only one version and its route's split
// is known to have selected the same service before. It is called before each event is
// forwarded, since the second version may appear after the first event.
func (s *activeCall) recordOrigin() {
	if s.originRecorded || s.startedInDoubt != nil || s.Origins == nil || !s.call.Route.MayRunAgain() {
		return
	}
	_, only := s.Origins.OnlyVersion(s.call.Service)
	if only && s.call.Former == "" && !s.View().Table.LacksSplits(s.call.Route, clock.Now()) {
		return
	}
	s.originRecorded = true
	s.sendOrigin(s.tried.Version)
}

// endRecord says that the stream is complete, if this daemon recorded where it began.
func (s *activeCall) endRecord() {
	if s.completed && s.originRecorded {
		s.Origins.Completed(s.call.stream())
	}
}

// recordInterrupted records where a stream began that is broken off after its first event, whatever versions its service is
// known to have: its caller may resume it at a daemon that knows of a second one, when nothing of it passes here any more.
func (s *activeCall) recordInterrupted() {
	if s.originRecorded || s.Origins == nil || s.completed || s.events == nil || s.events.forwarded.count == 0 || !s.call.Route.MayRunAgain() {
		return
	}
	s.originRecorded = true
	if s.startedInDoubt != nil {
		go s.recordOnceKnown(s.startedInDoubt)
		return
	}
	s.sendOrigin(s.tried.Version)
}

func (s *activeCall) sendOrigin(v routing.VersionKey) {
	if key := s.call.stream(); key != 0 {
		s.Origins.Record(routing.NewStreamOrigin(key, v, clock.Until(s.call.Deadline)))
	}
}
