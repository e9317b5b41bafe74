// This file decides which requests are quarantined because replicas crash while serving them.
// Such a request may crash every replica that begins to run it, and its caller retries it at any
// daemon with the same path and body under another request id.
//
// Inputs: crashes of replicas with requests in flight, as seen by this daemon (transport/relay
// detects whether a replica process has terminated) and as reported by others; complete
// responses; releases by operators. A request is identified by its [ContentKey], its caller by
// its workspace. The rule:
//
//  1. All requests in flight at a replica when it crashes are suspects. A replica crashes once,
//     however many daemons see it; after a restart it is another incarnation with another
//     [Replica.LoadKey].
//  2. A complete response clears a content: crashes counted against it until then no longer
//     count, at any daemon. A release by an operator does the same.
//  3. A content with crashesToQuarantine crashes is quarantined: no daemon sends it to a replica,
//     neither as a first attempt nor as a retry nor as the remainder of a stream. Only rule 2
//     ends that. There is no probe after some time: callers are promised that such a request
//     reaches at most three more replicas, ever, and that allowance is used up by daemons that
//     don't know of the crashes yet.
//  4. A new report is sent to other daemons at once, and forwarded once by each daemon that
//     receives it; contents with the most crashes go first. In addition, each second one random
//     daemon is sent everything again (daemon/routes), and so is a newly discovered daemon at
//     once. This makes up for lost datagrams, partitions and restarts.
//
// Why three crashes and not two: with 18 replicas of which one crashes each second, and requests
// that last half a second, one request in 30 meets one crash by coincidence, one in 900 two and
// one in 30,000 three; with three crashes a second, one in 6, 37 and 210. Those would be refused
// without cause. Each of them has lost three attempts, and few callers retry a fourth time.
//
// Memory is bounded by maxContents; contents of the caller that has the most are evicted first.
// If all daemons are killed at once the knowledge is lost, and three more replicas may crash. A
// caller with many different crashing requests crashes three replicas with each. Quarantining
// everything that a caller sends would cost its valid requests their retries, so that this is
// left to operators, who see it.

package routing

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// CallerKey identifies a caller in reports. It is a hash of its workspace.
type CallerKey uint32

// NewCallerKey returns the key of a workspace.
func NewCallerKey(w WorkspaceName) CallerKey { return CallerKey(xxhash.Sum64String(string(w))) }

// CrashReport says that a replica crashed while serving a request, or that a request is cleared:
// it got a complete response or an operator released it, so its earlier crashes no longer count.
type CrashReport struct {
	Content ContentKey
	Caller  CallerKey
	// Replica is the incarnation that crashed; unset if the request is cleared.
	Replica    LoadKey
	Clears     bool
	Age        time.Duration // since the crash or the complete response
	crashCount int           // crashes known of the content; sorts pending reports
}

const (
	// crashesToQuarantine is the number of crashes after which a content is quarantined. It is part
	// of what callers are promised.
	crashesToQuarantine = 3
	// maxCrashesKept bounds the crashes that are kept of one content; more have no effect.
	maxCrashesKept = 6
	// repeatPeriod bounds which contents are repeated to other daemons. Contents with one or two
	// crashes long ago were mostly in flight by coincidence; they are kept but not repeated.
	repeatPeriod = time.Minute
	// clearedRetention is far longer than it takes to resend a clearance to a daemon that missed
	// it. Until then that daemon sends others the crashes that it knows.
	clearedRetention = time.Minute
	// maxContents bounds the memory to about 0.5 MB. A series of 20 crashes leaves 200 contents.
	maxContents = 2000
	// crashReportsPerSecond bounds the cost of reports: 30 of about 24 bytes to seven daemons are
	// 5 KB/s while replicas crash in series. With 18 replicas of 12 requests each and one crash a
	// second, 12 are needed.
	crashReportsPerSecond  = 30
	maxPendingCrashReports = 400
	// retryAfterQuarantined keeps a caller from retrying in quick succession. It is not known
	// when the request may run again; a caller with a deadline has mostly given up by then.
	retryAfterQuarantined = 30 * time.Second
)

// Crashes records the requests during which replicas crashed. It is safe for concurrent use. A
// nil *Crashes records nothing.
type Crashes struct {
	// known is the number of suspects. It lets requests skip the lock while there are none.
	known atomic.Int64

	mu       sync.RWMutex
	suspects map[ContentKey]*suspect
	outbox   outbox[CrashReport]
}

