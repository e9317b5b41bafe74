// This file checks that daemons break no response off, and close no connection without one.
//
// Inputs: each request and its response, as the caller saw them; its runs, as the replicas recorded what they wrote and how it
// ended; what links to replicas did to the connections; when configurations were sent and acknowledged, and daemons were
// signalled; what the run disturbed. All times are of one clock.
//
//  1. A request is broken off if its response began and is not complete, or if its connection closed without a response after
//     the request reached a replica, or more than Accept after its last byte was written. Requests whose callers disconnected
//     don't count, nor those that end after their deadline, which is the route's timeout too.
//  2. The daemon broke it off unless the replicas did. A run does not show a fault of the daemon if, when the response ended
//     or the daemon gave the run up before, the replica had broken it off or terminated, a fault of the run had killed
//     the daemon that had opened its connection, had reset its
//     connection or kept the request from it, or it had failed; or if the daemon gave it up for another run that was under way, or that began then and wrote
//     something. A run that the replica had completed counts as given up only if a link of the run held its bytes
//     when the daemon closed the connection. What kind of replica it is, and what it was meant to do, does not matter. A
//     silent replica is at work. Nor does a run at another software version than the one that the stream began at: its events
//     must not be passed on (check_versions.go).
//  3. The end of a graceful shutdown may break a request off (cutByShutdown).
//  4. Each request that an undisturbed daemon broke off is a violation, whether or not work was planned then. Around a
//     configuration, and around no signal, one that had used UsedShare of its time is none.
//  5. A daemon that breaks off more than Factor times the share of its requests around configurations that it breaks off at
//     other times is a violation. Around a configuration is from when it is sent until Configuration after it is acknowledged.
//  6. Kept connections that close without a response although the replica was sound are violations if there are more than the
//     tolerance, whatever disturbed the daemon, unless its process or its callers' link was interrupted.
//  7. A connection that closes without a response is a violation whatever the replica did, if the replica was undisturbed: the
//     daemon has to respond with an error.

package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// lossBounds are the bounds of the rules of broken responses.
type lossBounds struct {
	Accept        time.Duration // from the last byte of a request on, its connection may not close without a response
	HangUp        time.Duration // requests that are sent until so long after a SIGHUP are around it
	Configuration time.Duration // from its acknowledgement on, for which requests are around a configuration
	Factor        float64       // of the rates around configurations and at other times
	UsedShare     float64       // of a request's time
}

// lossRates counts requests of a daemon, and those of them that it broke off.
type lossRates struct{ around, others lossTally }

type lossTally struct{ broken, all int }

func (t lossTally) share() float64 { return share(t.broken, t.all) }

// lossCause is why a response did not end as complete.
type lossCause string

// The causes of responses that are broken off. What none of the others explains, the daemon did.
const (
	lossByDaemon   lossCause = "daemon"
	lossByOthers   lossCause = "replica" // or a fault of the run reset the connection to it
	lossAtDeadline lossCause = "deadline"
	lossAtShutdown lossCause = "shutdown"  // the end of a graceful one
	lossDisturbed  lossCause = "disturbed" // the daemon was
	lossLate       lossCause = "late"      // around a configuration, when the request had used most of its time
	lossByPrevious lossCause = "previous"  // a daemon of the previous build
)

// checkLoss reports a request that its daemon broke off, and counts it by its cause and for the rates around
// configurations.
func (j *checker) checkLoss(r *record) {
	a := r.answer
	if !r.disconnected.IsZero() {
		return
	}
	run, cause := j.lossCause(r)
	if cause != "" {
		j.losses[cause]++
	}
	if j.undisturbed(r.Daemon, r.Sent, a.At) && (cause == lossByDaemon || a.Complete) {
		j.countLoss(r, cause == lossByDaemon)
	}
	isKept := r.Kept && a.Status == 0 && len(r.runs) > 0
	switch {
	case cause == lossByDaemon, j.closedWithoutResponse(r):
		j.add("LOST", r, a.At, "%s", j.describeLoss(r, run))
	case cause == lossDisturbed && isKept && noneOverlaps(j.interruptions[r.Daemon], r.Sent, a.At):
		j.addTolerated("LOST", r, a.At, "%s", j.describeLoss(r, run))
	}
}

