// This file decides which requests are held back because replicas end under them: a request
// may crash each replica that begins to run it, and its caller comes again at any daemon, with
// the same path and body under another id.
//
// Inputs: the ends of replicas under requests, as this daemon saw them (transport/relay finds
// out whether a replica has ended) and as others report them; whole answers; operators'
// releases. A request is known by its [ContentKey], its caller by its workspace. The rule:
//
//  1. All that ran at a replica when it ended are suspects. A replica ends once, whoever saw it:
//     one that starts again is another one ([Replica.LoadKey]).
//  2. A whole answer acquits: the ends of its content until then count no more, here and at all
//     daemons. So does an operator's release.
//  3. A content with heldEnds ends is held back: no daemon sends it to a replica, be it the
//     first attempt, a retry or the rest of a stream. Nothing but rule 2 ends that. There is no
//     probe after a time: callers are promised that such a request reaches replicas three times
//     more at most, ever, and that allowance is left to daemons that do not know yet.
//  4. What is new is reported at once, and passed on once by every daemon that learns of it, those
//     contents first that have the most ends. One daemon, drawn by chance, is sent all again
//     each second (daemon/routes), and one that has just been found at once: a lost
//     datagram, a cut and a restart are made good by that.
//
// Why three ends and not two: where one of 18 replicas ends a second, and requests last half a
// second, one request in 30 meets an end, one in 900 two and one in 30,000 three; with three ends
// a second one in 6, 37 and 210. So many would be refused without cause. Each of these has lost
// three attempts, and few callers come a fourth time.
//
// The memory is bounded by maxContents, of which the caller with the most gives way. When all
// daemons are killed at once nothing is remembered, and three more replicas may end. A caller with
// many different requests of the kind ends three replicas with each: to hold back all that a caller
// sends would cost its good requests their retries, so that it is left to operators, who see it.

package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallerKey names a caller in reports: a hash of its workspace.
type CallerKey uint32

// NewCallerKey returns the key of a workspace.
func NewCallerKey(w WorkspaceName) CallerKey { return CallerKey(xxhash.Sum64String(string(w))) }

// CrashReport says that a replica ended under a request, or that a request is acquitted.
type CrashReport struct {
	Content ContentKey
	Caller  CallerKey
	// Replica is the one that ended, if the request is not acquitted.
	Replica  LoadKey
	Acquits  bool
	Age      time.Duration // since the end or the answer
	sortEnds int           // of the content, as far as they are known
}

const (
	// heldEnds is how many replicas may end before a content is held back: as many as callers
	// are promised.
	heldEnds = 3
	// maxEnds bounds the ends that are kept of one content; more change nothing.
	maxEnds = 6
	// repeatMemory bounds what is repeated: contents that one or two replicas ended under long
	// ago, most of them beside others, are kept by the daemons that know them and not repeated.
	repeatMemory = time.Minute
	// acquittalMemory is far longer than it takes until a daemon that missed an acquittal is
	// sent it again; till then it sends others the ends that it knows.
	acquittalMemory = time.Minute
	// maxContents bounds the memory to some 0.5 MB. A series of 20 ends leaves 200 contents.
	maxContents = 2000
	// crashesPerSecond bounds what a daemon spends on reports: 30 of some 24 bytes to seven
	// daemons are 5 KB/s, for as long as replicas end in series. With 18 replicas of 12
	// requests each and one end a second, 12 are needed.
	crashesPerSecond  = 30
	maxPendingCrashes = 400
	// retryAfterHeld keeps a caller from hammering. Nothing is known of when the request may
	// run again; a caller with a deadline has mostly given up by then.
	retryAfterHeld = 30 * time.Second
)

// Crashes remembers the requests that replicas ended under. It is safe for use by many
// goroutines. A nil one remembers none.
type Crashes struct {
	// known is the number of suspects, so that requests take no lock while there are none.
	known atomic.Int64

	mu       sync.RWMutex
	suspects map[ContentKey]*suspect
	outbox   outbox[CrashReport]
}

// suspect is what is known of one content.
type suspect struct {
	caller      CallerKey
	ends        []replicaEnd // since it was acquitted last, the oldest first
	acquittedAt time.Time
	usedAt      time.Time // when it was last reported or asked for
	refused     int       // requests that this daemon held back
}

