// This file lets the replicas of a service run several software versions side by side, rolls versions
// out, and has callers that resume their broken streams at any daemon. What two versions write does not
// fit together, so that a stream must go on at the version that began it.

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Versions are the software versions of a run.
type Versions struct {
	Count    int           `json:"count"`    // versions at the start
	Replicas int           `json:"replicas"` // of the service with streams
	Resumers int           `json:"resumers"` // callers that resume their streams
	Interval time.Duration `json:"interval"` // mean pause between two crashes of replicas; 0: none
	Rollouts []Rollout     `json:"rollouts"`
	// KeepsVersion says that replicas that restart under their id keep their version, so that only releases bring
	// new ones.
	KeepsVersion bool `json:"keeps_version,omitempty"`

	drawn atomic.Int64
}

// Rollout replaces replicas, one after the other, by replicas of one software version.
type Rollout struct {
	At       time.Duration `json:"at"`
	Version  int           `json:"version"`
	Replicas int           `json:"replicas"`
	Gap      time.Duration `json:"gap"` // between replacing one replica and the next
	// Unannounced says that the old replicas do not say that they are draining: their entries go.
	Unannounced bool `json:"unannounced,omitempty"`
}

// Parameters of runs with several versions.
const (
	maxVersions        = 4
	versionedReplicas  = 18 // as at the users' sites
	resumersPerDaemon  = 5
	minCrashInterval   = 400 * time.Millisecond
	maxCrashInterval   = 1200 * time.Millisecond
	rolloutGap         = 400 * time.Millisecond
	otherVersionOneIn  = 4 // of the replicas that restart under their id
	longEvents         = 20
	longEventWork      = 80 * time.Millisecond
	maxResumes         = 4 // of one stream by its caller
	resumerTimeout     = 6 * time.Second
	maxRetryAfterShare = 1.0 / 3 // of the time left, for which a caller waits

	// longPrefix is the prefix of the ids of streams of longEvents events.
	longPrefix    = "l"
	versionPrefix = "build: " // of the line of an event that names the software version
	routeSingle   = "single"
	prefixSingle  = "/single/"
)

// singleRoute leads to streams that daemons never resume themselves. It is only there in runs with
// several versions.
var singleRoute = &Route{Name: routeSingle, Prefix: prefixSingle, Method: http.MethodPost, Stream: true, Repeatable: true, Attempts: 1, Timeout: 3 * time.Second}

// drawVersions adds the versions of a seed, from a random source of their own.
func (p *Plan) drawVersions(seed uint64, s Shape) {
	if !s.Versions {
		return
	}
	rng := rand.New(rand.NewPCG(seed, 10))
	v := &Versions{
		Count: 1 + rng.IntN(maxVersions-1), Replicas: versionedReplicas, Resumers: resumersPerDaemon * p.Daemons,
		Interval: minCrashInterval + time.Duration(rng.Int64N(int64(maxCrashInterval-minCrashInterval))),
	}
	for range 1 + rng.IntN(3) {
		v.Rollouts = append(v.Rollouts, Rollout{
			At: time.Duration(rng.Int64N(int64(s.Trouble))), Version: rng.IntN(maxVersions), Replicas: 3 + rng.IntN(versionedReplicas-3), Gap: rolloutGap,
		})
	}
	p.Versions, p.Chat = v, v.Replicas
}

// resumers returns how many callers resume their streams. It accepts a nil receiver.
func (v *Versions) resumers() int {
	if v == nil {
		return 0
	}
	return v.Resumers
}

// next returns the version of the next new replica: the versions of the start take turns. It accepts
// a nil receiver, for which replicas don't name a version.
func (v *Versions) next() string {
	if v == nil {
		return ""
	}
	return versionName(int(v.drawn.Add(1)) % v.Count)
}

func versionName(n int) string { return fmt.Sprintf("v1.%d", n) }

// restartVersion returns the version of a replica that restarts under its id.
func (v *Versions) restartVersion(before string) string {
	if v == nil || v.KeepsVersion || rand.IntN(otherVersionOneIn) > 0 {
		return before
	}
	return versionName(rand.IntN(maxVersions))
}