// lossCause returns why a request was broken off, or an empty cause if it was not, and the run that shows that its replica
// did not do it, if there is one.
func (j *checker) lossCause(r *record) (*Run, lossCause) {
	a := r.answer
	if !j.isBrokenOff(r) {
		return nil, ""
	}
	run, isLost := j.lostRun(r)
	switch {
	case a.At.After(r.Deadline):
		return run, lossAtDeadline
	case !isLost:
		return run, lossByOthers
	case j.cutByShutdown(r, run):
		return run, lossAtShutdown
	case j.runsPreviousBuild(r.by()):
		return run, lossByPrevious
	case !j.undisturbed(r.Daemon, r.Sent, a.At):
		return run, lossDisturbed
	case j.isLateAroundConfiguration(r):
		return run, lossLate
	}
	return run, lossByDaemon
}

// closedWithoutResponse reports whether the connection of a request that ran at an undisturbed replica closed without a
// response.
func (j *checker) closedWithoutResponse(r *record) bool {
	a := r.answer
	if a.Status != 0 || a.Err == nil || len(r.runs) == 0 || a.At.After(r.Deadline) || !j.undisturbed(r.Daemon, r.Sent, a.At) {
		return false
	}
	run := r.runs[len(r.runs)-1]
	return !j.cutByShutdown(r, run) && noneOverlaps(j.replicas[run.Replica], run.At.Add(-j.bounds.SyncTime), a.At)
}

// isBrokenOff reports whether a response began and is not complete, or the connection closed without one although the
// request had reached a replica, or had long been written.
func (j *checker) isBrokenOff(r *record) bool {
	a := r.answer
	switch {
	case a.Err == nil || a.Complete:
		return false
	case a.Status != 0 || len(r.arrivals)+len(r.runs) > 0:
		return true
	}
	return !a.Written.IsZero() && a.At.Sub(a.Written) > j.bounds.Loss.Accept
}

// lostRun reports whether no replica broke a request off, and returns the run that shows it, or nil if none ran it.
func (j *checker) lostRun(r *record) (*Run, bool) {
	for _, run := range slices.Backward(r.runs) {
		if j.showsLoss(r, run) {
			return run, true
		}
	}
	return nil, len(r.runs) == 0
}

// showsLoss reports whether a replica still had a run, or had completed it, when the daemon ended the response or gave the
// run up for nothing.
func (j *checker) showsLoss(r *record, run *Run) bool {
	end, reset := r.answer.At, r.answer.At
	if !run.Ended.IsZero() && run.Ended.Before(end) {
		end, reset = run.Ended, run.Ended
	}
	if run.Status != 0 {
		if reset = j.mayBeLostUntil(run); reset.After(r.answer.At) {
			reset = r.answer.At
		}
	}
	// A link of the run kept the request from a replica that it reached after the end.
	wasHeldUp := run.At.After(r.answer.At) && len(r.runs) > 1
	switch {
	case wasHeldUp, j.replicaBrokeOff(r, run), j.wasReset(run, reset), run.Status >= 300, j.ranAtOtherVersion(r, run):
		return false
	case run.Status != 0:
		closed, wasHeld := j.closedBeforeDelivery(run)
		return !wasHeld || !j.wasSuperseded(r, run, closed)
	}
	return !j.wasSuperseded(r, run, end)
}

// ranAtOtherVersion reports whether the replica of a run had another software version than the one at which the stream of the
// request began.
func (j *checker) ranAtOtherVersion(r *record, run *Run) bool {
	began, ok := j.versionOf(r.ID)
	if r.After > 0 {
		began, ok = j.versionOf(r.Resumes)
	}
	had := j.versionAt(run.Replica, run.At)
	return ok && had != "" && had != began
}

// minHeld is for how long nothing may have reached the daemon for a link to have held a response. It is less than the shortest
// time after which a daemon takes a replica for silent.
const minHeld = 200 * time.Millisecond

// closedBeforeDelivery returns when the daemon closed the connection of a run, and reports whether a link held what the replica
// wrote: not all of it had been delivered by then, and nothing within minHeld, but for what was on its way. Late bytes of earlier
// responses on the connection count as the run's.
func (j *checker) closedBeforeDelivery(run *Run) (closed time.Time, wasHeld bool) {
	c, ok := j.connection(run.Conn, run.At)
	if !ok || c.closed.IsZero() {
		return time.Time{}, false
	}
	from := c.closed.Add(-minHeld)
	if from.Before(run.At) {
		from = run.At
	}
	isArriving := c.bytesBetween(from, c.closed.Add(-readTime)) > 0
	return c.closed, !isArriving && c.bytesBetween(run.At, c.closed) < run.Written
}

// mayBeLostUntil returns until when the end of a connection may lose what the replica of a completed run wrote last: until
// shortly after it was written, or, if the link had not delivered all of it by then, until the connection was closed.
func (j *checker) mayBeLostUntil(run *Run) time.Time {
	until := run.Ended.Add(readTime)
	if closed, wasHeld := j.closedBeforeDelivery(run); wasHeld && closed.After(until) {
		return closed
	}
	return until
}

