// Brittle services. This file keeps which services have replicas that say that they are brittle: each
// terminates if it has to reject more requests within a second, for want of room, than it states.
//
// The inputs are the responses of replicas to this daemon, with or without that statement, and the reports of
// other daemons. The rule:
//
//  1. A service is brittle from the first statement of one of its replicas. All replicas of a service are
//     brittle at the same time, so that a statement holds for all of them, also for those that start later.
//  2. Of several limits the smallest counts.
//  3. It ends with a response without the statement to a request that was sent more than brittleGrace after the
//     last statement that any daemon has reported: an earlier response may have been on its way when the
//     replicas became brittle, and one replica may be late. A service whose replicas give no response stays
//     brittle, for brittleUnconfirmed at most.
//  4. A statement is reported to all daemons at once if the service was not known to be brittle or the limit is
//     smaller, and otherwise if the last one that was reported is older than brittleForwardAge. Each daemon
//     forwards what is new to it, once.
//  5. A rejection by a replica that says that it is brittle is reported too, if the last known one is older
//     than rejectionForwardAge, up to brittleReportsPerSecond. A replica that terminates within
//     overrunWindow after a rejection has terminated under its load: that does not count against the
//     requests and the parts of prompts that it had (crash.go). It counts against them if no rejection is
//     known, since a request may crash a brittle replica too.

package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// RejectionLimit is how many requests a brittle replica can reject within a second without terminating.
type RejectionLimit uint16

// BrittleReport is a daemon's report that replicas of a service say that they are brittle.
type BrittleReport struct {
	Service ServiceName
	Limit   RejectionLimit
	Age     time.Duration // since a replica last said so
	// Rejecting is the replica that rejected a request then; 0: none is known to have.
	Rejecting LoadKey
}

const (
	// brittleForwardAge bounds the messages to one flood a second for each brittle service.
	brittleForwardAge = time.Second
	// brittleGrace is longer than brittleForwardAge and the time in which a report reaches all daemons.
	brittleGrace = 2 * time.Second
	// brittleUnconfirmed is far longer than a replica takes to start.
	brittleUnconfirmed = time.Minute
	// maxPendingBrittle bounds the reports that wait to be sent, and brittleReportsPerSecond the bandwidth that
	// a daemon spends on them: 40 of some 25 bytes to five daemons are 5 KB/s, while replicas reject.
	maxPendingBrittle       = 100
	brittleReportsPerSecond = 40
	// rejectionForwardAge is a part of the second in which a replica counts its rejections.
	rejectionForwardAge = 300 * time.Millisecond
	// overrunWindow is that second and the time until a daemon notices that connections broke.
	// overrunSlack is how much later than the termination the last rejection may seem.
	overrunWindow = 1500 * time.Millisecond
	overrunSlack  = 300 * time.Millisecond
	// rejectionRetention is how long a rejection is known: crash reports are that old at most.
	rejectionRetention = 30 * time.Second
	// maxRejecting bounds the memory. It is above the planned number of replicas.
	maxRejecting = 10_000
)

// BrittleServices records the services whose replicas are brittle. It is safe for concurrent use. A nil
// *BrittleServices records nothing.
type BrittleServices struct {
	// known is the number of records. It lets requests skip the lock while there are none.
	known atomic.Int64

	mu        sync.Mutex
	services  map[ServiceName]*brittleService
	rejecting map[LoadKey]rejections // of brittle replicas
	outbox    outbox[BrittleReport]
}

// rejections is what is known of the rejections of one replica.
type rejections struct {
	last     time.Time
	reported time.Time // of the last one that was reported
}

// brittleService is what is known of one service.
type brittleService struct {
	limit      RejectionLimit
	since      time.Time // of the spell
	at         time.Time // of the last statement
	reportedAt time.Time // of the last statement that was reported
	// endedAt is when the request was sent whose response ended the spell; zero: it has not ended.
	endedAt time.Time
}

// isOn reports whether the service is brittle, by rule 3.
func (b *brittleService) isOn(now time.Time) bool {
	return b != nil && b.endedAt.IsZero() && now.Sub(b.at) < brittleUnconfirmed
}

// NewBrittleServices returns an empty record.
func NewBrittleServices() *BrittleServices {
	return &BrittleServices{
		services: make(map[ServiceName]*brittleService), rejecting: make(map[LoadKey]rejections),
		outbox: outbox[BrittleReport]{
			notify: make(chan struct{}, 1), capacity: maxPendingBrittle, rate: brittleReportsPerSecond, maxAge: brittleUnconfirmed, keepUnsent: true,
			compare: compareBrittle,
		},
	}
}

// compareBrittle sends reports of services before those of single replicas, and newer ones first.
func compareBrittle(a, b pendingReport[BrittleReport]) int {
	if a, b := a.report.Rejecting != 0, b.report.Rejecting != 0; a != b {
		return boolToInt(a) - boolToInt(b)
	}
	return b.at.Compare(a.at)
}