// replicaEnd is the end of a replica under a request.
type replicaEnd struct {
	replica LoadKey
	at      time.Time
}

// NewCrashes returns an empty memory.
func NewCrashes() *Crashes {
	return &Crashes{
		suspects: make(map[ContentKey]*suspect),
		outbox: outbox[CrashReport]{
			waiting: make(chan struct{}, 1), most: maxPendingCrashes, perSecond: crashesPerSecond, keeps: true,
			before: func(a, b pendingReport[CrashReport]) int { return b.report.sortEnds - a.report.sortEnds },
		},
	}
}

// Waiting has a value once reports wait for [Crashes.TakeReports].
func (c *Crashes) Waiting() <-chan struct{} { return c.outbox.waiting }

// ReportEnd takes in that a replica ended under a request of a workspace. It returns true if
// the request's content is held back from now on and was not before.
func (c *Crashes) ReportEnd(content ContentKey, w WorkspaceName, r *Replica, now time.Time) bool {
	if c == nil || content == 0 {
		return false
	}
	report := CrashReport{Content: content, Caller: NewCallerKey(w), Replica: r.LoadKey()}
	return len(c.Observe([]CrashReport{report}, now)) > 0
}

// Acquit lets a content be sent again, after a whole answer or on an operator's word. It returns
// false if no replica is known to have ended under it since it was acquitted last; then
// nothing is remembered.
func (c *Crashes) Acquit(content ContentKey, now time.Time) bool {
	if c == nil || c.known.Load() == 0 {
		return false
	}
	c.mu.RLock()
	s := c.suspects[content]
	ended := s != nil && len(s.ends) > 0
	c.mu.RUnlock()
	if ended {
		c.Observe([]CrashReport{{Content: content, Caller: s.caller, Acquits: true}}, now)
	}
	return ended
}

// Observe takes in reports. It returns the contents that are held back from now on and were
// not before.
func (c *Crashes) Observe(reports []CrashReport, now time.Time) []ContentKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	var held []ContentKey
	for _, r := range reports {
		s := c.suspect(r.Content, r.Caller, now)
		before := s.isHeld()
		if !s.take(r, now.Add(-r.Age)) {
			continue
		}
		s.usedAt = now
		r.sortEnds = len(s.ends)
		c.outbox.add(r, now.Add(-r.Age))
		if !before && s.isHeld() {
			held = append(held, r.Content)
		}
	}
	return held
}

// take applies a report of what happened at a time. It returns true if it is new. An
// acquittal is new if it is the first one known or ends go by it: the times of one acquittal
// differ from daemon to daemon by the links' delays.
func (s *suspect) take(r CrashReport, at time.Time) bool {
	if r.Acquits {
		isNew, before := s.acquittedAt.IsZero(), len(s.ends)
		s.acquittedAt = latest(s.acquittedAt, at)
		s.ends = slices.DeleteFunc(s.ends, func(e replicaEnd) bool { return !e.at.After(at) })
		return isNew || len(s.ends) < before
	}
	isSame := func(e replicaEnd) bool { return e.replica == r.Replica }
	if !at.After(s.acquittedAt) || len(s.ends) >= maxEnds || slices.ContainsFunc(s.ends, isSame) {
		return false
	}
	s.ends = append(s.ends, replicaEnd{r.Replica, at})
	slices.SortFunc(s.ends, func(a, b replicaEnd) int { return a.at.Compare(b.at) })
	return true
}

// suspect returns what is known of a content. The caller holds the lock.
func (c *Crashes) suspect(content ContentKey, caller CallerKey, now time.Time) *suspect {
	s := c.suspects[content]
	if s == nil {
		if len(c.suspects) >= maxContents {
			c.makeRoom()
		}
		s = &suspect{caller: caller, usedAt: now}
		c.suspects[content] = s
		c.known.Store(int64(len(c.suspects)))
	}
	return s
}

// makeRoom forgets an acquitted content, or else one of the caller that has the most: the one
// that was used the longest ago, one that is not held back before one that is.
func (c *Crashes) makeRoom() {
	counts := make(map[CallerKey]int)
	for _, s := range c.suspects {
		counts[s.caller]++
	}
	var victim ContentKey
	var worst *suspect
	for content, s := range c.suspects {
		if worst == nil || s.givesWayBefore(worst, counts) {
			victim, worst = content, s
		}
	}
	delete(c.suspects, victim)
}

