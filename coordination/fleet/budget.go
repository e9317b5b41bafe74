// This file decides how many retries the OpenAI front end may send: a fraction of
// its traffic, so that an outage is not answered by a storm of further attempts.
// The other front end has a budget of its own (coordination/routing), because its
// bound is one for the fleet, by service and window.

package fleet

// The shares of the budget, in further attempts for each request.
const (
	retryShare = 0.1 // retries earned by one first attempt
	retryBurst = 10  // retries that may be saved up
)

// RetryBudget allows retries as a fraction of first attempts. It must be
// guarded by its owner.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Earn counts a first attempt.
func (b *RetryBudget) Earn() { b.tokens = min(b.tokens+retryShare, retryBurst) }

// Spend asks for one retry.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