// RecordRejection records that a replica that says that it is brittle has rejected a request.
func (b *BrittleServices) RecordRejection(r *Replica, now time.Time) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if known := b.services[r.Service]; known.isOn(now) {
		b.recordRejection(BrittleReport{Service: r.Service, Limit: known.limit, Rejecting: r.LoadKey()}, now)
	}
}

// recordRejection records a rejection at a time, by rule 5. b.mu must be held.
func (b *BrittleServices) recordRejection(r BrittleReport, at time.Time) {
	known, ok := b.rejecting[r.Rejecting]
	if !ok && len(b.rejecting) >= maxRejecting || !at.After(known.last) {
		return
	}
	known.last = at
	if at.Sub(known.reported) >= rejectionForwardAge {
		known.reported = at
		b.outbox.add(r, at)
	}
	b.rejecting[r.Rejecting] = known
}

// Overran reports whether a replica that terminated at a time did so because it had to reject too much, by
// rule 5.
func (b *BrittleServices) Overran(replica LoadKey, at time.Time) bool {
	if b == nil || b.known.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, ok := b.rejecting[replica]
	return ok && at.Sub(known.last) < overrunWindow && known.last.Sub(at) < overrunSlack
}

// Waiting returns a channel that receives a value when reports wait for [BrittleServices.TakeReports].
func (b *BrittleServices) Waiting() <-chan struct{} { return b.outbox.notify }

// Record records that a replica of a service says that it is brittle. It reports whether the service was not
// known to be.
func (b *BrittleServices) Record(s ServiceName, limit RejectionLimit, now time.Time) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.record(s, limit, now, now)
}

// record records a statement that was made at a time. b.mu must be held.
func (b *BrittleServices) record(s ServiceName, limit RejectionLimit, at, now time.Time) (isNew bool) {
	known := b.services[s]
	if known != nil && !at.After(known.endedAt) {
		return false
	}
	isNew = !known.isOn(now)
	if isNew {
		known = &brittleService{limit: limit, since: at}
		b.services[s] = known
		b.known.Store(int64(len(b.services)))
	}
	isSmaller := limit < known.limit
	known.limit, known.at = min(known.limit, limit), latest(known.at, at)
	if isNew || isSmaller || known.at.Sub(known.reportedAt) >= brittleForwardAge {
		known.reportedAt = known.at
		b.outbox.add(BrittleReport{Service: s, Limit: known.limit}, known.at)
	}
	return isNew
}

// RecordOrdinary records a response without the statement to a request that was sent at a time. It reports
// whether that ends the spell.
func (b *BrittleServices) RecordOrdinary(s ServiceName, sent, now time.Time) bool {
	if b == nil || b.known.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.services[s]
	if !known.isOn(now) || sent.Sub(known.at) <= brittleGrace {
		return false
	}
	known.endedAt = sent
	return true
}

// Observe records reports of another daemon. It returns the services that were not known to be brittle.
func (b *BrittleServices) Observe(reports []BrittleReport, now time.Time) []ServiceName {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ServiceName
	for _, r := range reports {
		if r.Age >= brittleUnconfirmed {
			continue
		}
		at := now.Add(-r.Age)
		if b.record(r.Service, r.Limit, at, now) {
			out = append(out, r.Service)
		}
		if r.Rejecting != 0 {
			b.recordRejection(r, at)
		}
	}
	return out
}

// BrittleStatus is a service that is brittle.
type BrittleStatus struct {
	Service ServiceName
	Limit   RejectionLimit
	Since   time.Time
}

// Services returns the services that are brittle.
func (b *BrittleServices) Services(now time.Time) []BrittleStatus {
	if b == nil || b.known.Load() == 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []BrittleStatus
	for name, known := range b.services {
		if known.isOn(now) {
			out = append(out, BrittleStatus{Service: name, Limit: known.limit, Since: known.since})
		}
	}
	return out
}

// TakeReports returns up to n reports to send to other daemons.
func (b *BrittleServices) TakeReports(n int, now time.Time) []BrittleReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outbox.take(n, now, func(r BrittleReport, age time.Duration) BrittleReport {
		r.Age = age
		return r
	})
}

// All returns up to n reports of the services that are brittle, for a daemon that has just started.
func (b *BrittleServices) All(n int, now time.Time) []BrittleReport {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []BrittleReport
	for name, known := range b.services {
		if known.isOn(now) && len(out) < n {
			out = append(out, BrittleReport{Service: name, Limit: known.limit, Age: now.Sub(known.at)})
		}
	}
	return out
}

// Forget removes the records of services that are no longer brittle, and old rejections.
func (b *BrittleServices) Forget(now time.Time) {
	if b.known.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, known := range b.services {
		if !known.isOn(now) && now.Sub(known.at) >= brittleUnconfirmed {
			delete(b.services, name)
		}
	}
	for replica, known := range b.rejecting {
		if now.Sub(known.last) > rejectionRetention {
			delete(b.rejecting, replica)
		}
	}
	b.known.Store(int64(len(b.services)))
}
