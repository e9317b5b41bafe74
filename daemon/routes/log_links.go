// This file writes the log lines about this daemon's own links to replicas.

package routes

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/coordination/routing"
)

// LinksLost logs that this daemon's own links to the replicas of a service are down.
func (l *Log) LinksLost(s routing.ServiceName, found time.Duration) {
	const text = "no replica of the service responds on connections of this daemon's own; others open them for it"
	l.timeline.Record(coordination.EventUpstreamState, string(s), "", text)
	l.metrics.LinksLost.Inc(1)
	l.logger.Warn().Str("service", string(s)).Int64("found_ms", found.Milliseconds()).Msg(prefixLinks + text)
}

// LinksRegained logs that they are up again.
func (l *Log) LinksRegained(s routing.ServiceName, after time.Duration) {
	const text = "replicas of the service respond again on connections of this daemon's own"
	l.timeline.Record(coordination.EventUpstreamState, string(s), "", text)
	l.logger.Info().Str("service", string(s)).Int64("after_ms", after.Milliseconds()).Msg(prefixLinks + text)
}

// Carries logs that this daemon opens connections to replicas for a peer.
func (l *Log) Carries(peer string) {
	l.logger.Info().Str("peer", peer).Msg(prefixLinks + "opening connections to replicas for a peer that has lost its own links to them")
}
