// This file applies the two documents that the platform publishes, the configuration
// file and the member list. A document is applied as a whole and never replaced by an
// older one.

package fleet

import (
	"time"

	"hingewinch.org/hingewinch/coordination"
	"hingewinch.org/hingewinch/state"
)

func (f *Fleet) configHead() state.Head {
	if f.config == nil {
		return state.Head{}
	}
	return f.config.Head()
}

func (f *Fleet) listHead() state.Head {
	if f.list == nil {
		return state.Head{}
	}
	return f.list.Head
}

// newestList returns the head of the newest known list, including a deferred one.
func (f *Fleet) newestList() state.Head {
	if f.deferredList != nil {
		return f.deferredList.Head
	}
	return f.listHead()
}

func (f *Fleet) applyConfig(now time.Time, c *state.Config) {
	old, head := f.configHead(), c.Head()
	if head.Version == old.Version && head != old && !old.IsZero() {
		f.record(coordination.EventConfigClash, head.String(), "two configurations have version %d: %v and %v; the one with the higher digest is in force; publish a higher version", head.Version, old, head)
	}
	if head.Compare(old) <= 0 {
		return
	}
	if RulesOf(c).Window > RulesOf(f.config).Window {
		f.windowGrownAt = now
	}
	f.config = c
	f.dirty = true
	f.record(coordination.EventConfigApplied, head.String(), "configuration %v replaces %v", head, old)
	f.checkStartupSync(now)
	f.updateDuties()
	f.urgent = true
}

func (f *Fleet) rejectConfig(ev ConfigRefused) {
	if f.refused[ev.Head] {
		return
	}
	f.refused[ev.Head] = true
	f.record(coordination.EventConfigRefused, ev.Head.String(), "configuration is invalid and was not applied: %v", ev.Err)
}

// startupSyncPeers is the number of peers that are asked at startup.
const startupSyncPeers = 2

// checkStartupSync lets traffic use the configuration once enough peers have been asked for a
// newer one. Otherwise a platform that serves a stale value to a daemon that has just
// started would bring an old configuration back.
func (f *Fleet) checkStartupSync(now time.Time) {
	if f.startupSynced || f.config == nil || f.list == nil {
		return
	}
	wanted := min(max(len(f.list.Daemons())-1, len(f.self.Seeds)), startupSyncPeers)
	if len(f.contactedPeers) >= wanted || now.Sub(f.started) >= startupSyncTimeout {
		f.startupSynced = true
		f.dirty = true
	}
}

func (f *Fleet) receiveList(now time.Time, ev ListReceived) {
	switch c := ev.List.Head.Compare(f.listHead()); {
	case c < 0:
		return
	case c == 0:
		f.confirmList(ev.List.Head, ev.Asked)
		return
	}
	if lostMostMembers(f.list, ev.List) {
		f.deferList(now, ev.List)
		return
	}
	f.applyList(now, ev.List)
	f.confirmList(ev.List.Head, ev.Asked)
}

// confirmList updates the time at which the list in force was last confirmed. While a
// newer list is deferred, the one in force can't be confirmed.
func (f *Fleet) confirmList(head state.Head, asked time.Time) {
	if asked.IsZero() || f.list == nil || head != f.list.Head || f.deferredList != nil || !asked.After(f.confirmed) {
		return
	}
	f.confirmed = asked
	f.ownershipDirty = true
}

// minKeptFraction is the fraction of the live members that a new list must keep to be
// applied at once. The rule applies to lists of at least minMembersForCheck live members;
// with fewer, the fraction means little.
const (
	minKeptFraction    = 0.5
	minMembersForCheck = 4
)

func lostMostMembers(old, next *state.MemberList) bool {
	before, kept := 0, 0
	if old == nil {
		return false
	}
	for i := range old.Members {
		m := &old.Members[i]
		if m.State != state.Live {
			continue
		}
		before++
		if n := next.Find(m.ID); n != nil && n.State == state.Live {
			kept++
		}
	}
	return before >= minMembersForCheck && float64(kept) < minKeptFraction*float64(before)
}

// deferList defers a list that lost most members. It is applied if it is still the
// newest after deferListTime; until then the previous list stays in force, and reports
// of upstreams still count. Peers are notified at once, so that the period ends
// everywhere at about the same moment.
func (f *Fleet) deferList(now time.Time, l *state.MemberList) {
	if f.deferredList != nil && l.Head.Compare(f.deferredList.Head) <= 0 {
		return
	}
	if f.deferredList == nil {
		f.deferredListUntil = now.Add(deferListTime)
	}
	f.deferredList = l
	f.urgent = true
	f.emit(RetainList{l})
	f.record(coordination.EventListDeferred, l.Head.String(), "list %v lost most members; the previous list stays in force for up to %v", l.Head, deferListTime)
}

func (f *Fleet) applyDeferredList(now time.Time) {
	if f.deferredList == nil || now.Before(f.deferredListUntil) {
		return
	}
	f.applyList(now, f.deferredList)
}

func (f *Fleet) applyList(now time.Time, l *state.MemberList) {
	f.recordRemovedPeers(l)
	f.record(coordination.EventListApplied, l.Head.String(), "member list %v replaces %v", l.Head, f.listHead())
	f.list = l
	f.deferredList = nil
	f.history = append([]state.AppliedList{{List: l, AppliedAt: now}}, f.history...)
	f.pruneHistory(now)
	f.dropReports()
	f.dirty = true
	f.updateDuties()
	f.urgent = true
}

// pruneHistory keeps the lists that the grace period depends on: those applied within
// it, and the one before them.
func (f *Fleet) pruneHistory(now time.Time) {
	grace := RulesOf(f.config).GracePeriod()
	for i := range f.history {
		if now.Sub(f.history[i].AppliedAt) > grace {
			f.history = f.history[:i+1]
			return
		}
	}
}

// requestPlatformRead requests a read of the platform if this daemon is one of the readers
// of its failure domain. If the list grows old all the same, the readers may have
// failed; each daemon then reads with a probability that keeps the expected number
// of calls of the domain equal to that of the readers.
func (f *Fleet) requestPlatformRead(now time.Time) {
	if now.Before(f.nextRead) {
		return
	}
	local := f.domainDaemons()
	if !f.isReader(local) && f.list != nil {
		fresh := !f.confirmed.IsZero() && now.Sub(f.confirmed) < fallbackReadAge
		if fresh || f.rng.IntN(len(local)+1) >= readersPerDomain {
			return
		}
	}
	// The jitter spreads daemons that started together.
	f.nextRead = now.Add(platformInterval + time.Duration(f.rng.Int64N(int64(platformInterval/4))))
	f.emit(ReadPlatform{})
}

// domainDaemons returns the usable daemons of this daemon's failure domain.
func (f *Fleet) domainDaemons() []state.Member {
	var out []state.Member
	for _, m := range f.list.Daemons() {
		if m.Domain == f.self.Domain && f.usablePeer(&m) {
			out = append(out, m)
		}
	}
	return out
}

var readerDuties = [readersPerDomain]string{"platform/1", "platform/2"}

func (f *Fleet) isReader(local []state.Member) bool {
	for _, duty := range readerDuties {
		if hasDuty(local, f.self.ID, duty) {
			return true
		}
	}
	return false
}
