// This file limits the retries of the OpenAI front end to a fraction of its traffic,
// so that an outage does not cause a retry storm. The other front end has its own
// budget (coordination/routing), because its bound applies to the whole fleet, by
// service and window.

package fleet

// Parameters of the budget, in retries per request.
const (
	retryRatio = 0.1 // retries earned by one first attempt
	retryBurst = 10  // most retries that can be saved up
)

// RetryBudget allows retries as a fraction of first attempts. It is not safe for
// concurrent use.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryBurst} }

// Earn credits a first attempt.
func (b *RetryBudget) Earn() { b.tokens = min(b.tokens+retryRatio, retryBurst) }

// Spend takes one retry from the budget, or returns false if none is left.
func (b *RetryBudget) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
