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
// Parts of prompts are quarantined by the same record with a rule of their own (crash_part.go).
//
// Memory is bounded by maxContents; contents of the caller that has the most are evicted first.
// Clearances are kept for as long as other daemons may keep the crashes (crash_cleared.go).
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
//
// A report of a part of prompts has the key of the part in place of the content.
type CrashReport struct {
	Content ContentKey
	Caller  CallerKey
	// Replica is the incarnation that crashed; unset if the request is cleared.
	Replica LoadKey
	Clears  bool
	// Request is the content of the request that had the part, and Verdict says that the sender
	// quarantined the part. Both are unset for contents.
	Request    ContentKey
	Verdict    bool
	Age        time.Duration // since the crash, the complete response or the verdict
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
	// clearedRetention is for how long a clearance is repeated to others: far longer than it takes
	// to resend it to a daemon that missed it. crash_cleared.go has what is kept then.
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
	// watching says that it is recorded which parts of prompts are sound.
	watching atomic.Bool

	mu       sync.RWMutex
	suspects map[ContentKey]*suspect
	// clearances has the contents that were cleared longer ago, and are no suspects.
	clearances map[ContentKey]clearance
	outbox     outbox[CrashReport]
	rule       crashRule
	recent     map[LoadKey]time.Time // replicas that crashed lately
}

// crashRule says when a suspect is quarantined. It is [*contentRule] or [*partRule].
type crashRule interface{ isCrashRule() }

// contentRule is rule 3: a content is quarantined after a number of crashes.
type contentRule struct{}

func (*contentRule) isCrashRule() {}

// NewCrashes returns an empty record of contents.
func NewCrashes() *Crashes { return newCrashes(&contentRule{}) }

func newCrashes(rule crashRule) *Crashes {
	return &Crashes{
		suspects: make(map[ContentKey]*suspect), clearances: make(map[ContentKey]clearance), rule: rule, recent: make(map[LoadKey]time.Time),
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
	crashed := s != nil && (len(s.crashes) > 0 || s.verdict)
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
		if c.observe(r, now, c.outbox.add) {
			quarantined = append(quarantined, r.Content)
		}
	}
	return quarantined
}

// observe applies a report, and queues it with send if it is new. It returns true if the content is
// quarantined from now on and was not before. c.mu must be held.
func (c *Crashes) observe(r CrashReport, now time.Time, send func(CrashReport, time.Time)) bool {
	at := now.Add(-r.Age)
	if c.isRefuted(r, at) || c.refutedByClearance(r, at) {
		return false
	}
	s := c.suspect(r.Content, r.Caller, now)
	before := c.isQuarantined(s)
	if !s.apply(r, at, c.crashesKept()) {
		return false
	}
	if r.Replica != 0 {
		c.recent[r.Replica] = latest(c.recent[r.Replica], at)
	}
	s.lastUsed = now
	r.crashCount = len(s.crashes)
	if before && !c.isQuarantined(s) {
		s.wasQuarantined = true
		r.crashCount = verdictPriority // every daemon refuses requests until it knows
	}
	send(r, at)
	if before || !c.isQuarantined(s) {
		return false
	}
	c.forgetHeld()
	return true
}

// crashesKept returns how many crashes are kept of one suspect.
func (c *Crashes) crashesKept() int {
	switch c.rule.(type) {
	case *partRule:
		return keptPartCrashes
	default:
		return maxCrashesKept
	}
}

// isQuarantined applies rule 3, or that of crash_part.go.
func (c *Crashes) isQuarantined(s *suspect) bool {
	switch c.rule.(type) {
	case *partRule:
		return s.verdict
	default:
		return len(s.crashes) >= crashesToQuarantine
	}
}

// crashRateWindows are the times over which the rate of crashes is taken: replicas may crash in bursts.
var crashRateWindows = []time.Duration{time.Second, 3 * time.Second, 10 * time.Second}

// maxCrashRateWindow is the longest of them.
const maxCrashRateWindow = 10 * time.Second

// Rate returns how many replicas crash per second, as far as is known: the highest rate of several windows.
func (c *Crashes) Rate(now time.Time) float64 {
	c.mu.RLock()
	defer c.mu.RUnlock()
	highest := 0.0
	for _, window := range crashRateWindows {
		n := 0
		for _, at := range c.recent {
			if now.Sub(at) < window {
				n++
			}
		}
		highest = max(highest, float64(n)/window.Seconds())
	}
	return highest
}

// Quarantined reports whether requests of a content must not be sent, and if so counts a refusal.
func (c *Crashes) Quarantined(content ContentKey, now time.Time) bool {
	if c == nil || c.known.Load() == 0 {
		return false
	}
	c.mu.RLock()
	s := c.suspects[content]
	quarantined := s != nil && c.isQuarantined(s)
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

// TakeReports returns up to n reports to send to other daemons, as far as crashReportsPerSecond
// allows. The others stay queued.
func (c *Crashes) TakeReports(n int, now time.Time) []CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseWithheld(now)
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
		mustRepeat := c.isQuarantined(s) || now.Sub(s.lastUsed) < repeatPeriod
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

// Disprove removes the crashes that were false alarms according to isFalse.
func (c *Crashes) Disprove(isFalse func(replica LoadKey, at time.Time) bool) {
	if c.known.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.suspects {
		before := len(s.crashes)
		s.crashes = slices.DeleteFunc(s.crashes, func(e replicaCrash) bool { return isFalse(e.replica, e.at) })
		if len(s.crashes) < before && len(s.crashes) < minPartCrashes {
			s.verdict = false
		}
	}
}

// Forget removes contents that were cleared longer than clearedRetention ago, but for their clearance.
func (c *Crashes) Forget(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for content, s := range c.suspects {
		if len(s.crashes) == 0 && !s.verdict && now.Sub(s.clearedAt) > clearedRetention {
			c.keepClearance(content, s)
			delete(c.suspects, content)
		}
	}
	c.limitClearances()
	c.known.Store(int64(len(c.suspects)))
	for replica, at := range c.recent {
		if now.Sub(at) > maxCrashRateWindow {
			delete(c.recent, replica)
		}
	}
	c.forgetSound(now)
}

// QuarantinedContent describes a content that is quarantined.
type QuarantinedContent struct {
	Content  ContentKey
	Part     string // id of a part of prompts, if this daemon knows it; empty for contents
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
		if !c.isQuarantined(s) {
			continue
		}
		h := QuarantinedContent{Content: content, Part: s.part, Caller: s.caller, For: now.Sub(s.since()), Refused: s.refused}
		for _, e := range s.crashes {
			h.Replicas = append(h.Replicas, e.replica)
		}
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b QuarantinedContent) int { return int(a.For - b.For) })
	return out
}
