// The retry budget: how many retries this daemon may spend.
//
// The inputs are the fleet-wide limit on retries at one service within a sliding window, and the
// number of daemons. Within a window, a daemon may spend budgetShare times the ratio of its own
// requests, plus an equal share of the fleet's extra retries. The shares add up to less than the
// fleet-wide limit whatever the daemons know of each other. Where a share is only a retry or two,
// daemons transfer retries to each other (transfer.go).

package routing

import (
	"sync"
	"time"
)

// Retries is an amount of retries within a window. A daemon's share of the fleet's retries may be
// a fraction of one.
type Retries float64

// RetryRule is the fleet-wide limit on retries at one service: Ratio times the requests within
// Window, plus Extra retries for the whole fleet.
type RetryRule struct {
	Ratio  float64
	Extra  float64 // retries in a window
	Window time.Duration
}

const (
	// budgetShare is the part of the limit that is used. The windows of the daemons, and of
	// whoever checks the limit, begin at different moments, so that a window of the checker can
	// overlap more than one of ours.
	budgetShare = 0.7
	// budgetSlots is the number of slots a window is divided into. The oldest slot is dropped as
	// a whole, so that the window is accurate to a tenth.
	budgetSlots = 10
)

// RetryBudgets holds a retry budget for each service. It is safe for concurrent use.
type RetryBudgets struct {
	rule RetryRule

	mu       sync.Mutex
	clock    slotClock
	assumed  int // daemons at least
	daemons  int
	services map[ServiceName]*budget
}

// budget counts the requests and retries sent to one service, in the slots of a window.
type budget struct {
	slot     int64
	requests [budgetSlots]int
	spent    [budgetSlots]Retries // on retries of this daemon and on transfers to others
}

// NewRetryBudgets returns the budgets of one daemon under a rule, in a fleet of at least the given size.
func NewRetryBudgets(rule RetryRule, daemons int) *RetryBudgets {
	return &RetryBudgets{rule: rule, assumed: max(1, daemons), daemons: max(1, daemons), services: make(map[ServiceName]*budget)}
}

// SetDaemons sets how many daemons share the extra retries, at most. The number must not fall when daemons are
// lost (coordination/membership/fleet_bound.go): those that this one can't reach keep spending their shares.
func (b *RetryBudgets) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(b.assumed, n)
}

// CountRequest counts the first attempt of a request.
func (b *RetryBudgets) CountRequest(s ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	w.requests[w.slot%budgetSlots]++
}

// SpendRetry reports whether one retry is allowed, and counts it if so.
func (b *RetryBudgets) SpendRetry(s ServiceName, t time.Time) bool { return b.SpendWithGrant(s, 0, t) }

// SpendWithGrant is like [RetryBudgets.SpendRetry], but takes from the budget only what the
// grant of other daemons for this retry does not cover.
func (b *RetryBudgets) SpendWithGrant(s ServiceName, grant Retries, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	own := max(0, 1-grant)
	if own > b.remaining(w) {
		return false
	}
	w.spent[w.slot%budgetSlots] += own
	return true
}

// remaining returns the unspent rest of the daemon's share. The caller holds the lock.
func (b *RetryBudgets) remaining(w *budget) Retries {
	left := b.share(w)
	for _, spent := range w.spent {
		left -= spent
	}
	return left
}

// share returns the daemon's share: what it may spend in a window. The caller holds the lock.
func (b *RetryBudgets) share(w *budget) Retries {
	requests := 0
	for _, n := range w.requests {
		requests += n
	}
	return Retries(budgetShare * (b.rule.Ratio*float64(requests) + b.rule.Extra/float64(b.daemons)))
}

// window returns the counts of a service after clearing the slots that are out of the window.
func (b *RetryBudgets) window(s ServiceName, now time.Time) *budget {
	w := b.services[s]
	slot := b.clock.slot(now, b.rule.Window/budgetSlots)
	if w == nil {
		w = &budget{slot: slot}
		b.services[s] = w
	}
	for steps := 0; w.slot < slot && steps < budgetSlots; steps++ {
		w.slot++
		w.requests[w.slot%budgetSlots] = 0
		w.spent[w.slot%budgetSlots] = 0
	}
	w.slot = max(w.slot, slot)
	return w
}