func (s *suspect) givesWayBefore(than *suspect, counts map[CallerKey]int) bool {
	if a, b := len(s.ends) == 0, len(than.ends) == 0; a != b {
		return a
	}
	if a, b := counts[s.caller], counts[than.caller]; a != b {
		return a > b
	}
	if a, b := s.isHeld(), than.isHeld(); a != b {
		return b
	}
	return s.usedAt.Before(than.usedAt)
}

// Held reports whether requests of a content may not be sent, and counts one that is refused.
func (c *Crashes) Held(content ContentKey, now time.Time) bool {
	if c == nil || c.known.Load() == 0 {
		return false
	}
	c.mu.RLock()
	s := c.suspects[content]
	held := s != nil && s.isHeld()
	c.mu.RUnlock()
	if !held {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.usedAt = now
	s.refused++
	return true
}

// isHeld applies rule 3.
func (s *suspect) isHeld() bool { return len(s.ends) >= heldEnds }

// TakeReports returns up to n reports to pass on, as far as crashesPerSecond allows. What is
// left waits.
func (c *Crashes) TakeReports(n int, now time.Time) []CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.take(n, now, func(r CrashReport, age time.Duration) CrashReport {
		r.Age, r.sortEnds = age, 0
		return r
	})
}

// All returns up to n reports that tell another daemon what is known here of the contents that
// are held back or were reported within repeatMemory. They begin after the given content, in an
// order that is the same for each call; last is the content of the last one, or 0 at the end.
func (c *Crashes) All(after ContentKey, n int, now time.Time) (reports []CrashReport, last ContentKey) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	contents := make([]ContentKey, 0, len(c.suspects))
	for content, s := range c.suspects {
		isNews := s.isHeld() || now.Sub(s.usedAt) < repeatMemory
		if content > after && isNews {
			contents = append(contents, content)
		}
	}
	slices.Sort(contents)
	for _, content := range contents {
		of := c.suspects[content].reports(content, now)
		if len(reports)+len(of) > n {
			return reports, last
		}
		reports, last = append(reports, of...), content
	}
	return reports, 0
}

// reports returns all that is known of a content.
func (s *suspect) reports(content ContentKey, now time.Time) []CrashReport {
	var out []CrashReport
	if !s.acquittedAt.IsZero() {
		out = append(out, CrashReport{Content: content, Caller: s.caller, Acquits: true, Age: max(0, now.Sub(s.acquittedAt))})
	}
	for _, e := range s.ends {
		out = append(out, CrashReport{Content: content, Caller: s.caller, Replica: e.replica, Age: max(0, now.Sub(e.at))})
	}
	return out
}

// Disprove drops the ends that were none, by the given knowledge of replicas.
func (c *Crashes) Disprove(wasNone func(replica LoadKey, at time.Time) bool) {
	if c.known.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.suspects {
		s.ends = slices.DeleteFunc(s.ends, func(e replicaEnd) bool { return wasNone(e.replica, e.at) })
	}
}

// Forget drops contents that were acquitted long ago.
func (c *Crashes) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for content, s := range c.suspects {
		if len(s.ends) == 0 && now.Sub(s.acquittedAt) > acquittalMemory {
			delete(c.suspects, content)
		}
	}
	c.known.Store(int64(len(c.suspects)))
}

// HeldContent is one content that is held back.
type HeldContent struct {
	Content  ContentKey
	Caller   CallerKey
	Replicas []LoadKey     // that ended under it
	For      time.Duration // since the last of them ended
	Refused  int           // requests that this daemon held back
}

// AllHeld returns what is held back, the newest first.
func (c *Crashes) AllHeld(now time.Time) []HeldContent {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []HeldContent
	for content, s := range c.suspects {
		if !s.isHeld() {
			continue
		}
		h := HeldContent{Content: content, Caller: s.caller, For: now.Sub(s.ends[len(s.ends)-1].at), Refused: s.refused}
		for _, e := range s.ends {
			h.Replicas = append(h.Replicas, e.replica)
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b HeldContent) int { return int(a.For - b.For) })
	return out
}
