// This file checks the guarantees against the ledger. Time bounds apply to daemons
// that are up to date: neither they nor the store were disturbed during the
// preceding SyncTime.

package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// bounds are the limits that the guarantees set.
type bounds struct {
	SyncTime      time.Duration // undisturbed time after which a daemon is up to date
	Apply         time.Duration // until a configuration is in force
	Drain         time.Duration // until a draining replica gets no more requests
	Cancel        time.Duration // until the work for a caller that disconnected stops
	ResponseSlack time.Duration // how long after its deadline a response may come
	DeadlineSlack time.Duration // slack of the deadlines that are sent to replicas
	RetryRatio    float64       // retries allowed per request
	ExtraRetries  float64
	RetryWindow   time.Duration
	// Tolerance is the number of violations that rules with a tolerance allow.
	Tolerance int
	// MinServed is the fraction of the requests that must be served at the end of the
	// quiet time.
	MinServed float64
	Limit     limitBounds
	// Evacuate is the time until an evacuated domain gets no more requests. Cold is how
	// many requests all daemons together may send a cold replica in a second.
	Evacuate time.Duration
	Cold     int
	// Crashing limits the spread of requests that crash the replicas that run them.
	Crashing crashingBounds
	// Backoffs limits what reaches replicas that requested a backoff.
	Backoffs backoffBounds
	// Partition limits what callers of daemons without links to replicas have to bear.
	Partition partitionBounds
	// Versions limits streams of several software versions, and streams that callers can't resume.
	Versions versionBounds
	// Parts limits the spread of requests with a part that crashes replicas.
	Parts   partBounds
	Brittle brittleBounds
	Loss    lossBounds
	// MaxRefusal is how long a daemon may refuse requests that a live replica could serve.
	MaxRefusal time.Duration
}

// defaultBounds returns the bounds of a run. The time bounds are those guaranteed to
// users plus half a second for the machine's own delays.
func defaultBounds() bounds {
	return bounds{
		SyncTime: 3 * time.Second, Apply: 2500 * time.Millisecond, Drain: 2500 * time.Millisecond, Cancel: time.Second,
		ResponseSlack: time.Second, DeadlineSlack: 500 * time.Millisecond, RetryRatio: 0.2, ExtraRetries: 56, RetryWindow: 10 * time.Second, Tolerance: 3, MinServed: 0.9,
		Limit:    limitBounds{Window: 5 * time.Second, Factor: 2, Slack: 3, MinRequests: 20, MaxShare: 0.03},
		Evacuate: 2500 * time.Millisecond, Cold: coldOverage*coldPerSecond + coldSlack,
		Crashing:  crashingBounds{Crashes: 3, LaterArrivals: 3},
		Backoffs:  backoffBounds{Grace: 500 * time.Millisecond, Max: 2},
		Partition: partitionBounds{After: 3 * time.Second, MinShare: 2.0 / 3, Failures: 10, FailureShare: 1.0 / 50},
		Versions:  versionBounds{Mixed: 2, MinResumes: 12, MinReplicas: 2, MinShare: 0.5},
		Parts:     partBounds{Crashes: 5, LaterArrivals: 3, MinShare: 0.5, MinRequests: 20},
		Brittle:   brittleBounds{AllowedFalls: 2, Settle: time.Second, MinServed: 0.5, MinCalls: 50},
		Loss: lossBounds{
			Accept: 200 * time.Millisecond, HangUp: 2 * time.Second, Configuration: 3 * time.Second, Factor: 3, UsedShare: 0.7,
		},
		MaxRefusal: time.Second,
	}
}

// Violation is a guarantee that was broken.
type Violation struct {
	Promise string    `json:"promise"`
	Subject string    `json:"subject"` // a request, a daemon or a service
	At      time.Time `json:"at"`
	Detail  string    `json:"detail"`
}

// Check checks everything recorded so far and returns the violations that it has not returned before. It
// must not be called by two goroutines at a time.
func (l *Ledger) Check(now time.Time) []Violation {
	j := &checker{observations: l.snapshot(), now: now, aroundConfigs: make(map[int]*lossRates), losses: make(map[lossCause]int)}
	for _, r := range j.order {
		j.checkRequest(r)
	}
	j.checkCrowded()
	j.checkBrittle()
	j.checkAroundConfigurations()
	j.checkTolerated()
	j.checkRetries()
	j.checkCrashing()
	j.checkBackoffs()
	j.checkDepartures()
	j.checkServing()
	j.checkPartitions()
	j.checkVersions()
	j.checkSilences()
	j.checkCrashingParts()
	j.checkLimit()
	j.checkCold()
	j.out = append(j.out, j.terminations...)
	return l.keep(j)
}

// keep records the results of a check, and returns the violations that are new.
func (l *Ledger) keep(j *checker) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.maxOverloadShare = max(l.maxOverloadShare, j.maxOverloadShare)
	l.losses, l.borderEnds = j.losses, j.borderEnds
	for _, v := range j.excused {
		l.excused[v.Subject] = v
	}
	var fresh []Violation
	for _, v := range j.out {
		key := v.Promise + " " + v.Subject
		if _, ok := l.found[key]; !ok {
			l.found[key] = v
			fresh = append(fresh, v)
		}
	}
	return fresh
}