// rollOut replaces replicas of the service with streams by replicas of one version.
func (s *injector) rollOut(o *Rollout) {
	pause(s.ctx, time.Until(s.begun.Add(o.At)))
	s.logf("rollout of version %s to %d replicas begins", versionName(o.Version), o.Replicas)
	s.ledger.ReleaseBegan(time.Now())
	for i := range o.Replicas {
		if s.ctx.Err() != nil {
			return
		}
		if p, r := s.pickPlace(i); r.Service == serviceChat && r.version != versionName(o.Version) {
			go s.drainTo(p, r, versionName(o.Version), !o.Unannounced)
		}
		pause(s.ctx, o.Gap)
	}
	s.logf("rollout of version %s ended", versionName(o.Version))
}

// crashInSeries crashes replicas of the service with streams, one after the other.
func (s *injector) crashInSeries(v *Versions, until time.Duration) {
	if v.Interval == 0 {
		return
	}
	for time.Since(s.begun) < until && s.ctx.Err() == nil {
		pause(s.ctx, v.Interval/2+rand.N(v.Interval))
		if p, r := s.pickPlace(rand.IntN(1 << 16)); r.Service == serviceChat {
			s.restartAfterCrash(p, r)
		}
	}
}

// withVersion returns an event with a line that names the software version, if there is one.
func withVersion(event, version string) string {
	if version == "" {
		return event
	}
	return versionPrefix + version + "\n" + event
}

// withoutVersions removes the lines that name software versions.
func withoutVersions(body string) string {
	if !strings.Contains(body, versionPrefix) {
		return body
	}
	var b strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, versionPrefix) {
			b.WriteString(line)
		}
	}
	return b.String()
}

// versionsOf returns the software versions that the events of a body name.
func versionsOf(body string) []string {
	var out []string
	for line := range strings.Lines(body) {
		if v, ok := strings.CutPrefix(line, versionPrefix); ok {
			out = append(out, strings.TrimSuffix(v, "\n"))
		}
	}
	return out
}

func isLongStream(id string) bool { return strings.HasPrefix(id, longPrefix) }

// streamID returns the request whose stream a request asks for: the one that it resumes, or itself.
func (q *Request) streamID() string {
	if q.After > 0 && q.Resumes != "" {
		return q.Resumes
	}
	return q.ID
}

// streamID returns the request whose stream the exchange sends.
func (x *exchange) streamID() string {
	if x.head.LastEventID > 0 && x.head.Resumes != "" {
		return x.head.Resumes
	}
	return x.id
}

// eventDuration returns how long an event of the exchange's stream takes.
func (x *exchange) eventDuration(events int) time.Duration {
	if isLongStream(x.streamID()) {
		return longEventWork/2 + rand.N(longEventWork)
	}
	if isUpload(x.id) {
		return uploadEventWork/2 + rand.N(uploadEventWork)
	}
	return x.workDuration(events)
}

// resumer is a caller of long streams. It resumes a stream that breaks off, each time at another
// connection to any daemon.
type resumer struct {
	site   *site
	number int
	sent   int
}

// run sends streams until ctx is done.
func (c *resumer) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, minThink+rand.N(maxThink))
		c.stream(ctx)
	}
}

// stream sends one stream and resumes it as long as it breaks off.
func (c *resumer) stream(ctx context.Context) {
	route, deadline := singleRoute, time.Now().Add(resumerTimeout)
	if rand.IntN(2) == 0 {
		route = routes[3]
	}
	q := Request{Route: route, Tokens: shortTokens, Key: pollKey}
	subject := rand.IntN(chatTopics)
	target := fmt.Sprintf("%s%d?n=%d", route.Prefix, c.number, c.sent)
	for attempt := 0; attempt <= maxResumes && ctx.Err() == nil && time.Now().Before(deadline); attempt++ {
		out := &caller{site: c.site, number: rand.IntN(1 << 16)}
		if !out.connect() {
			pause(ctx, reconnectPause)
			continue
		}
		c.sent++
		q.ID, q.Target, q.Subject, q.Body = fmt.Sprintf("%s%d-%d", longPrefix, c.number, c.sent), target, subject, "b"
		q.Daemon, q.Incarnation, q.Sent = out.daemon, out.incarnation, time.Now()
		q.Deadline = q.Sent.Add(min(route.Timeout, time.Until(deadline)))
		out.begin(&q)
		a := out.roundTrip(&q)
		out.disconnect()
		if a.Complete && a.Status/100 == 2 {
			return
		}
		if n := strings.Count(a.Body, "\n\n"); a.Status/100 == 2 && n > 0 { // each complete event ends so
			if q.After == 0 {
				q.Resumes = q.ID
			}
			q.After += n
		}
		pause(ctx, min(a.RetryAfter, time.Duration(float64(time.Until(deadline))*maxRetryAfterShare)))
	}
}
