// This file holds the first event of a stream back while the software version of its replica is new
// (coordination/routing/establishment.go, rule 6). Until an event has been passed on, no caller can resume the stream at a
// daemon that does not know the version. The replica goes on meanwhile, as far as the buffers of its connection reach.

package relay

import (
	"context"
	"errors"
	"time"

	"hingewinch.org/hingewinch/coordination/routing"
	"hingewinch.org/hingewinch/transport/clock"
)

// establishmentPoll is how often it is checked whether a version is established.
const establishmentPoll = 5 * time.Millisecond

var errNotEstablished = errors.New("the software version of the replica was still new at the deadline; a daemon may not know it")

// awaitEstablished waits until the call's stream may begin at the target of an attempt. It returns a failure if the attempt was given
// up, or its deadline passed, before that.
func (s *activeCall) awaitEstablished(ctx context.Context, x *exchange, t *routing.Target) *failure {
	if s.mayBegin(t) {
		return nil
	}
	begun := clock.Now()
	defer func() { s.summary.EstablishmentWait += clock.Since(begun) }()
	ctx, cancel := context.WithDeadline(ctx, clock.RuntimeTime(x.deadline))
	defer cancel()
	ticker := time.NewTicker(establishmentPoll)
	defer ticker.Stop()
	for !s.mayBegin(t) {
		select {
		case <-ctx.Done():
			return givenUp(errNotEstablished)
		case <-ticker.C:
		}
	}
	return nil
}

func (s *activeCall) mayBegin(t *routing.Target) bool {
	return s.View().MayBegin(&s.call.Request, &t.Replica, s.tried.Tried)
}
