// This file decides how many retries this daemon may spend.
//
// Inputs: the fleet's bound on retries at one service within a sliding window,
// and the number of daemons. The rule: within a window a daemon retries at most
// budgetShare times the ratio of its own requests, plus its equal part of the
// fleet's extra. The parts sum to less than the whole whatever the daemons know of
// each other. Where a part is a retry or two, daemons lend each other theirs (loan.go).

package routing

import (
	"sync"
	"time"
)

// Retries is an amount of retries within a window. A part of the fleet's may be less than one.
type Retries float64

// RetryRule is the fleet's bound on retries at one service: Ratio times the
// requests within Window, plus Extra retries for the whole fleet.
type RetryRule struct {
	Ratio  float64
	Extra  float64 // retries in a window
	Window time.Duration
}

const (
	// budgetShare is the part of the rule that is spent. Windows of daemons and of those who count
	// begin at different moments, so that a window of theirs can see more than one of ours.
	budgetShare = 0.7
	// budgetSlots is how many parts a window is counted in; the oldest part is
	// forgotten as a whole, so the window is exact to a tenth.
	budgetSlots = 10
)

// RetryBudgets holds a retry budget for each service. It is safe for use by many
// goroutines.
type RetryBudgets struct {
	rule RetryRule

	mu       sync.Mutex
	clock    slotClock
	daemons  int
	services map[ServiceName]*budget
}

// budget counts the sends to one service by parts of a window.
type budget struct {
	slot     int64
	requests [budgetSlots]int
	spent    [budgetSlots]Retries // on own retries and loans
}

// NewRetryBudgets returns budgets under a rule, for one daemon of a fleet of the
// given size.
func NewRetryBudgets(rule RetryRule, daemons int) *RetryBudgets {
	return &RetryBudgets{rule: rule, daemons: max(1, daemons), services: make(map[ServiceName]*budget)}
}

// SetDaemons sets how many daemons share the extra. The number never falls:
// daemons that are cut off from this one go on spending their parts.
func (b *RetryBudgets) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(b.daemons, n)
}

// CountRequest counts the first send of a request.
func (b *RetryBudgets) CountRequest(s ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	w.requests[w.slot%budgetSlots]++
}

// SpendRetry asks for one retry and counts it if it is allowed.
func (b *RetryBudgets) SpendRetry(s ServiceName, now time.Time) bool { return b.SpendWith(s, 0, now) }

// SpendWith does the same with what was borrowed for this retry.
func (b *RetryBudgets) SpendWith(s ServiceName, loan Retries, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	own := max(0, 1-loan)
	if own > b.left(w) {
		return false
	}
	w.spent[w.slot%budgetSlots] += own
	return true
}

// left returns what is left of the daemon's part. The caller holds the lock.
func (b *RetryBudgets) left(w *budget) Retries {
	left := b.part(w)
	for _, spent := range w.spent {
		left -= spent
	}
	return left
}

// part returns what the daemon may spend in a window. The caller holds the lock.
func (b *RetryBudgets) part(w *budget) Retries {
	requests := 0
	for _, n := range w.requests {
		requests += n
	}
	return Retries(budgetShare * (b.rule.Ratio*float64(requests) + b.rule.Extra/float64(b.daemons)))
}

// window returns the service's counts with what is too old cleared.
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