// checker collects violations. tolerated holds those of rules with a tolerance, excused those of backoffs that
// the daemon can't have read.
type checker struct {
	*observations
	now              time.Time
	out              []Violation
	tolerated        []Violation
	aroundConfigs    map[int]*lossRates // of daemons
	losses           map[lossCause]int  // responses that were broken off
	excused          []Violation
	borderEnds       BorderEnds // streams that ended with their replica
	maxOverloadShare float64
}

func (j *checker) add(promise string, r *record, at time.Time, format string, args ...any) {
	j.out = append(j.out, Violation{Promise: promise, Subject: r.ID, At: at, Detail: fmt.Sprintf(format, args...)})
}

func (j *checker) addTolerated(promise string, r *record, at time.Time, format string, args ...any) {
	j.tolerated = append(j.tolerated, Violation{Promise: promise, Subject: r.ID, At: at, Detail: fmt.Sprintf(format, args...)})
}

func (j *checker) checkRequest(r *record) {
	if !r.known {
		if len(r.runs) > 0 {
			j.out = append(j.out, Violation{Promise: "UNASKED", Subject: r.runs[0].Target, At: r.runs[0].At, Detail: "no caller sent a request with this id"})
		}
		return
	}
	j.checkRuns(r)
	j.checkRegress(r)
	j.checkDeadlinesSent(r)
	j.checkEvacuated(r)
	j.checkCancellation(r)
	if r.answer != nil {
		j.checkResponse(r)
		j.checkFalseQuarantine(r)
		j.checkDenial(r)
		j.checkLoss(r)
	}
	j.checkDeadline(r)
}

// upToDate reports whether a daemon was up to date from one time to another: it and
// the store were undisturbed, from SyncTime before the first on.
func (j *checker) upToDate(daemon int, from, to time.Time) bool {
	from = from.Add(-j.bounds.SyncTime)
	return noneOverlaps(j.daemons[daemon], from, to) && noneOverlaps(j.store, from, to) && noneOverlaps(j.shutdowns[daemon], from, to)
}

// undisturbed is upToDate without regard to the store and to graceful shutdowns.
func (j *checker) undisturbed(daemon int, from, to time.Time) bool {
	return noneOverlaps(j.daemons[daemon], from.Add(-j.bounds.SyncTime), to)
}

func (j *checker) checkRuns(r *record) {
	if len(r.runs) > 1 && !r.Route.Repeatable {
		j.add("TWICE", r, r.runs[1].At, "%s ran at %s and at %s", r.Route.Name, r.runs[0].Replica, r.runs[1].Replica)
	}
	key := j.keys[r.Key]
	for _, run := range r.runs {
		if run.Method != r.Route.Method || run.Target != r.Target || !run.Unread && run.Body != r.Body {
			j.add("UNASKED", r, run.At, "ran as %s %s with a body of %d bytes, sent as %s %s with %d", run.Method, run.Target, len(run.Body), r.Route.Method, r.Target, len(r.Body))
		}
		if key == nil {
			j.add("ROUTE", r, run.At, "ran with a key that was never configured")
			continue
		}
		if run.Workspace != key.workspace {
			j.add("UNASKED", r, run.At, "ran for workspace %q, its key belongs to %q", run.Workspace, key.workspace)
		}
		if key.removed.IsZero() {
			continue
		}
		// A daemon that was disturbed at the revocation must have learned of it once it has been up to
		// date for as long as a daemon may take that was not.
		if r.Sent.Sub(key.removed) > j.bounds.Apply && j.upToDate(r.Daemon, r.Sent.Add(-j.bounds.Apply), run.At) && !j.missesEras(r) {
			j.add("CONFIG", r, run.At, "ran with a key that was revoked %v before it was sent, through daemon %d", r.Sent.Sub(key.removed), r.Daemon)
		}
	}
	for _, run := range r.runs {
		j.checkService(r, run)
		j.checkDrain(r, run)
	}
}

func (j *checker) checkService(r *record, run *Run) {
	list := j.routes[r.Route.Name]
	ever, allowed := false, false
	var since time.Time
	for i, c := range list {
		if c.service != run.Service {
			continue
		}
		ever = true
		until := j.now.Add(time.Hour)
		if i+1 < len(list) {
			until = list[i+1].at
		}
		if r.Sent.Sub(until) <= j.bounds.Apply {
			allowed = true
		}
		since = until
	}
	if !ever {
		j.add("ROUTE", r, run.At, "route %s never leads to %s", r.Route.Name, run.Service)
		return
	}
	if !allowed && j.upToDate(r.Daemon, since, run.At) && !j.missesEras(r) {
		j.add("CONFIG", r, run.At, "%s ran at %s %v after the route moved, through daemon %d", r.Route.Name, run.Service, r.Sent.Sub(since), r.Daemon)
	}
}