// replicaBrokeOff reports whether the replica broke a run off before the response ended, by its own record. A replica that
// terminates may lose what it wrote last.
func (j *checker) replicaBrokeOff(r *record, run *Run) bool {
	end := r.answer.At
	if !run.BrokeOff.IsZero() && !run.BrokeOff.After(end) {
		return true
	}
	return slices.ContainsFunc(j.replicaEnds[run.Replica], func(at time.Time) bool {
		inRun := run.Ended.IsZero() || at.Before(run.Ended) || run.Status != 0 && at.Before(j.mayBeLostUntil(run))
		return inRun && at.After(run.At) && !at.After(end)
	})
}

// wasReset reports whether a fault of the run reset the connection of a run until a time, or killed the daemon that had
// opened it. That may be another one than the request's, for a daemon without links to the replicas.
func (j *checker) wasReset(run *Run, until time.Time) bool {
	c, ok := j.connection(run.Conn, run.At)
	return ok && (!c.reset.IsZero() && !c.reset.After(until) || j.closedByKill(run, c, until))
}

// closedByKill reports whether a connection of a run ended because its daemon was killed, after the run began and until a
// time. A partition of the daemon that was killed keeps that end from the link until later.
func (j *checker) closedByKill(run *Run, c connRecord, until time.Time) bool {
	opener, ok := j.sources[c.source]
	return ok && slices.ContainsFunc(j.kills[opener], func(at time.Time) bool {
		return at.After(run.At) && !at.After(until) && (!c.closed.Before(at) || c.closed.IsZero() && j.isPartitioned(opener, at, 0))
	})
}

// wasSuperseded reports whether the daemon gave a run up at a time for another one: its replica was at work, or had begun
// to answer and broken off a moment ago, as the replica that is given up notices it later. One to which the daemon sent the
// request afterwards has to have written something.
func (j *checker) wasSuperseded(r *record, run *Run, at time.Time) bool {
	return slices.ContainsFunc(r.runs, func(other *Run) bool {
		if other == run || !at.Before(r.answer.At) {
			return false
		}
		if !other.At.Before(at) {
			return other.Written > 0 && other.At.Before(r.answer.At)
		}
		brokeOffJustNow := other.Written > 0 && other.Ended.After(at.Add(-readTime))
		return other.Ended.IsZero() || other.Ended.After(at) || brokeOffJustNow
	})
}

// The end of a graceful shutdown may cut a request that was sent within shutdownAcceptTime of its start if
// the replica is still running it in the last of the gracePeriodParts parts of the grace period.
const (
	shutdownAcceptTime = 3 * time.Second
	gracePeriodParts   = 6
)

// cutByShutdown reports whether the end of a graceful shutdown cut a request, which is allowed. run is nil if it reached no
// replica.
func (j *checker) cutByShutdown(r *record, run *Run) bool {
	at := r.answer.At
	// The cut itself stops the work, without a response, at about the moment that the caller observes.
	atWork := run != nil && (run.Ended.IsZero() || run.Status == 0 && run.Ended.After(at.Add(-settling)))
	return atWork && slices.ContainsFunc(j.shutdowns[r.Daemon], func(s span) bool {
		sinceStop := at.Sub(s.from)
		return r.Sent.Sub(s.from) <= shutdownAcceptTime && sinceStop >= gracePeriod*(gracePeriodParts-1)/gracePeriodParts && sinceStop <= gracePeriod+settling
	})
}

// isAroundConfiguration reports whether a configuration may come into force at a time.
func (j *checker) isAroundConfiguration(at time.Time) bool {
	return !noneOverlaps(j.configurations, at.Add(-j.bounds.Loss.Configuration), at)
}

// isAroundSignal reports whether a request ended around a SIGTERM or a SIGHUP of its daemon.
func (j *checker) isAroundSignal(r *record) bool {
	at := r.answer.At
	return !noneOverlaps(j.shutdowns[r.Daemon], at, at.Add(1)) || slices.ContainsFunc(j.hangUps[r.Daemon], func(hangUp time.Time) bool {
		return r.Sent.Sub(hangUp) <= j.bounds.Loss.HangUp && at.After(hangUp)
	})
}

// isLateAroundConfiguration reports whether a request ended around a configuration and no signal, when it had used most of
// its time.
func (j *checker) isLateAroundConfiguration(r *record) bool {
	used := float64(r.answer.At.Sub(r.Sent)) / float64(r.Deadline.Sub(r.Sent))
	return used >= j.bounds.Loss.UsedShare && j.isAroundConfiguration(r.answer.At) && !j.isAroundSignal(r)
}

