// This file bounds how often requests are sent again. The bound holds for the
// fleet: each daemon spends at most its own share, and the shares sum to less
// than the whole, whatever the daemons know of each other.

package routing

import (
	"sync"
	"time"
)

// BudgetRule is the bound on repeats at one service within a sliding window:
// Ratio times the first sends, plus Extra for the fleet.
type BudgetRule struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// budgetMargin is the part of the rule that is spent, since windows of daemons
// and judges begin at different moments.
const budgetMargin = 0.7

// Budgets holds a repeat budget for each service. It is safe for use by many
// goroutines.
type Budgets struct {
	rule BudgetRule

	mu       sync.Mutex
	daemons  int
	services map[ServiceName]*budget
}

// budget keeps the sends of one service by tenths of a window.
type budget struct {
	slot    int64
	firsts  [budgetSlots]int
	repeats [budgetSlots]int
}

const budgetSlots = 10

// NewBudgets returns budgets under a rule, for one daemon of a fleet of the
// given size.
func NewBudgets(rule BudgetRule, daemons int) *Budgets {
	return &Budgets{rule: rule, daemons: max(1, daemons), services: make(map[ServiceName]*budget)}
}

// SetDaemons tells how many daemons share the extra. The number never falls
// below what was told before: daemons that are cut off go on spending theirs.
func (b *Budgets) SetDaemons(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = max(b.daemons, n)
}

// First counts the first send of a request.
func (b *Budgets) First(s ServiceName, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	w.firsts[w.slot%budgetSlots]++
}

// Spend asks for one further send and counts it if it is allowed.
func (b *Budgets) Spend(s ServiceName, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	firsts, repeats := 0, 0
	for i := range budgetSlots {
		firsts += w.firsts[i]
		repeats += w.repeats[i]
	}
	allowed := budgetMargin * (b.rule.Ratio*float64(firsts) + b.rule.Extra/float64(b.daemons))
	if float64(repeats+1) > allowed {
		return false
	}
	w.repeats[w.slot%budgetSlots]++
	return true
}

// window returns the service's counts with what is too old cleared.
func (b *Budgets) window(s ServiceName, now time.Time) *budget {
	w := b.services[s]
	slot := now.UnixNano() / int64(b.rule.Window/budgetSlots)
	if w == nil {
		w = &budget{slot: slot}
		b.services[s] = w
	}
	for steps := 0; w.slot < slot && steps < budgetSlots; steps++ {
		w.slot++
		w.firsts[w.slot%budgetSlots] = 0
		w.repeats[w.slot%budgetSlots] = 0
	}
	w.slot = max(w.slot, slot)
	return w
}