// suspect is what is known of one content.
type suspect struct {
	caller    CallerKey
	crashes   []replicaCrash // since the content was last cleared, oldest first
	clearedAt time.Time
	lastUsed  time.Time // when it was last reported or requested
	refused   int       // requests refused by this daemon
}

// replicaCrash is the crash of a replica while it served a request.
type replicaCrash struct {
	replica LoadKey
	at      time.Time
}

// NewCrashes returns an empty record.
func NewCrashes() *Crashes {
	return &Crashes{
		suspects: make(map[ContentKey]*suspect),
		outbox: outbox[CrashReport]{
			notify: make(chan struct{}, 1), capacity: maxPendingCrashReports, rate: crashReportsPerSecond, keepUnsent: true,
			compare: func(a, b pendingReport[CrashReport]) int { return b.report.crashCount - a.report.crashCount },
		},
	}
}

// Waiting returns a channel that receives a value when reports are available from
// [Crashes.TakeReports].
func (c *Crashes) Waiting() <-chan struct{} { return c.outbox.notify }

// ReportCrash records that a replica crashed while serving a request of a workspace. It returns
// true if the content of the request is quarantined from now on and was not before.
func (c *Crashes) ReportCrash(content ContentKey, w WorkspaceName, r *Replica, now time.Time) bool {
	if c == nil || content == 0 {
		return false
	}
	report := CrashReport{Content: content, Caller: NewCallerKey(w), Replica: r.LoadKey()}
	return len(c.Observe([]CrashReport{report}, now)) > 0
}

// Clear clears a content, after a complete response or a release by an operator, so that it may
// be sent again. It returns false, and records nothing, if no crash has been reported for the
// content since it was last cleared.
func (c *Crashes) Clear(content ContentKey, now time.Time) bool {
	if c == nil || c.known.Load() == 0 {
		return false
	}
	c.mu.RLock()
	s := c.suspects[content]
	crashed := s != nil && len(s.crashes) > 0
	c.mu.RUnlock()
	if crashed {
		c.Observe([]CrashReport{{Content: content, Caller: s.caller, Clears: true}}, now)
	}
	return crashed
}

// Observe applies reports. It returns the contents that are quarantined from now on and were not
// before.
func (c *Crashes) Observe(reports []CrashReport, now time.Time) []ContentKey {
	c.mu.Lock()
	defer c.mu.Unlock()
	var quarantined []ContentKey
	for _, r := range reports {
		s := c.suspect(r.Content, r.Caller, now)
		before := s.isQuarantined()
		if !s.apply(r, now.Add(-r.Age)) {
			continue
		}
		s.lastUsed = now
		r.crashCount = len(s.crashes)
		c.outbox.add(r, now.Add(-r.Age))
		if !before && s.isQuarantined() {
			quarantined = append(quarantined, r.Content)
		}
	}
	return quarantined
}

// apply applies a report of an event at the given time and returns true if it is new. A clearance
// is new if it is the first one known or if it removes crashes; times alone can't tell, because
// the time of one clearance differs from daemon to daemon by the network delay.
func (s *suspect) apply(r CrashReport, at time.Time) bool {
	if r.Clears {
		isNew, before := s.clearedAt.IsZero(), len(s.crashes)
		s.clearedAt = latest(s.clearedAt, at)
		s.crashes = slices.DeleteFunc(s.crashes, func(e replicaCrash) bool { return !e.at.After(at) })
		return isNew || len(s.crashes) < before
	}
	isSame := func(e replicaCrash) bool { return e.replica == r.Replica }
	if !at.After(s.clearedAt) || len(s.crashes) >= maxCrashesKept || slices.ContainsFunc(s.crashes, isSame) {
		return false
	}
	s.crashes = append(s.crashes, replicaCrash{r.Replica, at})
	slices.SortFunc(s.crashes, func(a, b replicaCrash) int { return a.at.Compare(b.at) })
	return true
}

// suspect returns the record of a content, which is created if needed. c.mu must be held.
func (c *Crashes) suspect(content ContentKey, caller CallerKey, now time.Time) *suspect {
	s := c.suspects[content]
	if s == nil {
		if len(c.suspects) >= maxContents {
			c.evict()
		}
		s = &suspect{caller: caller, lastUsed: now}
		c.suspects[content] = s
		c.known.Store(int64(len(c.suspects)))
	}
	return s
}