// countLoss counts a request for the rates around configurations.
func (j *checker) countLoss(r *record, isLost bool) {
	rates := j.aroundConfigs[r.Daemon]
	if rates == nil {
		rates = &lossRates{}
		j.aroundConfigs[r.Daemon] = rates
	}
	tally := &rates.others
	if j.isAroundConfiguration(r.answer.At) {
		tally = &rates.around
	}
	tally.all++
	tally.broken += btoi(isLost)
}

// checkAroundConfigurations reports daemons that break off far more of their requests around configurations than at other
// times.
func (j *checker) checkAroundConfigurations() {
	for number, rates := range j.aroundConfigs {
		if rates.around.share() > j.bounds.Loss.Factor*rates.others.share() {
			j.out = append(j.out, Violation{
				Promise: "LOST", Subject: "d" + itoa(number) + " around configurations", At: j.now,
				Detail: fmt.Sprintf("broke off %d of %d requests around configurations, %d of %d at other times", rates.around.broken, rates.around.all, rates.others.broken, rates.others.all),
			})
		}
	}
}

// describeLoss says what is known of a request that was broken off. run is the one that shows it; nil: the last one, if any.
func (j *checker) describeLoss(r *record, run *Run) string {
	a := r.answer
	what := fmt.Sprintf("daemon %d broke off a response with status %d after %d bytes", r.Daemon, a.Status, len(a.Body))
	if a.Status == 0 {
		what = fmt.Sprintf("daemon %d closed the connection without a response", r.Daemon)
	}
	if r.Kept {
		what += ", on a kept connection"
	}
	if run == nil && len(r.runs) > 0 {
		run = r.runs[len(r.runs)-1]
	}
	return fmt.Sprintf("%s, %v after it was sent (%v): %s; before the end: %s, %s, %s", what, milliseconds(a.At.Sub(r.Sent)), a.Err, j.describeRun(run, a.At),
		describeLast("configuration", j.configurations, a.At), describeLast("SIGTERM", j.shutdowns[r.Daemon], a.At), describeLast("SIGHUP", instants(j.hangUps[r.Daemon]), a.At))
}

// describeRun describes a replica's record of a run until a time, and what its link knows of the connection.
func (j *checker) describeRun(run *Run, until time.Time) string {
	if run == nil {
		return "it reached no replica"
	}
	what := fmt.Sprintf("replica %s wrote %d bytes", run.Replica, run.Written)
	switch {
	case !run.BrokeOff.IsZero():
		what += ", broke off"
	case run.Ended.IsZero():
		what += ", is at work"
	default:
		what += fmt.Sprintf(", ended with status %d %s", run.Status, describeOffset(run.Ended, until))
	}
	last := run.LastWrite
	c, ok := j.connection(run.Conn, until)
	if ok {
		last = c.delivered
		what += ", connection from " + c.source
		if !c.closed.IsZero() {
			what += " closed " + describeOffset(c.closed, until)
		}
	}
	if last.IsZero() || last.Before(run.At) {
		last = run.At
	}
	return what + fmt.Sprintf(", nothing had arrived from it for %v", milliseconds(until.Sub(last)))
}

// describeRuns describes the runs of a request, and whether a fault of the run reset their connections.
func (j *checker) describeRuns(r *record) string {
	var runs []string
	for _, run := range r.runs {
		what := j.describeRun(run, r.answer.At)
		if c, ok := j.connection(run.Conn, run.At); ok && !c.reset.IsZero() {
			what += ", reset by the link " + describeOffset(c.reset, r.answer.At)
		}
		runs = append(runs, what)
	}
	return strings.Join(runs, "; ")
}

// describeOffset describes a time relative to the end of a response.
func describeOffset(at, end time.Time) string {
	if d := at.Sub(end); d > 0 {
		return milliseconds(d).String() + " after the end"
	}
	return milliseconds(end.Sub(at)).String() + " before the end"
}

// describeLast describes how long before a time the last of some periods began.
func describeLast(what string, list []span, until time.Time) string {
	var last time.Time
	for _, s := range list {
		if s.from.After(last) && !s.from.After(until) {
			last = s.from
		}
	}
	if last.IsZero() {
		return "no " + what
	}
	return fmt.Sprintf("%s %v", what, milliseconds(until.Sub(last)))
}

// instants returns times as periods without length.
func instants(times []time.Time) []span {
	out := make([]span, 0, len(times))
	for _, at := range times {
		out = append(out, span{at, at})
	}
	return out
}

func milliseconds(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// Losses returns how many responses were broken off, by cause, as of the last check.
func (l *Ledger) Losses() map[lossCause]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.losses)
}