func (j *checker) checkDrain(r *record, run *Run) {
	for _, left := range j.departures[run.Replica] {
		late := run.At.Sub(left.from)
		if late > j.bounds.Drain && run.At.Before(left.to) && !j.mayBeDelayed(r, &run.Arrival) && j.upToDate(r.Daemon, left.from, run.At) && noneOverlaps(j.replicas[run.Replica], left.from, run.At) && !j.missesEras(r) {
			j.add("DRAIN", r, run.At, "reached %s %v after the store accepted its departure, through daemon %d", run.Replica, late, r.Daemon)
		}
	}
}

func (j *checker) checkDeadlinesSent(r *record) {
	for _, a := range r.arrivals {
		// A link that delayed the request makes its deadline look later than the
		// daemon set it.
		if late := a.Deadline.Sub(r.Deadline); late > j.bounds.DeadlineSlack && !j.mayBeDelayed(r, &a) && j.undisturbed(r.Daemon, a.At, a.At) {
			j.addTolerated("BUDGET", r, a.At, "replica %s got a deadline %v later than the caller's", a.Replica, late)
		}
	}
}

func (j *checker) checkCancellation(r *record) {
	if r.disconnected.IsZero() || !j.undisturbed(r.Daemon, r.disconnected, r.disconnected.Add(j.bounds.Cancel)) {
		return
	}
	for _, run := range r.runs {
		ended := run.Ended
		if ended.IsZero() {
			ended = j.now
		}
		reached := noneOverlaps(j.replicas[run.Replica], run.At, ended) && !j.linkWasCut(r.Daemon, r.Sent, ended)
		if reached && ended.Sub(r.disconnected) > j.bounds.Cancel {
			j.addTolerated("GONE", r, ended, "%s worked for %v after its caller disconnected", run.Replica, ended.Sub(r.disconnected))
		}
	}
}

// neverRunStatuses are the statuses that guarantee that a request has not run and never will.
var neverRunStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

func (j *checker) checkResponse(r *record) {
	a := r.answer
	if slices.Contains(neverRunStatuses, a.Status) && !r.Route.Repeatable && len(r.runs) > 0 {
		j.add("REFUSED", r, a.At, "status %d guarantees that it never runs, but it ran at %s", a.Status, r.runs[0].Replica)
	}
	switch {
	case a.Status == 0:
	case a.Status >= http.StatusMultipleChoices:
		if a.Seal != "" && !slices.ContainsFunc(r.runs, func(run *Run) bool { return run.Replica == a.Seal && run.Status == a.Status }) {
			j.add("MIXED", r, a.At, "status %d carries the seal of %s, which did not send it", a.Status, a.Seal)
		}
	case !slices.ContainsFunc(r.runs, func(run *Run) bool { return run.Replica == a.Seal }):
		j.add("MIXED", r, a.At, "success carries seal %q, which is not of a replica that ran it", a.Seal)
	case r.Route.Stream:
		j.checkStream(r)
	case a.Complete && a.Body != plainBody(r.ID, a.Seal):
		j.add("MIXED", r, a.At, "body of %d bytes differs from the replica's: %.60q", len(a.Body), a.Body)
	}
}

func (j *checker) checkStream(r *record) {
	want, got := streamBody(r.streamID(), r.After), withoutVersions(r.answer.Body)
	if j.endsAtBorder(r, want, got) {
		j.countBorderEnd(r)
		return
	}
	if r.answer.Complete && got != want {
		j.add("ORDER", r, r.answer.At, "stream of %d bytes ended as complete at daemon %d, but the replica's has %d: %s", len(got), r.Daemon, len(want), j.describeRuns(r))
	}
	if !r.answer.Complete && !strings.HasPrefix(want, got) {
		j.add("ORDER", r, r.answer.At, "partial stream of %d bytes is not a prefix of the replica's stream", len(got))
	}
}

func (j *checker) checkDenial(r *record) {
	if r.answer.Seal != "" {
		return
	}
	switch r.answer.Status {
	case http.StatusNotFound:
		j.add("DENIED", r, r.answer.At, "daemon %d does not know the route %s", r.Daemon, r.Route.Name)
	case http.StatusUnauthorized, http.StatusForbidden:
	default:
		return
	}
	key := j.keys[r.Key]
	if key == nil || !key.removed.IsZero() {
		return
	}
	if key.added.IsZero() {
		j.add("DENIED", r, r.answer.At, "daemon %d rejected a key that was always valid", r.Daemon)
		return
	}
	if r.Sent.Sub(key.added) > j.bounds.Apply && j.upToDate(r.Daemon, key.added, r.answer.At) && !j.missesEras(r) {
		j.add("CONFIG", r, r.answer.At, "daemon %d rejected a key that was added %v earlier", r.Daemon, r.Sent.Sub(key.added))
	}
}

func (j *checker) checkDeadline(r *record) {
	at := j.now
	if r.answer != nil {
		at = r.answer.At
	}
	if late := at.Sub(r.Deadline); late > j.bounds.ResponseSlack && r.disconnected.IsZero() && j.undisturbed(r.Daemon, r.Sent, at) {
		j.addTolerated("CONFIG", r, at, "final response of daemon %d came %v after the deadline", r.Daemon, late)
	}
}