// evict removes one content: a cleared one if there is any, else one of the caller that has the
// most. Among those it prefers one that is not quarantined, then the least recently used.
func (c *Crashes) evict() {
	counts := make(map[CallerKey]int)
	for _, s := range c.suspects {
		counts[s.caller]++
	}
	var victim ContentKey
	var worst *suspect
	for content, s := range c.suspects {
		if worst == nil || s.evictBefore(worst, counts) {
			victim, worst = content, s
		}
	}
	delete(c.suspects, victim)
}

func (s *suspect) evictBefore(than *suspect, counts map[CallerKey]int) bool {
	if a, b := len(s.crashes) == 0, len(than.crashes) == 0; a != b {
		return a
	}
	if a, b := counts[s.caller], counts[than.caller]; a != b {
		return a > b
	}
	if a, b := s.isQuarantined(), than.isQuarantined(); a != b {
		return b
	}
	return s.lastUsed.Before(than.lastUsed)
}

// Quarantined reports whether requests of a content must not be sent, and if so counts a refusal.
func (c *Crashes) Quarantined(content ContentKey, now time.Time) bool {
	if c == nil || c.known.Load() == 0 {
		return false
	}
	c.mu.RLock()
	s := c.suspects[content]
	quarantined := s != nil && s.isQuarantined()
	c.mu.RUnlock()
	if !quarantined {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.lastUsed = now
	s.refused++
	return true
}

// isQuarantined applies rule 3.
func (s *suspect) isQuarantined() bool { return len(s.crashes) >= crashesToQuarantine }

// TakeReports returns up to n reports to send to other daemons, as far as crashReportsPerSecond
// allows. The others stay queued.
func (c *Crashes) TakeReports(n int, now time.Time) []CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.take(n, now, func(r CrashReport, age time.Duration) CrashReport {
		r.Age, r.crashCount = age, 0
		return r
	})
}

// All returns up to n reports with all that this daemon knows of the contents that are
// quarantined or were reported within repeatPeriod, for another daemon. The reports follow the
// content after, in a fixed order; last is the content of the last report, or 0 if there are no
// more.
func (c *Crashes) All(after ContentKey, n int, now time.Time) (reports []CrashReport, last ContentKey) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	contents := make([]ContentKey, 0, len(c.suspects))
	for content, s := range c.suspects {
		mustRepeat := s.isQuarantined() || now.Sub(s.lastUsed) < repeatPeriod
		if content > after && mustRepeat {
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
	if !s.clearedAt.IsZero() {
		out = append(out, CrashReport{Content: content, Caller: s.caller, Clears: true, Age: max(0, now.Sub(s.clearedAt))})
	}
	for _, e := range s.crashes {
		out = append(out, CrashReport{Content: content, Caller: s.caller, Replica: e.replica, Age: max(0, now.Sub(e.at))})
	}
	return out
}

// Disprove removes the crashes that were false alarms according to isFalse.
func (c *Crashes) Disprove(isFalse func(replica LoadKey, at time.Time) bool) {
	if c.known.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(e replicaCrash) bool { return isFalse(e.replica, e.at) })
	}
}

// Forget removes contents that were cleared longer than clearedRetention ago.
func (c *Crashes) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for content, s := range c.suspects {
		if len(s.crashes) == 0 && now.Sub(s.clearedAt) > clearedRetention {
			delete(c.suspects, content)
		}
	}
	c.known.Store(int64(len(c.suspects)))
}

// QuarantinedContent describes a content that is quarantined.
type QuarantinedContent struct {
	Content  ContentKey
	Caller   CallerKey
	Replicas []LoadKey     // that crashed while serving it
	For      time.Duration // since the last of these crashes
	Refused  int           // requests refused by this daemon
}

// AllQuarantined returns the contents that are quarantined, the most recent crash first.
func (c *Crashes) AllQuarantined(now time.Time) []QuarantinedContent {
	c.mu.RLock()
	defer c.mu.RUnlock()
	var out []QuarantinedContent
	for content, s := range c.suspects {
		if !s.isQuarantined() {
			continue
		}
		h := QuarantinedContent{Content: content, Caller: s.caller, For: now.Sub(s.crashes[len(s.crashes)-1].at), Refused: s.refused}
		for _, e := range s.crashes {
			h.Replicas = append(h.Replicas, e.replica)
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b QuarantinedContent) int { return int(a.For - b.For) })
	return out
}
