// This file decides which retries daemons lend each other.
//
// In a large fleet an equal part of the fleet's retries is about one, or less. Which daemons meet
// failures is chance: some lack a retry while nine tenths of the fleet's are not spent.
//
// Inputs: what is left of a daemon's part (budget.go) and the part itself. The rule:
//
//  1. A daemon whose part is below largestPart, and that lacks a retry, asks a daemon of its
//     failure domain for what is missing to a whole one, and up to MaxLenders one after another.
//     With a larger part chance evens out, and what is missing is missing everywhere.
//  2. Who is asked gives what it has left, and counts that as spent before it says so. What is
//     lost on the way, or comes too late, is lost. So the sum of all that is spent is never more
//     than without loans, whatever the daemons know of each other.
//  3. A loan is for one retry at once, and is not kept.

package routing

import "time"

const (
	// largestPart is the part, in retries of a window, above which a daemon does not borrow.
	largestPart Retries = 3
	// MaxLenders is how many daemons are asked for one retry: where a third has nothing left, hardly
	// a request finds none. Mostly the first one gives enough.
	MaxLenders = 6
	// LoanTimeout is how long a lender is waited for: some times the way to a daemon of the same
	// domain and back, and short beside what callers wait for an answer.
	LoanTimeout = 25 * time.Millisecond
)

// Missing returns what a daemon is to borrow for one retry besides a loan that it has, by rule 1;
// 0: nothing.
func (b *RetryBudgets) Missing(s ServiceName, loan Retries, now time.Time) Retries {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	if b.part(w) >= largestPart {
		return 0
	}
	return max(0, 1-loan-max(0, b.left(w)))
}

// Lend returns how much of what another daemon misses it is lent, and counts that as spent.
func (b *RetryBudgets) Lend(s ServiceName, missing Retries, now time.Time) Retries {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(s, now)
	lent := max(0, min(missing, b.left(w), 1))
	w.spent[w.slot%budgetSlots] += lent
	return lent
}
